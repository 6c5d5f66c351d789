#include "ledger/book.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace ivygw::ledger {

using shared::Fault;
using shared::Outcome;
using shared::Reply;

namespace {
constexpr double kNever = 1e300;
constexpr double kLookMost = 0.25;                // s between looks at an owner's outcome
constexpr int kMostTries = 3;                     // of an intent whose fate is not known
constexpr double kAgainS = 0.25, kAgainMost = 5;  // s until an outcome that was not recorded is tried again

std::string BootIn(const std::string& member) {
  nlohmann::json j = nlohmann::json::parse(member, nullptr, false);
  return j.is_object() && j.contains("boot") && j["boot"].is_string() ? j["boot"].get<std::string>() : "";
}
}  // namespace

Without Book::RuleOf(Effect effect) const {
  return effect == Effect::kSafe    ? options_.safe
         : effect == Effect::kKeyed ? options_.keyed
                                    : options_.unsafe;
}

Book::Work* Book::Find(uint64_t id) {
  auto it = works_.find(id);
  return it == works_.end() ? nullptr : &it->second;
}

// Not later than its client's time is up, where it is this book that answers.
void Book::Due(Work* w, double at) {
  bool ours = w->phase != Phase::kHeld && w->phase != Phase::kIntending && w->phase != Phase::kChecking;
  if (at > 0 && ours && w->there) at = std::min(at, w->until);
  if (w->due > 0) dues_.erase({w->due, w->id});
  w->due = at;
  if (at > 0 && at < kNever) dues_.insert({at, w->id});
}

double Book::NextDue() const {
  double due = dues_.empty() ? kNever : dues_.begin()->first;
  return closing_.empty() ? due : std::min(due, closing_.begin()->first);
}

void Book::Forget(Work* w) {
  Due(w, 0);
  calls_.erase(w->number);
  if (auto it = by_client_.find(w->asked.client); it != by_client_.end() && it->second == w->id)
    by_client_.erase(it);
  if (w->request != 0) {
    by_request_.erase(w->request);
    if (--here_[w->asked.work] <= 0) here_.erase(w->asked.work);
  }
  works_.erase(w->id);
}

uint64_t Book::Send(Out call, shared::Call what, Decisions* out) {
  what.batch.at_least = highest;
  calls_[++last_] = std::move(call);
  out->push_back(Ask{last_, std::move(what)});
  return last_;
}

void Book::SendFor(double now, Work* w, Phase phase, shared::Call call, Decisions* out) {
  w->phase = phase;
  Out o;
  o.id = w->id;
  w->number = Send(std::move(o), std::move(call), out);
  Due(w, now + options_.patience_s);
}

// --- a client with a key
// -------------------------------------------------------------------------------------------

void Book::OnAsked(double now, const Asked& asked, Decisions* out) {
  Work& w = works_[++last_id_];
  w.id = last_id_;
  w.asked = asked;
  w.began = now;
  w.until = now + asked.timeout_s;
  by_client_[asked.client] = w.id;
  if (works_.size() > options_.most_open) return WithoutWord(now, &w, "too many works in hand", out);
  ReadUp(now, &w, out);
}

void Book::ReadUp(double now, Work* w, Decisions* out) {
  w->read_at = now;
  SendFor(now, w, Phase::kReading, shared::Get(Key(w->asked.work)), out);
}

// The engine gives no word. Nothing of this client's was sent, so a refusal is true.
void Book::WithoutWord(double now, Work* w, const char* why, Decisions* out) {
  if (RuleOf(w->asked.effect) == Without::kGoOn) {
    ++figures_.without;
    w->promised = false;
    w->version = 0;
    return Hand(now, w, out);
  }
  ++figures_.refused;
  Answer(w, 503, options_.retry_after_s, "", "", why, out);
  Forget(w);
}

void Book::Answer(Work* w, int status, double retry_after_s, std::string type, std::string body,
                  const char* why, Decisions* out) {
  if (!w->there) return;
  w->there = false;
  out->push_back(Tell{w->asked.client, status, retry_after_s, std::move(type), std::move(body), why});
}

