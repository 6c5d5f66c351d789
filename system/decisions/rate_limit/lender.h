// The lender at a core. Parts of tenants' limits, lent to gateways for a term, and the counter of what they
// have sent. Every core lends its own even part by itself, so that none has to be asked for another's loans:
// all that is lent stays within the limit whoever is in touch with whom. Pure: times are told. One thread.
#ifndef IVYGW_SYSTEM_RATE_LIMIT_LENDER_H_
#define IVYGW_SYSTEM_RATE_LIMIT_LENDER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "messages/control.h"

namespace ivygw::rate_limit {

class Lender {
 public:
  // `first`: nothing can have been lent before this start. Otherwise only what gateways show that they hold
  // is lent on, until all that may hold something have reported, or a term is over.
  Lender(double now, bool first);
  // Those that may hold something of an earlier life's; told again as often as wanted.
  void OnHolders(const std::vector<std::string>& holders);

  // `lenders`: how many cores lend; each an even part.
  messages::Loans OnReport(double now, const std::string& gateway, uint64_t boot,
                           const messages::Report& report, size_t lenders);
  void OnTime(double now);  // lets go of what has ended

  // Lends on only what gateways show that they hold.
  bool Closed(double now) const;
  size_t awaited() const { return awaited_.size(); }

 private:
  struct Held {
    double fraction = 0;  // as lent last
    double exposed =
        0;  // the most that it may be using: a smaller loan counts once its holder has shown that it has it
    double shared = -1;                      // when its part was worked out last
    double until = 0, wanted = 0, told = 0;  // `told`: when it reported last
    uint64_t boot = 0, sent = 0;
  };
  struct Tenant {
    std::map<std::string, Held> held;  // by gateway
    double rate = 0, burst = 0;        // of the newest limit that any gateway has told
    uint64_t version = 0;
    double lent = 0;              // of the limit, to all, as last worked out
    double pool = 0, filled = 0;  // requests; when it was filled last
    bool begun = false;
    uint64_t total = 0;
  };
  double Fair(const Tenant& tenant, const std::string& gateway, double most, double now) const;
  std::map<std::string, Tenant> tenants_;
  void Fill(double now, Tenant* tenant, double part) const;
  double closed_until_ = -1;
  bool first_ = false, holders_known_ = false;
  std::set<std::string> awaited_, reported_;
};

}  // namespace ivygw::rate_limit

#endif  // IVYGW_SYSTEM_RATE_LIMIT_LENDER_H_
