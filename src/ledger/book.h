// Works in hand that survive the loss of their gateway: a request with a client's key is read up before it is
// served, its attempts are made durable before their first byte, and what came of it is kept for who comes
// back. Pure: time is told (seconds of one monotonic clock of this gateway), calls to the shared engine come
// out with numbers. One thread.
//
// What it promises, under any pause, loss or delay, as long as the engine keeps what it has acknowledged:
//   1. No two gateways send for one work at a time: each intent is a compare-and-set on the work's record, in
//   the same
//      batch as this gateway's right to its place. One that was claimed from it, or whose lease is over,
//      sends nothing more. No clock takes part in this.
//   2. A work that is unsafe to repeat and may have run is never sent again by anyone. Its client is told a
//   failure,
//      which promises nothing.
//   3. A keyed one that may have run is sent again only within its group, and only while the group still
//   remembers: the
//      time since its first intent is taken by the engine's clock. Between an intent's check and its first
//      byte a pause may lie; what is written after it is bounded by `most_pause_s`, which the age is raised
//      by.
//   4. Who comes back gets one answer: the recorded one; or, while the owner lives, the owner's as soon as it
//   is
//      recorded; or that of the work as it is gone on with.
//   5. A refused work leaves nothing behind, or its place to whoever asks next.
// What it does not promise: an answer that went out and was not yet recorded when its gateway died is not
// known to anyone; such a work counts as one that may have run.
#ifndef IVYGW_LEDGER_BOOK_H_
#define IVYGW_LEDGER_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "ledger/record.h"
#include "shared/engine.h"

namespace ivygw::ledger {

// What is done without the engine's word.
enum class Without {
  kRefuse,  // refused at once, with when to return
  kGoOn,    // served without the promises, and told so
};

struct Options {
  std::string name, boot;                  // of this gateway
  double life_s = 60;                      // for which an ended work is kept
  double patience_s = 0.15;                // for which the engine is waited for, while a client waits
  double look_every_s = 0.05;              // how often an owner's outcome is looked for, at first
  double most_pause_s = 0.25;              // between an intent's check and its first byte
  size_t most_answer = size_t{16} * 1024;  // bytes of an answer that are kept
  size_t most_open = 4096;                 // works in hand; past that the engine's absence rule holds
  double retry_after_s = 1;
  Without keyed = Without::kRefuse, unsafe = Without::kRefuse, safe = Without::kGoOn;
};

// A request with a key.
struct Asked {
  uint64_t client = 0;  // the driver's word; one work at a time
  std::string work;     // its name, of NameOf
  std::string body;     // hash of what it sends
  Effect effect = Effect::kSafe;
  double timeout_s = 0;
};

// What was tried before, for the decision module.
struct Prior {
  bool recorded = false;  // the works' promises hold for it
  bool charged = false;   // its units are counted already
  bool may_have_run = false;
  double ran_age_s = 0;  // since the first attempt that may have run
  std::string backend;   // that attempt's
  int zone = 0, cell = 0;
  int attempts = 0;
};

// What the driver is to do.
struct Ask {
  uint64_t number = 0;
  shared::Call call;
};
struct Admit {  // hand it to the core
  uint64_t client = 0;
  Prior prior;
  double left_s = 0;  // of its client's time
};
struct Tell {  // the final answer to a client that the core does not know (any more)
  uint64_t client = 0;
  int status = 0;
  double retry_after_s = 0;
  std::string type, body;
  const char* why = "";  // a word for the answer's header
};
struct IntentTold {  // the attempt may be written, or must not be
  uint32_t request = 0;
  int attempt = 0;
  bool ok = false;
};
struct Withdraw {  // the core is to forget the request: the work is another's, or has been answered
  uint64_t client = 0;
};
struct Unrecorded {  // goes on without the promises from here
  uint64_t client = 0;
};
struct Release {  // the answer that was held goes out
  uint64_t client = 0;
};
using Decision = std::variant<Ask, Admit, Tell, IntentTold, Withdraw, Unrecorded, Release>;
using Decisions = std::vector<Decision>;

struct Figures {
  uint64_t recorded = 0;   // first intents made durable
  uint64_t claimed = 0;    // works of another taken over
  uint64_t answered = 0;   // from a record
  uint64_t waited = 0;     // for an owner's outcome
  uint64_t uncertain = 0;  // told a failure since it may have run
  uint64_t conflicts = 0;  // same key, another body
  uint64_t without = 0;    // served without the promises
  uint64_t refused = 0;    // since the engine gave no word
  uint64_t lost = 0;       // taken from this gateway by another
  uint64_t closed = 0;     // of gateways that have gone, at their deadline
};

class Book {
 public:
  // `right`: the condition that this gateway's place is its own, and its fence; none while it is not sure of
  // it.
  struct Right {
    shared::Condition condition;
    uint64_t fence = 0;
  };
  using RightOf = std::function<std::optional<Right>(double now)>;
  Book(const Options& options, RightOf right) : options_(options), right_(std::move(right)) {}
  // As `other` stands, and by itself from there on: for searches.
  Book(const Book& other, RightOf right) : Book(other) { right_ = std::move(right); }

  void OnAsked(double now, const Asked& asked, Decisions* out);
  // The core holds the client's request under this number.
  void OnHeld(uint64_t client, uint32_t request);
  // The core is to send an attempt. `true`: it waits for IntentTold; false: it is no work of this book's.
  bool OnIntend(double now, uint32_t request, int attempt, const std::string& backend, int zone, int cell,
                Decisions* out);
  void OnAttemptEnded(double now, uint32_t request, int attempt, bool may_have_run);
  // The core's final answer. True: it goes out now; false: it is held until Release, or Tell in its place.
  bool OnAnswer(double now, uint64_t client, int status, const std::string& type, const std::string& body,
                Decisions* out);
  // Its client has gone. True: the core is to go on with it all the same, so that its outcome is known to who
  // comes back.
  bool OnClientGone(double now, uint64_t client, Decisions* out);