void Book::FromRecord(Work* w, const Record& record, Decisions* out) {
  if (record.too_long) {
    ++figures_.answered;
    return Answer(w, 409, 0, "text/plain", "done before; its answer was too long to be kept\n",
                  "answer-not-kept", out);
  }
  ++(record.status == 200 ? figures_.answered : figures_.uncertain);
  Answer(w, record.status, 0, record.type, record.answer, "recorded", out);
}

bool Book::HeldHere(const Work& w) const {
  auto it = here_.find(w.asked.work);
  return it != here_.end() && it->second > 0;
}

void Book::OnRecord(double now, Work* w, const Reply& reply, Decisions* out) {
  if (!reply.done()) return WithoutWord(now, w, "no-engine", out);
  if (reply.entries.empty()) {
    w->version = 0;
    w->record = Record();
    return Hand(now, w, out);
  }
  const shared::Entry& entry = reply.entries.front();
  std::optional<Record> record = Read(entry.value);
  w->version = entry.version;
  if (!record) {  // of another form: all that is known is that there was something
    if (w->asked.effect == Effect::kSafe) {
      w->record = Record();
      return Hand(now, w, out);
    }
    ++figures_.uncertain;
    Answer(w, 502, 0, "", "", "unreadable", out);
    return Forget(w);
  }
  // The engine's clock tells how long ago it was written.
  double gone = std::max(0.0, record->lease_s - entry.lease_left_s.value_or(record->lease_s));
  for (Intent& i : record->intents) i.age_s += gone;
  w->record = *record;
  if (record->body != w->asked.body) {
    ++figures_.conflicts;
    Answer(w, 422, 0, "text/plain", "this key was used with another request\n", "key-reused", out);
    return Forget(w);
  }
  if (record->standing == Standing::kDone) {
    FromRecord(w, *record, out);
    return Forget(w);
  }
  if (record->standing == Standing::kFree) return Claim(now, w, std::nullopt, out);
  if (record->boot ==
      options_.boot) {  // of this gateway: by another connection, or left by an outcome not recorded
    if (HeldHere(*w)) return Wait(now, w);
    return Claim(now, w, std::nullopt, out);
  }
  SendFor(now, w, Phase::kOwner, shared::Get("member/" + record->owner), out);
}

void Book::OnOwner(double now, Work* w, const Reply& reply, Decisions* out) {
  if (!reply.done()) return WithoutWord(now, w, "no-engine", out);
  if (reply.entries.empty()) return Claim(now, w, shared::Condition{"member/" + w->record.owner, 0}, out);
  const shared::Entry& entry = reply.entries.front();
  if (BootIn(entry.value) == w->record.boot) return Wait(now, w);
  Claim(now, w, shared::Condition{entry.key, entry.version}, out);
}

void Book::Wait(double now, Work* w) {
  if (w->look_s == 0) ++figures_.waited;
  w->look_s = std::min(kLookMost, w->look_s == 0 ? options_.look_every_s : 1.5 * w->look_s);
  w->phase = Phase::kWaiting;
  w->number = 0;
  Due(w, std::min(now + w->look_s, w->until));
}

// A batch that holds only while the record is the one that was read and this gateway's place is its own. The
// record is written last, so that the revision told is its version.
shared::Batch Book::Batch(const Work& w, const Right& right, const Record& record) const {
  shared::Batch batch;
  batch.conditions.push_back({Key(w.asked.work), w.version});
  batch.conditions.push_back(right.condition);
  if (!w.record.boot.empty() && (w.record.boot != record.boot || record.standing != Standing::kOpen)) {
    batch.changes.push_back(shared::Remove(OpenKey(w.record.boot, w.asked.work)));
  }
  if (record.standing == Standing::kOpen) {
    batch.changes.push_back(shared::Put(OpenKey(record.boot, w.asked.work), "", record.lease_s));
  }
  batch.changes.push_back(shared::Put(Key(w.asked.work), Write(record), record.lease_s));
  return batch;
}

double Book::Age(const Work& w, size_t intent, double now) const {
  return w.record.intents[intent].age_s + std::max(0.0, now - w.read_at);
}

