// Hollyford (the lender at a core): parts of tenants' limits, lent to gateways for a term, and the counter of what they have
// sent. Every core lends its own even part by itself, so that none has to be asked for another's loans: all that is lent stays
// within the limit whoever is in touch with whom. Pure: times are told. One thread.
#ifndef IVYGW_SYSTEM_HOLLYFORD_LENDER_H_
#define IVYGW_SYSTEM_HOLLYFORD_LENDER_H_

#include <map>
#include <string>

#include "heaphy/messages.h"

namespace ivygw::hollyford {

class Lender {
 public:
  // `first`: nothing can have been lent before this start. Otherwise, for a term, only what a gateway still holds is lent on.
  Lender(double now, bool first);

  // `lenders`: how many cores lend; each an even part.
  heaphy::Loans OnReport(double now, const std::string& gateway, uint64_t boot, const heaphy::Report& report, size_t lenders);
  void OnTime(double now);  // lets go of what has ended

  // Of a tenant's limit, what may be in use by this lender's word now.
  double Lent(double now, const std::string& tenant) const;
  size_t tenants() const { return tenants_.size(); }

 private:
  struct Held {
    double fraction = 0;  // as lent last
    double exposed = 0;   // the most that it may be using: a smaller loan counts once its holder has shown that it has it
    double until = 0, wanted = 0, told = 0;  // `told`: when it reported last
    uint64_t boot = 0, sent = 0;
  };
  struct Tenant {
    std::map<std::string, Held> held;  // by gateway
    uint64_t total = 0;
  };
  double Fair(const Tenant& tenant, const std::string& gateway, double most, double now) const;
  std::map<std::string, Tenant> tenants_;
  double closed_until_ = -1;
};

}  // namespace ivygw::hollyford

#endif  // IVYGW_SYSTEM_HOLLYFORD_LENDER_H_
