// What gateways share through an engine: small entries by key, each with the revision that wrote it, some
// with a lease. One interface for an embedded SQLite file, for Redis and Valkey, and for the emulator's
// model. Types only; no I/O.
//
// Time: a lease ends by the engine's own clock and by no gateway's. Revisions rise with every batch that is
// done, also over a loss of the newest ones, as far as any caller knows of them (`at_least`); so a revision
// serves as a fence.
//
// Every reply says whether the call is done, not done, or may have been done; the third is settled by
// reading, and is never taken for either of the others. A call that only reads changes nothing and is never
// "may have been done".
#ifndef IVYGW_SHARED_ENGINE_H_
#define IVYGW_SHARED_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ivygw::shared {

inline constexpr size_t kMostKey = 256, kMostValue = size_t{1} << 20;  // bytes
inline constexpr size_t kMostChanges = 64;                             // of a batch, and conditions
inline constexpr size_t kMostEntries = 20000;                          // of a range's answer

enum class Outcome { kDone, kNotDone, kMaybeDone };

// Why a call was not done, or may not have been.
enum class Fault {
  kNone,
  kConflict,     // a condition does not hold: nothing was changed
  kBad,          // the call is none: too long, too many
  kBusy,         // held by another, a queue is full, still loading: again later
  kFull,         // no room
  kReadOnly,     // takes no writes (a replica, a file without the right)
  kMoved,        // the keys are another server's
  kBroken,       // the store can't be read
  kNewer,        // its form is of a later version than this program knows
  kUnreachable,  // no connection, or it ended
  kLate,         // no answer in time
};
const char* FaultName(Fault fault);

struct Entry {
  std::string key, value;
  uint64_t version = 0;                // the revision that wrote it
  std::optional<double> lease_left_s;  // by the engine's clock when it answered; none: it has no lease
};

// Of a batch: this entry is there in this version; 0: none is there, or its lease has ended.
struct Condition {
  std::string key;
  uint64_t version = 0;
};
struct Change {
  std::string key;
  std::optional<std::string> value;  // none: it goes
  std::optional<double> lease_s;     // from when the engine writes it; none: it stays
  bool renew =
      false;  // the entry stays as it is, in its version, and its lease begins anew; none is there: nothing
};
// All of it, or nothing. One with conditions alone changes nothing, and tells whether they hold.
struct Batch {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
  uint64_t at_least = 0;  // the highest revision that the caller has heard of
};

enum class CallKind { kGet, kRange, kCommit, kChanges };
struct Call {
  CallKind kind = CallKind::kGet;
  std::string key;     // kGet; the prefix of kRange; the space of kChanges
  Batch batch;         // kCommit
  uint64_t since = 0;  // kChanges: entries that were written after this revision
  // A fault of this call, before it reaches the engine: empty if it is sound.
  std::string Unsound() const;
};

struct Reply {
  Outcome outcome = Outcome::kNotDone;
  Fault fault = Fault::kUnreachable;
  std::string why;                // in words, where it was not done
  std::string generation;         // of the store: another one where it was made anew
  uint64_t revision = 0;          // that it has; of kCommit, that which it wrote
  std::vector<Entry> entries;     // kGet (none or one), kRange by key, kChanges by version
  std::vector<std::string> gone;  // kChanges: keys whose entries have gone since
  bool whole = true;  // kChanges: false where the engine no longer knows so far back: read the range
  bool done() const { return outcome == Outcome::kDone; }
};

using Done = std::function<void(const Reply&)>;

// Never blocks; `done` runs once, later, on the caller's thread, unless the engine is destroyed before.
class Engine {
 public:
  virtual ~Engine() = default;
  virtual void Ask(Call call, Done done) = 0;
};

// Calls by name.
inline Call Get(std::string key) { return {CallKind::kGet, std::move(key), {}, 0}; }
inline Call Range(std::string prefix) { return {CallKind::kRange, std::move(prefix), {}, 0}; }
inline Call Commit(Batch batch) { return {CallKind::kCommit, "", std::move(batch), 0}; }
inline Call ChangesSince(std::string space, uint64_t revision) {
  return {CallKind::kChanges, std::move(space), {}, revision};
}
// What a key has before its first '/'. Changes are told by space, so that who follows one pays nothing for
// the others.
inline std::string SpaceOf(const std::string& key) { return key.substr(0, key.find('/')); }

inline Change Put(std::string key, std::string value, std::optional<double> lease_s = std::nullopt) {
  return {std::move(key), std::move(value), lease_s, false};
}
inline Change Remove(std::string key) { return {std::move(key), std::nullopt, std::nullopt, false}; }
inline Change Renew(std::string key, double lease_s) { return {std::move(key), std::nullopt, lease_s, true}; }

Reply NotDone(Fault fault, std::string why);
Reply MaybeDone(Fault fault, std::string why);

// Has the engine lost what it had told? A store made anew, put back from a copy, or a fail-over that lost
// writes shows by its generation, or by a revision under one that it told before. One for each engine, whose
// replies come in order.
class Watermark {
 public:
  enum class Seen { kSame, kFirst, kLost };
  Seen See(const Reply& reply) {
    if (!reply.done()) return Seen::kSame;
    bool first = generation_.empty();
    bool lost = !first && (reply.generation != generation_ || reply.revision < told_);
    generation_ = reply.generation;
    told_ = reply.revision;
    highest_ = highest_ > told_ ? highest_ : told_;
    losses_ += lost;
    return first ? Seen::kFirst : lost ? Seen::kLost : Seen::kSame;
  }
  uint64_t highest() const { return highest_; }  // for Batch::at_least
  uint64_t losses() const { return losses_; }

 private:
  std::string generation_;
  uint64_t told_ = 0, highest_ = 0, losses_ = 0;
};

}  // namespace ivygw::shared

#endif  // IVYGW_SHARED_ENGINE_H_
