#include "rate_limit/lender.h"

#include <algorithm>
#include <vector>

#include "rate_limit/terms.h"

namespace ivygw::rate_limit {
namespace {

constexpr double kShareEvery = 0.2;  // s
constexpr double kQuiet =
    2;  // s; who has not reported for so long wants nothing more, but keeps what it holds

}  // namespace

Lender::Lender(double now, bool first) : closed_until_(first ? -1 : now + kTerm), first_(first) {}

void Lender::OnHolders(const std::vector<std::string>& holders) {
  holders_known_ = true;
  awaited_.clear();
  for (const std::string& holder : holders) {
    if (!reported_.count(holder)) awaited_.insert(holder);
  }
}

bool Lender::Closed(double now) const { return now < closed_until_ && !(holders_known_ && awaited_.empty()); }

void Lender::Fill(double now, Tenant* tenant, double part) const {
  double most = kPoolStore * tenant->burst * part;
  // What is not lent; and while holders are awaited, all that may be counts as lent.
  double lent = Closed(now) ? kLent * part : tenant->lent;
  double flow = std::max(0.0, (kLent + kPool) * part - lent);
  if (!tenant->begun) {
    tenant->begun = true;
    tenant->pool = first_ ? most : 0;
  } else {
    tenant->pool = std::min(most, tenant->pool + (now - tenant->filled) * flow * tenant->rate);
  }
  tenant->filled = now;
}

// Max-min fair among those that report: nobody gets more while another that wants more has less. What nobody
// wants stays in the pool.
double Lender::Fair(const Tenant& tenant, const std::string& gateway, double most, double now) const {
  std::vector<double> wants;
  double mine = tenant.held.at(gateway).wanted;
  for (const auto& [name, held] : tenant.held) {
    if (now - held.told < kQuiet) wants.push_back(held.wanted);
  }
  std::sort(wants.begin(), wants.end());
  double left = most;
  size_t n = wants.size();
  for (double want : wants) {
    double even = left / static_cast<double>(n);
    if (want > even) return std::min(mine, even);  // all that want more than this have as much
    left -= want;
    --n;
  }
  return mine;
}

messages::Loans Lender::OnReport(double now, const std::string& gateway, uint64_t boot,
                                 const messages::Report& report, size_t lenders) {
  messages::Loans out;
  out.number = report.number;
  double part = 1 / static_cast<double>(std::max<size_t>(lenders, 1)), most = kLent * part;
  reported_.insert(gateway);
  awaited_.erase(gateway);
  for (const messages::Use& use : report.uses) {
    Tenant& tenant = tenants_[use.tenant];
    if (use.version >= tenant.version) {
      if (tenant.begun) Fill(now, &tenant, part);
      tenant.version = use.version;
      tenant.rate = std::max(0.0f, use.rate);
      tenant.burst = std::max(0.0f, use.burst);
    }
    Fill(now, &tenant, part);
    Held& held = tenant.held[gateway];
    if (held.boot != boot) {  // another life of it: what the one before held has ended with it
      // What one that this lender had not met before has sent was counted in this lender's earlier life, if
      // at all.
      bool met = held.boot != 0;
      held = Held();
      held.boot = boot;
      if (met) tenant.total += use.sent;
    } else {
      tenant.total += use.sent - std::min(use.sent, held.sent);
    }
    held.sent = use.sent;
    held.wanted = std::max(0.0f, use.wanted);
    held.told = now;
    // Worked out a few times a second at most: most words only ask for a batch.
    if (now >= held.shared + kShareEvery) {
      held.shared = now;
      double others = 0;
      for (const auto& [name, other] : tenant.held) {
        if (name != gateway && now < other.until) others += other.exposed;
      }
      double room = std::max(0.0, most - others);
      held.fraction = std::min(Fair(tenant, gateway, most, now), room);
      // What was lent before this lender's start is known from those who hold it, and from nobody else.
      if (Closed(now)) held.fraction = std::min({static_cast<double>(use.held), room, most});
      held.exposed = std::max(held.fraction, static_cast<double>(use.held));
      tenant.lent = others + held.exposed;
    }
    held.until = now + kTerm;
    double fraction = held.fraction;
    double tokens = std::min(tenant.pool, static_cast<double>(std::max(0.0f, use.lacking)));
    tenant.pool -= tokens;
    out.loans.push_back({use.tenant, static_cast<float>(fraction), static_cast<float>(tokens), tenant.total});
  }
  return out;
}

void Lender::OnTime(double now) {
  for (auto it = tenants_.begin(); it != tenants_.end();) {
    auto& held = it->second.held;
    for (auto at = held.begin(); at != held.end();) {
      at = now >= at->second.until && now - at->second.told > 4 * kTerm ? held.erase(at) : std::next(at);
    }
    it = held.empty() ? tenants_.erase(it) : std::next(it);
  }
}

}  // namespace ivygw::rate_limit
