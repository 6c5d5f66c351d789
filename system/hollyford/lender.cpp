#include "hollyford/lender.h"

#include <algorithm>
#include <vector>

#include "hollyford/admission.h"

namespace ivygw::hollyford {
namespace {

constexpr double kQuiet = 2;  // s; who has not reported for so long wants nothing more, but keeps what it holds

}  // namespace

Lender::Lender(double now, bool first) : closed_until_(first ? -1 : now + kTerm) {}

// Max-min fair among those that report: nobody gets more while another that wants more has less; what nobody wants is
// spread evenly over them.
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
    if (want == mine && n == 0) break;
  }
  return mine + left / static_cast<double>(wants.size());
}

heaphy::Loans Lender::OnReport(double now, const std::string& gateway, uint64_t boot, const heaphy::Report& report, size_t lenders) {
  heaphy::Loans out;
  out.number = report.number;
  double most = kLentInAll / static_cast<double>(std::max<size_t>(lenders, 1));
  for (const heaphy::Use& use : report.uses) {
    Tenant& tenant = tenants_[use.tenant];
    Held& held = tenant.held[gateway];
    if (held.boot != boot) {  // another life of it: what the one before held has ended with it
      held = Held();
      held.boot = boot;
      tenant.total += use.sent;
    } else {
      tenant.total += use.sent - std::min(use.sent, held.sent);
    }
    held.sent = use.sent;
    held.wanted = std::max(0.0f, use.wanted);
    held.told = now;
    double others = 0;
    for (const auto& [name, other] : tenant.held) {
      if (name != gateway && now < other.until) others += other.exposed;
    }
    double room = std::max(0.0, most - others);
    double fraction = std::min(Fair(tenant, gateway, most, now), room);
    // What was lent before this lender's start is known from those who hold it, and from nobody else.
    if (now < closed_until_) fraction = std::min({static_cast<double>(use.held), room, most});
    held.fraction = fraction;
    held.exposed = std::max(fraction, static_cast<double>(use.held));
    held.until = now + kTerm;
    out.loans.push_back({use.tenant, static_cast<float>(fraction), tenant.total});
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

double Lender::Lent(double now, const std::string& name) const {
  auto it = tenants_.find(name);
  if (it == tenants_.end()) return 0;
  double sum = 0;
  for (const auto& [gateway, held] : it->second.held) {
    if (now < held.until) sum += held.exposed;
  }
  return sum;
}

}  // namespace ivygw::hollyford