Record Book::Mine(const Work& w, const Right& right, double now) const {
  Record r = w.record;
  r.standing = Standing::kOpen;
  r.owner = options_.name;
  r.boot = options_.boot;
  r.fence = right.fence;
  r.body = w.asked.body;
  r.left_s = std::max(0.0, w.until - now);
  r.lease_s = r.left_s + options_.life_s;
  for (size_t i = 0; i < r.intents.size(); ++i) r.intents[i].age_s = Age(w, i, now);
  return r;
}

void Book::Claim(double now, Work* w, std::optional<shared::Condition> owner, Decisions* out) {
  std::optional<Right> right = right_(now);
  if (!right) return WithoutWord(now, w, "no-place", out);
  w->pending = Mine(*w, *right, now);
  ++w->pending.claims;
  shared::Batch batch = Batch(*w, *right, w->pending);
  if (owner) batch.conditions.push_back(*owner);
  w->pending_at = now;
  SendFor(now, w, Phase::kClaiming, shared::Commit(std::move(batch)), out);
}

void Book::OnClaimed(double now, Work* w, const Reply& reply, Decisions* out) {
  if (!reply.done()) {
    // Another was first, its owner is back, or it may have been done: what is there tells.
    if (reply.outcome == Outcome::kMaybeDone || reply.fault == Fault::kConflict) return ReadUp(now, w, out);
    return WithoutWord(now, w, "no-engine", out);
  }
  bool taken = w->record.standing == Standing::kOpen && w->record.boot != options_.boot;
  figures_.claimed += taken;
  w->record = w->pending;
  w->read_at = w->pending_at;
  w->version = reply.revision;
  if (!w->there) {  // its client has gone meanwhile
    w->record.standing = Standing::kFree;
    w->tries = 0;
    return WriteEnd(now, w, out);
  }
  Hand(now, w, out);
}

// To the core, with what was tried before.
void Book::Hand(double now, Work* w, Decisions* out) {
  if (!w->there) return Forget(w);
  Prior prior;
  prior.recorded = w->promised;
  if (w->promised) {
    prior.charged = w->record.charged;
    prior.attempts = static_cast<int>(w->record.intents.size());
    for (size_t i = 0; i < w->record.intents.size(); ++i) {
      const Intent& intent = w->record.intents[i];
      if (intent.not_run) continue;
      double age = Age(*w, i, now) + options_.most_pause_s;
      if (!prior.may_have_run || age > prior.ran_age_s) {
        prior.ran_age_s = age;
        prior.backend = intent.backend;
        prior.zone = intent.zone;
        prior.cell = intent.cell;
      }
      prior.may_have_run = true;
    }
  }
  w->phase = Phase::kHeld;
  w->number = 0;
  Due(w, 0);
  double left = w->until - now;
  if (left <= 0) {
    Answer(w, 504, 0, "", "", "late", out);
    if (w->version == 0 || !w->promised) return Forget(w);
    w->record.standing = Standing::kFree;
    return WriteEnd(now, w, out);
  }
  out->push_back(Admit{w->asked.client, prior, left});
}

void Book::OnHeld(uint64_t client, uint32_t request) {
  auto it = by_client_.find(client);
  if (it == by_client_.end()) return;
  Work& w = works_.at(it->second);
  w.request = request;
  by_request_[request] = w.id;
  ++here_[w.asked.work];
}

// --- an attempt
// ----------------------------------------------------------------------------------------------------

bool Book::OnIntend(double now, uint32_t request, int attempt, const std::string& backend, int zone, int cell,
                    Decisions* out) {
  auto it = by_request_.find(request);
  if (it == by_request_.end()) return false;
  Work* w = &works_.at(it->second);
  if (!w->promised) return false;
  w->intending = attempt;
  w->tries = 0;
  w->pending = w->record;
  if (w->pending.intents.size() >= kMostIntents)
    std::erase_if(w->pending.intents, [](const Intent& i) { return i.not_run; });
  if (w->pending.intents.size() >= kMostIntents) {
    NoIntent(now, w, false, out);
    return true;
  }
  w->pending.intents.push_back({backend, zone, cell, 0, false});
  WriteIntent(now, w, out);
  return true;
}

