// One gateway's borrowing of parts of one customer's allowance, over an engine that gateways share: each
// holds a share for a lease, by need, and all shares that are valid add up to one at the most, whatever is
// lost, late, doubled or paused. Pure: the time of each event is told (seconds of one monotonic clock of this
// gateway), calls to the engine come out with numbers. One thread.
//
// How. All loans of a customer lie under one prefix, beside a ledger entry that every change of a share
// writes. Who wants another share reads them all at once and writes its own and the ledger entry on condition
// that the latter is as it was read: changes of one customer's shares are one after another, and each leaves
// a sum of one at most. A loan ends with its lease by the engine's clock; its holder stops a margin earlier
// by its own. Giving back takes effect here before it is asked for, taking only when it is known to be done.
// Who finds its entry gone before its time knows that the engine has lost writes, and asks for nothing for a
// lease: what others hold may be forgotten too.
//
// How much. Max-min fair over what each says that it needs: nobody gets more while another that wants more
// has less. A share holds the largest request at least; where not all who ask can have that much, as many as
// can take turns, in the order in which they began to wait. What nobody needs is spread evenly over those who
// ask.
//
// A share that grows brings no store with it: what it lets pass in a burst begins from nought, so that a
// burst never passes twice (Ceiling::Begin).
#ifndef IVYGW_PARTS_LENDING_H_
#define IVYGW_PARTS_LENDING_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shared/engine.h"

namespace ivygw::parts {

// A loan as it stands in the engine.
struct Loan {
  double share = 0;    // of the whole, 0 to 1; 0: it waits for one
  double need = 0;     // share that it could use
  uint64_t since = 0;  // revision from which it has waited, or held its turn; 0: not known yet
};
std::string Write(const Loan& loan);
// What is no loan of this form counts as one that holds all: nothing is lent until it has gone.
Loan ReadLoan(const std::string& text);

// The shares that all who ask are to have, in the order given: max-min fair, `least` or nothing each. Sums to
// one at most. Where `least` does not go round, those with the smallest `since` come first.
std::vector<double> FairShares(const std::vector<Loan>& loans, double least);

struct LendingOptions {
  std::string customer, boot;  // of this gateway's start, unique for ever
  double lease_s = 3, margin = 0.1;
  double least = 0.01;  // share that holds the largest request
  double turn_s = 6;    // for which a turn is held where others wait
  double idle_s = 10;   // without need a share is given back
};

class Borrower {
 public:
  struct Ask {
    uint64_t number = 0;
    shared::Call call;
  };
  using Asks = std::vector<Ask>;
  // The condition that this gateway's place is its own; none while it is not sure of it.
  using RightOf = std::function<std::optional<shared::Condition>(double now)>;

  Borrower(LendingOptions options, RightOf right) : options_(std::move(options)), right_(std::move(right)) {}
  Borrower(const Borrower& other, RightOf right) : Borrower(other) {
    right_ = std::move(right);
  }  // for searches

  // What it could use now, as a share of the whole.
  void Need(double share, double now, Asks* out);
  void OnTime(double now, Asks* out);
  void OnReply(double now, uint64_t number, const shared::Reply& reply, Asks* out);
  double NextDue() const;
  void GiveBack(double now, Asks* out);  // all, for good

  // The share that may be used now.
  double Share(double now) const { return now < valid_until_ ? share_ : 0; }
  double ValidUntil() const { return valid_until_; }  // of that share
  bool Waits() const { return loan_.need > 0 && loan_.share <= 0; }
  uint64_t conflicts() const { return conflicts_; }
  uint64_t calls_made() const { return last_; }
  uint64_t highest = 0;  // revision heard of

  static std::string Prefix(const std::string& customer) { return "loan/" + customer + "/"; }
  std::string Fingerprint(double now) const;

 private:
  enum class Doing { kNothing, kRead, kWrite, kRenew };
  Borrower(const Borrower&) = default;
  std::string Key() const { return Prefix(options_.customer) + options_.boot; }
  std::string LedgerKey() const { return Prefix(options_.customer) + "!"; }
  double Every() const { return options_.lease_s / 3; }
  void Send(double now, Doing doing, shared::Call call, Asks* out);
  void Read(double now, Asks* out);
  void OnRead(double now, const shared::Reply& reply, Asks* out);
  void OnWritten(double now, const shared::Reply& reply, Asks* out);
  void Lapse(double now);

  const LendingOptions options_;
  RightOf right_;
  double need_ = 0, needed_at_ = -1e9;
  double share_ = 0, valid_until_ = -1;  // as it may be used here
  Loan loan_, pending_;                  // as last known in the engine; as written by the call that is out
  uint64_t version_ = 0;                 // of its entry; 0: there is none, as far as is known
  double held_from_ = -1;                // its turn
  double alive_until_ = -1,
         quiet_until_ = -1;  // until when its entry must be there; until when nothing is asked for
  Doing doing_ = Doing::kNothing;
  uint64_t number_ = 0, last_ = 0, conflicts_ = 0;
  double sent_ = 0, due_ = 0;
  bool over_ = false;
};

}  // namespace ivygw::parts

#endif  // IVYGW_PARTS_LENDING_H_