  void OnReply(double now, uint64_t number, const shared::Reply& reply, Decisions* out);
  void OnTime(double now, Decisions* out);
  double NextDue() const;
  // A gateway has gone; `mine`: whether this one is to close the work, of all that are there.
  void OnGone(double now, const std::string& boot, std::function<bool(const std::string& work)> mine,
              Decisions* out);

  const Figures& figures() const { return figures_; }
  size_t open() const { return works_.size(); }
  size_t calls_out() const { return calls_.size(); }
  // All that decides what comes next but when, for a search of its states.
  std::string Fingerprint() const;
  uint64_t highest = 0;  // revision heard of; for Batch::at_least

  static std::string Key(const std::string& work) { return "work/" + work; }
  static std::string OpenKey(const std::string& boot, const std::string& work) {
    return "open/" + boot + "/" + work;
  }

  Book& operator=(const Book&) = delete;

 private:
  Book(const Book&) = default;
  enum class Phase {
    kReading,    // its record is being read
    kOwner,      // whether its owner lives is being read
    kClaiming,   // a claim is out
    kWaiting,    // for the owner's outcome
    kHeld,       // the core has it
    kIntending,  // and an intent of it is out
    kChecking,   // an intent that may have been made durable is being read
    kEnding,     // its outcome is being recorded
    kEndCheck,   // and the record is being read, since that may have been done, or was not taken
    kEndAgain,   // and is tried again later
  };
  struct Work {
    uint64_t id = 0;
    Asked asked;
    Phase phase = Phase::kReading;
    double until = 0;  // its client's time
    double began = 0;
    bool there = true;  // its client is, and has had no answer
    bool held = false;  // the core's answer waits for the record
    bool promised = true;
    bool maybe_there = false;  // of a record that was not seen, and may have been written
    uint32_t request = 0;
    uint64_t version = 0;  // of its record; 0: there is none
    Record record, pending;
    double read_at = 0, pending_at = 0;  // when the ages of the record, and of the pending one, held
    double look_s = 0;
    uint64_t number = 0;  // of the call that is out; 0: none
    double due = 0;
    int intending = -1;               // the core's number of the attempt
    std::map<int, size_t> intent_of;  // position among the record's intents, by the core's attempt
    int tries = 0;                    // of what is being done
  };
  struct Out {
    enum Kind { kWork, kGone, kCloseRead, kClose } kind = kWork;
    uint64_t id = 0;
    std::string work, boot;
    std::function<bool(const std::string&)> mine;
  };
  struct Closing {
    std::string work, boot;
  };

  uint64_t Send(Out call, shared::Call what, Decisions* out);
  void SendFor(double now, Work* w, Phase phase, shared::Call call, Decisions* out);
  void Due(Work* w, double at);
  void ReadUp(double now, Work* w, Decisions* out);
  void OnRecord(double now, Work* w, const shared::Reply& reply, Decisions* out);
  void OnOwner(double now, Work* w, const shared::Reply& reply, Decisions* out);
  void Claim(double now, Work* w, std::optional<shared::Condition> owner, Decisions* out);
  void OnClaimed(double now, Work* w, const shared::Reply& reply, Decisions* out);
  void OnIntent(double now, Work* w, const shared::Reply& reply, Decisions* out);
  void OnChecked(double now, Work* w, const shared::Reply& reply, Decisions* out);
  void OnEnd(double now, Work* w, const shared::Reply& reply, Decisions* out);
  void OnEndChecked(double now, Work* w, const shared::Reply& reply, Decisions* out);
  void Take(double now, Work* w, const shared::Reply& reply, Decisions* out);
  void Wait(double now, Work* w);
  void Hand(double now, Work* w, Decisions* out);
  void WithoutWord(double now, Work* w, const char* why, Decisions* out);
  void WriteIntent(double now, Work* w, Decisions* out);
  void NoIntent(double now, Work* w, bool unknown, Decisions* out);
  void LetGo(Work* w);
  void Lost(double now, Work* w, Decisions* out);
  void WriteEnd(double now, Work* w, Decisions* out);
  void EndLost(double now, Work* w, const std::optional<Record>& record, Decisions* out);
  void Answer(Work* w, int status, double retry_after_s, std::string type, std::string body, const char* why,
              Decisions* out);
  void FromRecord(Work* w, const Record& record, Decisions* out);
  void Forget(Work* w);
  void OnClosing(double now, const Out& call, const shared::Reply& reply, Decisions* out);
  shared::Batch Batch(const Work& w, const Right& right, const Record& record) const;
  double LeaseOf(const Work& w, double now) const;
  Record Mine(const Work& w, const Right& right, double now) const;
  double Age(const Work& w, size_t intent, double now) const;
  bool HeldHere(const Work& w) const;
  Work* Find(uint64_t id);
  Without RuleOf(Effect effect) const;

  const Options options_;
  RightOf right_;
  std::unordered_map<uint64_t, Work> works_;
  std::unordered_map<uint64_t, uint64_t> by_client_;
  std::unordered_map<uint32_t, uint64_t> by_request_;
  std::unordered_map<std::string, int> here_;  // works that the core has, by name
  std::set<std::pair<double, uint64_t>> dues_;
  std::unordered_map<uint64_t, Out> calls_;
  std::multimap<double, Closing> closing_;
  uint64_t last_ = 0, last_id_ = 0;
  Figures figures_;
};

}  // namespace ivygw::ledger

#endif  // IVYGW_LEDGER_BOOK_H_