void Book::WriteIntent(double now, Work* w, Decisions* out) {
  std::optional<Right> right = right_(now);
  if (!right) return NoIntent(now, w, w->tries > 0, out);
  Intent fresh = w->pending.intents.back();
  bool dropped = w->pending.intents.size() <= w->record.intents.size();
  Record record = Mine(*w, *right, now);
  if (dropped) std::erase_if(record.intents, [](const Intent& i) { return i.not_run; });
  record.intents.push_back(fresh);
  record.charged = true;
  w->pending = record;
  w->pending_at = now;
  shared::Batch batch = Batch(*w, *right, record);
  SendFor(now, w, Phase::kIntending, shared::Commit(std::move(batch)), out);
}

// The engine gives no word about an intent, or this gateway has no place of its own: the attempt is not made.
// `unknown`: the intent may be there all the same, and is taken back with the outcome.
void Book::NoIntent(double now, Work* w, bool unknown, Decisions* out) {
  int attempt = std::exchange(w->intending, -1);
  uint32_t request = w->request;
  w->number = 0;
  Due(w, 0);
  if (RuleOf(w->asked.effect) == Without::kGoOn) {
    ++figures_.without;
    w->promised = false;
    w->maybe_there = unknown;
    w->phase = Phase::kHeld;
    out->push_back(Unrecorded{w->asked.client});
    out->push_back(IntentTold{request, attempt, true});
    return;
  }
  ++figures_.refused;
  out->push_back(Withdraw{w->asked.client});
  out->push_back(IntentTold{request, attempt, false});
  LetGo(w);
  bool ran = w->record.MayHaveRun();
  if (ran && w->asked.effect == Effect::kUnsafe) {
    ++figures_.uncertain;
    Answer(w, 502, 0, "", "", "no-engine", out);
  } else {
    Answer(w, 503, options_.retry_after_s, "", "", "no-engine", out);
  }
  if (w->version == 0 && !unknown) return Forget(w);
  w->record.standing = Standing::kFree;
  w->tries = 0;
  WriteEnd(now, w, out);
}

// The core has it no more.
void Book::LetGo(Work* w) {
  by_request_.erase(w->request);
  if (--here_[w->asked.work] <= 0) here_.erase(w->asked.work);
  w->request = 0;
  w->intent_of.clear();
}

// Another has the work, or has ended it: nothing more is sent from here, and its client waits with the
// others.
void Book::Lost(double now, Work* w, Decisions* out) {
  ++figures_.lost;
  out->push_back(Withdraw{w->asked.client});
  out->push_back(IntentTold{w->request, std::exchange(w->intending, -1), false});
  LetGo(w);
  if (!w->there) return Forget(w);
  ReadUp(now, w, out);
}

void Book::Take(double now, Work* w, const Reply& reply, Decisions* out) {
  figures_.recorded += w->version == 0;
  w->record = w->pending;
  w->version = reply.revision;
  w->phase = Phase::kHeld;
  w->number = 0;
  w->read_at = w->pending_at;
  Due(w, 0);
  if (!right_(now)) {  // it slept past its lease meanwhile: not sent, and known to be
    w->record.intents.back().not_run = true;
    return NoIntent(now, w, false, out);
  }
  w->intent_of[w->intending] = w->record.intents.size() - 1;
  out->push_back(IntentTold{w->request, std::exchange(w->intending, -1), true});
}

void Book::OnIntent(double now, Work* w, const Reply& reply, Decisions* out) {
  if (reply.done()) return Take(now, w, reply, out);
  if (reply.fault == Fault::kConflict || reply.outcome == Outcome::kMaybeDone) {
    return SendFor(now, w, Phase::kChecking, shared::Get(Key(w->asked.work)), out);
  }
  NoIntent(now, w, w->tries > 0, out);
}

