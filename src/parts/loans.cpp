#include "parts/loans.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace ivygw::parts {
namespace {
constexpr double kNever = 1e300;
constexpr double kHeadroom = 1.25;  // times the demand seen, that is asked for: it is seen late
constexpr double kDead =
    2;  // leases after its end, for which a call is waited for: the engine's own time-out is shorter

std::string NameOf(uint64_t customer) {
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(customer));
  return text;
}
}  // namespace

void Loans::OnAsked(double now, uint64_t customer, double units, const Allowance& whole, Asks* out) {
  if (over_) return;
  auto it = accounts_.find(customer);
  double lent_rate = whole.rate * whole.EvenShare(), lent_store = whole.store * whole.EvenShare();
  if (lent_rate <= 0 || lent_store <= 0) return;
  if (it == accounts_.end()) {
    if (accounts_.size() >= options_.most) {
      ++turned_away_;
      return;
    }
    LendingOptions o;
    o.customer = NameOf(customer);
    o.boot = options_.boot;
    o.lease_s = options_.lease_s;
    o.margin = options_.margin;
    o.turn_s = options_.turn_s;
    o.idle_s = Kept();
    o.least = std::clamp(whole.largest / lent_store, 1e-4, 1.0);
    it = accounts_.emplace(customer, Account()).first;
    it->second.borrower = std::make_unique<Borrower>(std::move(o), right_);
    it->second.asked_at = now;
  }
  Account& a = it->second;
  a.demand = a.demand * std::exp(-std::max(0.0, now - a.asked_at) / Kept()) + units / Kept();
  a.asked_at = now;
  Borrower::Asks asks;
  a.borrower->Need(std::clamp(kHeadroom * a.demand / lent_rate, 1e-6, 1.0), now, &asks);
  Collect(customer, &asks, out);
}

void Loans::OnTime(double now, Asks* out) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    Borrower::Asks asks;
    if (now > it->second.asked_at + Kept()) it->second.borrower->Need(0, now, &asks);
    it->second.borrower->OnTime(now, &asks);
    Collect(it->first, &asks, out);
    // Who has neither share nor demand, and no call out, is forgotten; a later request begins anew.
    bool idle = now > it->second.asked_at + Kept() + kDead * options_.lease_s &&
                it->second.borrower->NextDue() >= kNever;
    if (!idle) {
      ++it;
      continue;
    }
    conflicts_ += it->second.borrower->conflicts();
    if (it->second.told_share > 0) dropped_.push_back({it->first, 0, now});
    it = accounts_.erase(it);
  }
}

void Loans::OnReply(double now, uint64_t customer, uint64_t number, const shared::Reply& reply, Asks* out) {
  --calls_out_;
  auto it = accounts_.find(customer);
  if (it == accounts_.end()) return;
  Borrower::Asks asks;
  it->second.borrower->OnReply(now, number, reply, &asks);
  Collect(customer, &asks, out);
}

void Loans::GiveBack(double now, Asks* out) {
  over_ = true;
  for (auto& [customer, account] : accounts_) {
    Borrower::Asks asks;
    account.borrower->GiveBack(now, &asks);
    Collect(customer, &asks, out);
  }
}

void Loans::Collect(uint64_t customer, Borrower::Asks* asks, Asks* out) {
  for (Borrower::Ask& ask : *asks) {
    ++calls_out_;
    ++calls_made_;
    out->push_back({customer, ask.number, std::move(ask.call)});
  }
}

std::vector<Loans::Told> Loans::Changes(double now) {
  std::vector<Told> out = std::exchange(dropped_, {});
  for (auto& [customer, a] : accounts_) {
    double share = a.borrower->Share(now), until = a.borrower->ValidUntil();
    if (share == a.told_share && (share <= 0 || until == a.told_until)) continue;
    a.told_share = share;
    a.told_until = until;
    out.push_back({customer, share, until});
  }
  return out;
}

double Loans::NextDue() const {
  double due = kNever;
  for (const auto& [customer, a] : accounts_) {
    due = std::min(due, a.borrower->NextDue());
    if (a.told_share > 0) due = std::min(due, a.told_until);
    if (a.borrower->NextDue() >= kNever)
      due = std::min(due, a.asked_at + Kept() + kDead * options_.lease_s + 1e-3);
  }
  return due;
}

Loans::Figures Loans::figures() const {
  Figures f;
  f.customers = accounts_.size();
  f.conflicts = conflicts_;
  f.turned_away = turned_away_;
  for (const auto& [customer, a] : accounts_) {
    f.held += a.told_share > 0;
    f.shares += a.told_share;
    f.waiting += a.borrower->Waits();
    f.conflicts += a.borrower->conflicts();
  }
  return f;
}

}  // namespace ivygw::parts
