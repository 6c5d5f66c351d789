// Luxmore (replicated versioned items): one core's copy of a table of items, each with a version of its own. Any core takes
// a write; copies merge item by item; digests over ranges find what differs, and the newer mends the older. There is no log
// and no leader. Pure: events in, effects out; the time of each event is told (seconds of one steady clock). One thread.
//
// What is promised. An item is `safe` once copies that count, on disks of more than half of the cores, hold it (or one that
// supersedes it). Only that is acknowledged, and only that is shown to gateways. A copy that came back blank counts toward
// nothing until it holds all that a majority without it holds, since what it had acknowledged may stand on any one of them.
#ifndef IVYGW_SYSTEM_LUXMORE_REPLICA_H_
#define IVYGW_SYSTEM_LUXMORE_REPLICA_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "heaphy/messages.h"

namespace ivygw::luxmore {

using heaphy::Item;
using heaphy::Mark;
using heaphy::Message;

using messages::DigestOf;
using messages::Newer;
using messages::RangeOf;

struct ReplicaOptions {
  std::string self;              // IP address
  std::set<std::string> cores;   // all that are known, itself among them
  bool blank = false;
  uint32_t life = 1;             // drawn anew at each start: what answers an earlier one answers nobody now
  double patience_s = 0.9;       // for a write or a fresh view to be had
  double digest_every_s = 0.4;
  size_t ranges = 16;
};

class Replica {
 public:
  enum class Outcome { kDone, kUnclear };
  struct Store {
    uint64_t batch = 0;
    std::vector<Item> items;
    bool counts = false;           // this copy counts from now on: to be written with the items
    std::set<std::string> cores;   // where they have changed: all that are known
  };
  struct Effects {
    std::vector<std::pair<std::string, Message>> sends;      // to the core of that address
    std::vector<Store> stores;                               // to be synced, in order; OnStored tells of each
    std::vector<std::pair<uint64_t, Outcome>> done;          // tickets of Write and Fresh
    std::vector<std::string> applied;                        // keys of which this copy has another item now
    std::vector<std::string> safe;                           // keys of which a newer item is safe now
  };
  struct Entry {
    Item item;
    uint64_t digest = 0;
    bool synced = false, safe = false;
    uint32_t holders = 0;          // bits of cores whose disks hold it
    // What was safe before, while `item` isn't yet: what gateways are shown.
    Item shown;
    bool has_shown = false;
  };

  Replica(ReplicaOptions options, std::vector<Item> from_disk);

  void OnPeer(double now, const std::string& core, bool up, Effects* out);
  void OnCores(double now, const std::vector<std::string>& cores, Effects* out);  // that others know of
  void OnMessage(double now, const std::string& from, const Message& message, Effects* out);
  void OnStored(double now, uint64_t batch, bool ok, Effects* out);
  void OnTime(double now, Effects* out);

  // The outcome comes once for each ticket. kDone of a write: of each key, these items or newer ones are safe.
  void Write(double now, uint64_t ticket, const std::vector<Item>& items, Effects* out);
  // kDone: this copy holds all that was safe when this was asked.
  void Fresh(double now, uint64_t ticket, Effects* out);
  // Tombstones of which nobody will ask again; purely local, so only for tables whose keys are never used anew.
  void Forget(const std::string& key);

  const std::map<std::string, Entry>& entries() const { return entries_; }
  bool blank() const { return options_.blank; }
  // This copy has at some time since its start held all that a majority did: what it has not shown is not older than that.
  bool complete() const { return complete_; }
  const std::set<std::string>& cores() const { return options_.cores; }
  size_t majority() const { return options_.cores.size() / 2 + 1; }

 private:
  struct Pending {
    size_t waits = 0;   // keys that are not safe yet
    double until = 0;
  };
  struct Asked {
    std::set<std::string> even;  // cores whose copy holds nothing that this doesn't
    uint64_t round = 0;          // answers to older rounds don't count
    double until = 0, again = 0;
  };
  struct Word {  // PutDone, to be sent where all of the keys stand on disk
    std::string to;
    uint64_t number = 0;
    std::vector<std::string> keys;
  };
  struct Batch {
    std::vector<Mark> marks;
    std::vector<Word> words;
    bool counts = false;
  };
  uint32_t Bit(const std::string& core) const;
  size_t Range(const std::string& key) const { return RangeOf(key, options_.ranges); }
  bool Merge(const Item& item, std::vector<Item>* changed, Effects* out);
  void Sum(const Entry& entry);
  void Synced(Entry* entry);
  heaphy::Digests Told(uint64_t round, bool answer) const;
  void Keep(std::vector<Item> items, std::vector<Word> words, Effects* out);
  void Hold(Entry* entry, uint32_t bit, std::vector<Mark>* made, Effects* out);
  void MakeSafe(Entry* entry, Effects* out);
  void Free(const std::string& key, Effects* out);
  void Announce(std::vector<Mark> made, Effects* out);
  void SendPut(const std::string& core, const std::vector<Item>& items, Effects* out);
  void Settle(double now, Effects* out);
  void AskDigests(double now, Effects* out);
  void OnDigests(double now, const std::string& from, const heaphy::Digests& digests, Effects* out);
  void OnMarks(const std::string& from, const heaphy::RangeMarks& told, Effects* out);
  void Even(double now, const std::string& from, bool blank, uint64_t round, Effects* out);

  ReplicaOptions options_;
  std::map<std::string, Entry> entries_;
  std::vector<uint64_t> sums_;      // by range, of all entries
  std::vector<uint32_t> unsynced_;  // by range, how many entries the disk has not yet
  std::set<std::string> up_, even_once_, even_now_;
  std::map<uint64_t, Pending> pending_;                // by ticket, so by when they end
  std::map<std::string, std::set<uint64_t>> waiters_;  // tickets that wait for a key to be safe
  std::map<uint64_t, Asked> asked_;
  std::map<uint64_t, Batch> batches_;
  std::map<uint64_t, std::string> puts_;             // out, to whom
  std::map<uint64_t, std::vector<Mark>> put_marks_;  // and of what
  std::set<std::string> unsafe_;                     // keys of which the newest item is not known to be safe
  std::set<std::string> refused_;                    // keys that the disk would not take
  uint64_t last_batch_ = 0, round_ = 0, put_ = 0;
  double digests_due_ = 0;
  bool complete_ = false, counting_ = false;
};

}  // namespace ivygw::luxmore

#endif  // IVYGW_SYSTEM_LUXMORE_REPLICA_H_