// The record as it is now, after an intent that may have been made durable, or was turned away.
void Book::OnChecked(double now, Work* w, const Reply& reply, Decisions* out) {
  if (!reply.done()) return NoIntent(now, w, true, out);
  std::optional<Record> found;
  uint64_t version = 0;
  if (!reply.entries.empty()) {
    found = Read(reply.entries.front().value);
    version = reply.entries.front().version;
  }
  if (version == w->version) {  // as it was: the batch was not done, or not yet; done twice it is done once
    if (++w->tries < kMostTries && right_(now)) return WriteIntent(now, w, out);
    return NoIntent(now, w, true, out);
  }
  bool mine = found && found->standing == Standing::kOpen && found->boot == options_.boot &&
              found->intents.size() == w->pending.intents.size();
  if (mine && found->fence == w->pending.fence) {
    Reply as_done = reply;
    as_done.revision = version;
    return Take(now, w, as_done, out);
  }
  Lost(now, w, out);
}

void Book::OnAttemptEnded(double, uint32_t request, int attempt, bool may_have_run) {
  auto it = by_request_.find(request);
  if (it == by_request_.end() || may_have_run) return;
  Work& w = works_.at(it->second);
  auto at = w.intent_of.find(attempt);
  if (at != w.intent_of.end() && at->second < w.record.intents.size())
    w.record.intents[at->second].not_run = true;
}

// --- the end
// -------------------------------------------------------------------------------------------------------

bool Book::OnAnswer(double now, uint64_t client, int status, const std::string& type, const std::string& body,
                    Decisions* out) {
  auto it = by_client_.find(client);
  if (it == by_client_.end()) return true;
  Work* w = &works_.at(it->second);
  bool was_there = std::exchange(w->there, false);
  by_client_.erase(it);
  if (w->intending >= 0)
    out->push_back(IntentTold{w->request, std::exchange(w->intending, -1), false});  // too late for it
  if (w->version == 0 && !w->maybe_there) {  // nothing is recorded: a refusal, or a work without promises
    Forget(w);
    return true;
  }
  bool ran = w->record.MayHaveRun();
  bool done = status == 200 || (ran && w->asked.effect == Effect::kUnsafe);
  if (status != 200 && done) ++figures_.uncertain;
  w->record.standing = done ? Standing::kDone : Standing::kFree;
  w->record.status = status;
  w->record.too_long = body.size() > options_.most_answer;
  if (!w->record.too_long) {
    w->record.type = type;
    w->record.answer = body;
  }
  w->tries = 0;
  // While this gateway is sure of its place nobody can have taken the work: the answer does not wait.
  w->held = was_there && w->promised && !right_(now);
  bool held = w->held;
  if (held) w->there = true;
  WriteEnd(now, w, out);
  return !held;
}

bool Book::OnClientGone(double now, uint64_t client, Decisions* out) {
  auto it = by_client_.find(client);
  if (it == by_client_.end()) return false;
  Work* w = &works_.at(it->second);
  w->there = false;
  switch (w->phase) {
    case Phase::kHeld:
      if (w->promised && w->version != 0) return true;
      if (w->version == 0 && !w->maybe_there) {
        Forget(w);
        return false;
      }
      by_client_.erase(client);
      LetGo(w);
      w->record.standing = Standing::kFree;
      WriteEnd(now, w, out);
      return false;
    case Phase::kIntending:
    case Phase::kChecking: return true;
    case Phase::kClaiming:
    case Phase::kEnding:
    case Phase::kEndCheck:
    case Phase::kEndAgain: return false;
    default: break;
  }
  Forget(w);
  return false;
}

// The outcome, which is told to its client already, or is held for this.
void Book::WriteEnd(double now, Work* w, Decisions* out) {
  std::optional<Right> right = right_(now);
  if (!right) {
    w->phase = Phase::kEndAgain;
    w->number = 0;
    return Due(w, now + kAgainS);
  }
  Record r = Mine(*w, *right, now);
  r.standing = w->record.standing;
  w->pending = r;
  shared::Batch batch = Batch(*w, *right, r);
  SendFor(now, w, Phase::kEnding, shared::Commit(std::move(batch)), out);
}

void Book::OnEnd(double now, Work* w, const Reply& reply, Decisions* out) {
  if (reply.done()) {
    if (w->held && w->there) out->push_back(Release{w->asked.client});
    return Forget(w);
  }
  if (reply.fault == Fault::kConflict || reply.outcome == Outcome::kMaybeDone) {
    return SendFor(now, w, Phase::kEndCheck, shared::Get(Key(w->asked.work)), out);
  }
  w->phase = Phase::kEndAgain;
  w->number = 0;
  Due(w, now + std::min(kAgainMost, kAgainS * ++w->tries));
}

