// What one gateway borrows of all customers' ceilings: the demand that it sees of each, and the loans that
// follow (lending.h). Pure: the time of each event is told (seconds of one monotonic clock of this gateway),
// calls to the engine come out with the customer and a number. Bounded: no more than `most` customers at a
// time; who comes beyond that has no share here. One thread.
#ifndef IVYGW_PARTS_LOANS_H_
#define IVYGW_PARTS_LOANS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "parts/ceiling.h"
#include "parts/lending.h"

namespace ivygw::parts {

struct LoansOptions {
  std::string boot;  // of this gateway's start, unique for ever
  double lease_s = 3, margin = 0.1;
  double turn_s = 6;
  size_t most = 256;
};

class Loans {
 public:
  struct Ask {
    uint64_t customer = 0, number = 0;
    shared::Call call;
  };
  using Asks = std::vector<Ask>;
  struct Told {
    uint64_t customer = 0;
    double share = 0,
           until = 0;  // of the customer's lent part; until when it may be used, on this gateway's clock
  };

  Loans(LoansOptions options, Borrower::RightOf right)
      : options_(std::move(options)), right_(std::move(right)) {}

  // A request of so many units has come. `whole`: the customer's ceiling, with `lent` at nought or over.
  void OnAsked(double now, uint64_t customer, double units, const Allowance& whole, Asks* out);
  void OnTime(double now, Asks* out);
  void OnReply(double now, uint64_t customer, uint64_t number, const shared::Reply& reply, Asks* out);
  void GiveBack(double now, Asks* out);  // all, for good
  // Shares that have changed since this was asked last. To be told before any call that came out since is
  // made: what is given back must not be used any more when the engine hears of it.
  std::vector<Told> Changes(double now);
  double NextDue() const;

  struct Figures {
    size_t customers = 0, held = 0, waiting = 0;
    double shares = 0;  // held, added up
    uint64_t conflicts = 0, turned_away = 0;
  };
  Figures figures() const;
  size_t calls_out() const { return calls_out_; }
  uint64_t calls_made() const { return calls_made_; }

 private:
  struct Account {
    std::unique_ptr<Borrower> borrower;
    double demand = 0, asked_at = 0;  // units a second, of late; when that was
    double told_share = 0, told_until = -1;
  };
  double Kept() const {
    return 2 * options_.lease_s;
  }  // s over which demand is taken, and without which a share is given back
  void Collect(uint64_t customer, Borrower::Asks* asks, Asks* out);

  const LoansOptions options_;
  const Borrower::RightOf right_;
  std::map<uint64_t, Account> accounts_;
  std::vector<Told> dropped_;
  uint64_t turned_away_ = 0, conflicts_ = 0, calls_made_ = 0;
  size_t calls_out_ = 0;
  bool over_ = false;
};

}  // namespace ivygw::parts

#endif  // IVYGW_PARTS_LOANS_H_
