// A gateway among the others: keeps its own entry alive in the shared engine, knows by its own clock when it
// no longer counts, and keeps a view of who is there. Pure: the time of each event is told (seconds of one
// monotonic clock of this gateway alone), what is to be asked of the engine comes out as calls with numbers.
// One thread.
//
// What it promises, whatever is lost, late or paused:
//   - `Sure` is true only while this gateway's lease stands by the engine's clock: a lease counts from before
//   its call
//     went out, and a margin of it is given up for clocks that run apart. Who can't renew knows before the
//     others do.
//   - no two that are sure have one name, one slot or one fence: each is claimed by compare-and-set.
//   - what may have been done is settled by reading, never guessed.
//   - parts of one over `Number`, of all that `Count`, add up to no more than one: one that joins does not
//   count before
//     the others must have seen it; one whose lease has ended counts for a little less than `hold_s` more,
//     and the others go on counting it for `hold_s` from when they saw it gone. So an engine that is away for
//     a moment changes nothing, and after that nobody counts. Who leaves by itself is not waited for.
//
// An act whose right matters where it takes effect carries `Right()` in its own batch: the slot is still this
// boot's.
#ifndef IVYGW_MEMBERSHIP_MEMBERSHIP_H_
#define IVYGW_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/member.h"
#include "shared/engine.h"

namespace ivygw::membership {

struct Options {
  double lease_s = 3;
  double margin = 0.1;  // of the lease, given up for clocks that run apart
  double hold_s = 6;    // for which one that has gone is still counted
  int preferred_slot = 0;
  // Another process may live under this name: it is the one before, which hands over.
  bool heir = false;
};

enum class Phase {
  kOut,     // not a member (yet, or any more)
  kMember,  // its entry stands, as far as it knows
  kTaken,   // another process lives under its name
  kLeft,    // for good
};
const char* PhaseName(Phase phase);

// What is to be asked of the engine.
struct Ask {
  uint64_t number = 0;
  shared::Call call;
};
using Asks = std::vector<Ask>;

class Membership {
 public:
  // `draw` gives numbers from 0, under 1; `self` is this gateway, of state joining and no slot.
  Membership(const Options& options, Member self, std::function<double()> draw);

  // What is due. To be called at `NextDue`, or at any time.
  void OnTime(double now, Asks* out);
  double NextDue() const;
  // The answer to a call; a late or doubled one changes nothing.
  void OnReply(double now, uint64_t number, const shared::Reply& reply, Asks* out);
  // It serves, or is leaving; in the end it leaves: its entry goes, and it never comes back.
  void Become(State state, double now, Asks* out);
  void Leave(double now, Asks* out);

  Phase phase() const { return phase_; }
  const Member& self() const { return self_; }
  bool Sure(double now) const { return phase_ == Phase::kMember && now < sure_until_; }
  // May use its part of what is shared by number.
  bool Counts(double now) const;
  Fence fence() const { return fence_; }
  // The condition of an act in this gateway's name.
  shared::Condition Right() const { return {SlotKey(self_.slot), slot_version_}; }

  // Who is there, by name, as last read.
  struct Seen {
    Member member;
    uint64_t version = 0;
    double gone_at = -1;  // by this gateway's clock; -1: it is there
  };
  const std::map<std::string, Seen>& seen() const { return seen_; }
  std::vector<Member> Live() const;
  // How many are to be counted for parts; 0 where nothing is known yet.
  int Number(double now) const;
  double ViewAge(double now) const { return viewed_at_ < 0 ? -1 : now - viewed_at_; }
  // Rises with each change of who is there.
  uint64_t changes() const { return changes_; }
  const shared::Watermark& watermark() const { return watermark_; }
  size_t calls_out() const { return calls_.size(); }
  uint64_t calls_made() const { return last_; }
  uint64_t bad_entries() const { return bad_entries_; }

  static std::string Key(const std::string& name) { return "member/" + name; }
  static std::string SlotKey(int slot);

  // All that decides what comes next, for a search of its states.
  std::string Fingerprint(double now) const;

 private:
  enum class Doing { kNothing, kJoin, kRenew, kWrite, kSettle, kLeave };
  struct Out {
    Doing doing = Doing::kNothing;  // kNothing: a reading of the view
    double sent = 0;
    bool whole = false;             // a reading of the whole view
    State state = State::kJoining;  // of a write: what it was before
  };

  uint64_t Send(double now, Doing doing, shared::Call call, Asks* out);
  void Join(double now, Asks* out);
  void Claim(double now, int slot, uint64_t over, Asks* out);
  void Renew(double now, Asks* out);
  void Settle(double now, Asks* out);
  void Look(double now, Asks* out);
  void Stands(double now, double until);
  void Lost(double now, Phase phase);
  void OnOwn(double now, const Out& call, const shared::Reply& reply, Asks* out);
  void OnView(double now, const Out& call, const shared::Reply& reply);
  void Saw(double now, const shared::Entry& entry);
  void Gone(double now, const std::string& name);
  double Every() const { return options_.lease_s / 3; }

  const Options options_;
  Member self_;
  const std::function<double()> draw_;
  Phase phase_ = Phase::kOut;
  Doing doing_ = Doing::kNothing;  // of its own entry: one call at a time
  uint64_t doing_number_ = 0;
  bool leave_ = false;
  State wanted_ = State::kJoining, before_ = State::kJoining;
  uint64_t version_ = 0, slot_version_ = 0;  // of its entry, and of its slot's
  Fence fence_;
  double sure_until_ = -1, counts_from_ = -1, renew_at_ = 0, join_at_ = 0, look_at_ = 0, deadline_ = 0,
         look_deadline_ = 0;
  double patience_ = 0;  // for which a call about its own entry is waited for
  int failed_joins_ = 0;
  std::map<uint64_t, Out> calls_;
  uint64_t looking_ = 0, last_ = 0;
  std::map<std::string, Seen> seen_;
  std::map<int, std::string> slots_;  // taken, as last read
  double viewed_at_ = -1;
  uint64_t view_revision_ = 0, changes_ = 0, bad_entries_ = 0;
  shared::Watermark watermark_;
};

}  // namespace ivygw::membership

#endif  // IVYGW_MEMBERSHIP_MEMBERSHIP_H_