void Book::EndLost(double now, Work* w, const std::optional<Record>& record, Decisions* out) {
  (void)now;
  ++figures_.lost;
  if (w->held && w->there) {
    if (record && record->standing == Standing::kDone) {
      FromRecord(w, *record, out);
    } else {
      ++figures_.uncertain;
      Answer(w, 502, 0, "", "", "taken-over", out);
    }
  }
  Forget(w);
}

void Book::OnEndChecked(double now, Work* w, const Reply& reply, Decisions* out) {
  if (!reply.done()) {
    w->phase = Phase::kEndAgain;
    w->number = 0;
    return Due(w, now + std::min(kAgainMost, kAgainS * ++w->tries));
  }
  if (reply.entries.empty()) return EndLost(now, w, std::nullopt, out);  // its life is over
  const shared::Entry& entry = reply.entries.front();
  std::optional<Record> found = Read(entry.value);
  if (!found || found->boot != options_.boot) return EndLost(now, w, found, out);
  if (found->standing != Standing::kOpen) {  // this outcome, by the batch whose answer did not come
    if (w->held && w->there) out->push_back(Release{w->asked.client});
    return Forget(w);
  }
  w->version = entry.version;  // an intent that came late, or this gateway's place under a new fence
  WriteEnd(now, w, out);
}

// --- calls and time
// --------------------------------------------------------------------------------------------------

void Book::OnReply(double now, uint64_t number, const Reply& reply, Decisions* out) {
  auto it = calls_.find(number);
  if (it == calls_.end()) return;
  Out call = std::move(it->second);
  calls_.erase(it);
  if (reply.revision > highest) highest = reply.revision;
  if (call.kind != Out::kWork) return OnClosing(now, call, reply, out);
  Work* w = Find(call.id);
  if (w == nullptr || w->number != number) return;
  w->number = 0;
  switch (w->phase) {
    case Phase::kReading: return OnRecord(now, w, reply, out);
    case Phase::kOwner: return OnOwner(now, w, reply, out);
    case Phase::kClaiming: return OnClaimed(now, w, reply, out);
    case Phase::kIntending: return OnIntent(now, w, reply, out);
    case Phase::kChecking: return OnChecked(now, w, reply, out);
    case Phase::kEnding: return OnEnd(now, w, reply, out);
    case Phase::kEndCheck: return OnEndChecked(now, w, reply, out);
    case Phase::kWaiting:
    case Phase::kHeld:
    case Phase::kEndAgain: return;
  }
}

void Book::OnTime(double now, Decisions* out) {
  while (!dues_.empty() && dues_.begin()->first <= now) {
    Work* w = Find(dues_.begin()->second);
    Due(w, 0);
    bool over = now >= w->until;
    if (over && w->held &&
        w->there) {  // it can't be recorded in time: what its client is told promises nothing
      ++figures_.uncertain;
      Answer(w, 502, 0, "", "", "no-engine", out);
      w->held = false;
    }
    if (w->phase == Phase::kWaiting && !over) {
      ReadUp(now, w, out);
      continue;
    }
    if (w->phase == Phase::kWaiting || (over && (w->phase == Phase::kReading || w->phase == Phase::kOwner))) {
      ++figures_.uncertain;
      Answer(w, 504, 0, "", "", "owner-still-at-work", out);
      Forget(w);
      continue;
    }
    if (w->phase == Phase::kEndAgain) {
      if (now > w->until + options_.life_s) {
        Forget(w);  // its record's life is over
      } else {
        WriteEnd(now, w, out);
      }
      continue;
    }
    if (w->phase == Phase::kClaiming && over) {  // it may have been done: the place is given up again
      Answer(w, 504, 0, "", "", "late", out);
      calls_.erase(std::exchange(w->number, 0));
      w->record.standing = Standing::kFree;
      SendFor(now, w, Phase::kEndCheck, shared::Get(Key(w->asked.work)), out);
      continue;
    }
    // A call that had no answer in time: what it did is not known.
    uint64_t number = std::exchange(w->number, 0);
    calls_.erase(number);
    Reply late = shared::MaybeDone(Fault::kLate, "no answer in time");
    switch (w->phase) {
      case Phase::kReading: OnRecord(now, w, late, out); break;
      case Phase::kOwner: OnOwner(now, w, late, out); break;
      case Phase::kClaiming: OnClaimed(now, w, late, out); break;
      case Phase::kIntending: OnIntent(now, w, late, out); break;
      case Phase::kChecking: OnChecked(now, w, late, out); break;
      case Phase::kEnding: OnEnd(now, w, late, out); break;
      case Phase::kEndCheck: OnEndChecked(now, w, late, out); break;
      default: break;
    }
  }
  while (!closing_.empty() && closing_.begin()->first <= now) {
    Closing c = closing_.begin()->second;
    closing_.erase(closing_.begin());
    Out call;
    call.kind = Out::kCloseRead;
    call.work = c.work;
    call.boot = c.boot;
    Send(std::move(call), shared::Get(Key(c.work)), out);
  }
}

// --- works of a gateway that has gone, to which nobody comes back
// --------------------------------------------------

void Book::OnGone(double, const std::string& boot, std::function<bool(const std::string&)> mine,
                  Decisions* out) {
  Out call;
  call.kind = Out::kGone;
  call.boot = boot;
  call.mine = std::move(mine);
  Send(std::move(call), shared::Range(OpenKey(boot, "")), out);
}

void Book::OnClosing(double now, const Out& call, const Reply& reply, Decisions* out) {
  if (!reply.done()) return;  // their lives end by themselves
  if (call.kind == Out::kGone) {
    size_t prefix = OpenKey(call.boot, "").size();
    for (const shared::Entry& entry : reply.entries) {
      std::string work = entry.key.substr(prefix);
      if (!call.mine(work)) continue;
      double left = entry.lease_left_s.value_or(options_.life_s) - options_.life_s;
      closing_.insert({now + std::max(0.0, left), {work, call.boot}});
    }
  } else if (call.kind == Out::kCloseRead && !reply.entries.empty()) {
    std::optional<Record> record = Read(reply.entries.front().value);
    std::optional<Right> right = right_(now);
    if (!record || !right || record->boot != call.boot || record->standing != Standing::kOpen) return;
    Work w;  // stands for it in the batch alone
    w.asked.work = call.work;
    w.version = reply.entries.front().version;
    w.record = *record;
    w.read_at = now;
    Record closed = *record;
    double gone =
        std::max(0.0, record->lease_s - reply.entries.front().lease_left_s.value_or(record->lease_s));
    for (Intent& i : closed.intents) i.age_s += gone;
    // Who asks next goes on by what was tried, as with any that nobody has.
    closed.standing = Standing::kFree;
    closed.left_s = 0;
    closed.lease_s = options_.life_s;
    Out next = call;
    next.kind = Out::kClose;
    Send(std::move(next), shared::Commit(Batch(w, *right, closed)), out);
  } else if (call.kind == Out::kClose) {
    ++figures_.closed;
  }
}

std::string Book::Fingerprint() const {
  std::map<uint64_t, const Work*> ordered;
  for (const auto& [id, w] : works_) ordered[id] = &w;
  std::string text;
  for (const auto& [id, w] : ordered) {
    text += std::to_string(id) + ":" + std::to_string(w->asked.client) + " " +
            std::to_string(static_cast<int>(w->phase)) + (w->there ? "t" : "") + (w->held ? "h" : "") +
            (w->promised ? "p" : "") + std::to_string(w->request) + "@" + std::to_string(w->version) + " n" +
            std::to_string(w->number != 0) + (w->due > 0 ? "d" : "-") + " i" + std::to_string(w->intending) +
            "x" + std::to_string(std::min(w->tries, kMostTries)) + " " + Outline(w->record) +
            Outline(w->pending);
    for (const auto& [attempt, at] : w->intent_of)
      text += " " + std::to_string(attempt) + ">" + std::to_string(at);
    text += "\n";
  }
  return text + std::to_string(calls_.size()) + "/" + std::to_string(closing_.size());
}

}  // namespace ivygw::ledger
