#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace ivygw::membership {

using shared::Fault;
using shared::Outcome;
using shared::Reply;

const char* PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kOut: return "out";
    case Phase::kMember: return "member";
    case Phase::kTaken: return "taken";
    case Phase::kLeft: return "left";
  }
  return "";
}

namespace {
constexpr double kNever = 1e300;
constexpr double kPatience =
    4;  // times what an answer took lately, for which one is waited for: between lease/12 and lease/3
constexpr int kMostSpread = 10;  // doublings of the slots among which one is drawn after conflicts
}  // namespace

std::string Membership::SlotKey(int slot) {
  char text[24];
  std::snprintf(text, sizeof(text), "slot/%06d", slot);
  return text;
}

Membership::Membership(const Options& options, Member self, std::function<double()> draw)
    : options_(options), self_(std::move(self)), draw_(std::move(draw)) {
  patience_ = Every() / 4;
  self_.state = State::kJoining;
  self_.slot = -1;
  self_.heir = options.heir;
}

bool Membership::Counts(double now) const {
  if (phase_ != Phase::kMember || counts_from_ < 0 || now < counts_from_) return false;
  double kept = 1 - options_.margin;
  return now < sure_until_ + options_.hold_s * kept &&
         now < viewed_at_ + (options_.lease_s + options_.hold_s) * kept;
}

std::vector<Member> Membership::Live() const {
  std::vector<Member> live;
  for (const auto& [name, seen] : seen_) {
    if (seen.gone_at < 0) live.push_back(seen.member);
  }
  return live;
}

int Membership::Number(double now) const {
  int n = 0;
  for (const auto& [name, seen] : seen_) n += seen.gone_at < 0 || now < seen.gone_at + options_.hold_s;
  if (n > 0 && seen_.count(self_.name) == 0) ++n;
  return n;
}

uint64_t Membership::Send(double now, Doing doing, shared::Call call, Asks* out) {
  call.batch.at_least = watermark_.highest();
  calls_[++last_] = {doing, now, call.kind == shared::CallKind::kRange, before_};
  if (doing != Doing::kNothing) {
    doing_ = doing;
    doing_number_ = last_;
    deadline_ = now + patience_;
  } else {
    looking_ = last_;
    look_deadline_ = now + Every();
  }
  out->push_back({last_, std::move(call)});
  return last_;
}

double Membership::NextDue() const {
  if (phase_ == Phase::kLeft && doing_ == Doing::kNothing) return kNever;
  double due = looking_ != 0 ? look_deadline_ : look_at_;
  if (doing_ != Doing::kNothing) return std::min(due, deadline_);
  if (phase_ == Phase::kMember) return std::min(due, renew_at_);
  return viewed_at_ < 0
             ? due
             : std::min(due, join_at_);  // who is there comes first: it names the slots that are free
}

void Membership::OnTime(double now, Asks* out) {
  // A call that has had no answer may have been done, or may yet be: what is there is read.
  if (looking_ != 0 && now >= look_deadline_) {
    calls_.erase(std::exchange(looking_, 0));
    look_at_ = now;
  }
  if (doing_ != Doing::kNothing && now >= deadline_) {
    calls_.erase(std::exchange(doing_number_, 0));
    Doing late = std::exchange(doing_, Doing::kNothing);
    patience_ = std::min(Every(), 2 * patience_);
    if (late == Doing::kLeave) return;  // its lease ends by itself
    Settle(now, out);
  }
  if (phase_ == Phase::kLeft) return;
  if (doing_ == Doing::kNothing) {
    if (phase_ == Phase::kMember) {
      if (now >= renew_at_) Renew(now, out);
    } else if (now >= join_at_ && viewed_at_ >= 0) {
      Join(now, out);
    }
  }
  if (looking_ == 0 && now >= look_at_) Look(now, out);
}

// The free slot that the configuration prefers; after conflicts one drawn among more and more of the free
// ones, so that hundreds that start together part in a few rounds.
void Membership::Join(double now, Asks* out) {
  auto mine = seen_.find(self_.name);
  bool taken = mine != seen_.end() && mine->second.gone_at < 0 && mine->second.member.boot != self_.boot;
  if (taken && !options_.heir) {
    phase_ = Phase::kTaken;
    join_at_ = now + Every();
    return;
  }
  if (taken) return Claim(now, mine->second.member.slot, mine->second.version, out);
  int slot = options_.preferred_slot;
  if (failed_joins_ > 0 || slots_.count(slot) != 0) {
    int among = static_cast<int>(draw_() * std::pow(2.0, std::min(failed_joins_, kMostSpread)));
    for (slot = 0; slots_.count(slot) != 0 || among-- > 0; ++slot) {
    }
  }
  Claim(now, slot, 0, out);
}

// `over`: the version of an entry whose place is taken, this boot's own or that of the process before; its
// slot goes with it, since both are kept by the same batches. 0: there is none.
void Membership::Claim(double now, int slot, uint64_t over, Asks* out) {
  self_.slot = std::max(0, slot);
  self_.state = wanted_;
  shared::Batch batch;
  std::string key = Key(self_.name), slot_key = SlotKey(self_.slot);
  batch.conditions.push_back({key, over});
  if (over == 0) batch.conditions.push_back({slot_key, 0});
  batch.changes.push_back(shared::Put(key, Write(self_), options_.lease_s));
  batch.changes.push_back(shared::Put(slot_key, self_.name + " " + self_.boot, options_.lease_s));
  Send(now, Doing::kJoin, shared::Commit(std::move(batch)), out);
}

void Membership::Renew(double now, Asks* out) {
  shared::Batch batch;
  batch.conditions.push_back(Right());
  bool write = self_.state != wanted_;
  before_ = std::exchange(self_.state, wanted_);
  if (write) {
    batch.changes.push_back(shared::Put(Key(self_.name), Write(self_), options_.lease_s));
  } else {
    batch.conditions.push_back({Key(self_.name), version_});
    batch.changes.push_back(shared::Renew(Key(self_.name), options_.lease_s));
  }
  batch.changes.push_back(shared::Renew(SlotKey(self_.slot), options_.lease_s));
  Send(now, write ? Doing::kWrite : Doing::kRenew, shared::Commit(std::move(batch)), out);
}

void Membership::Settle(double now, Asks* out) {
  Send(now, Doing::kSettle, shared::Get(Key(self_.name)), out);
}

void Membership::Look(double now, Asks* out) {
  bool whole = viewed_at_ < 0;
  Send(now, Doing::kNothing,
       whole ? shared::Range("member/") : shared::ChangesSince("member", view_revision_), out);
}

void Membership::Become(State state, double now, Asks* out) {
  if (wanted_ == state) return;
  wanted_ = state;
  if (phase_ == Phase::kMember) renew_at_ = now;
  OnTime(now, out);
}

void Membership::Leave(double now, Asks* out) {
  if (leave_) return;
  leave_ = true;
  Phase before = std::exchange(phase_, Phase::kLeft);
  if (doing_ != Doing::kNothing) calls_.erase(std::exchange(doing_number_, 0));
  doing_ = Doing::kNothing;
  if (before != Phase::kMember) return;
  shared::Batch batch;
  batch.conditions.push_back(Right());
  batch.changes.push_back(shared::Remove(Key(self_.name)));
  batch.changes.push_back(shared::Remove(SlotKey(self_.slot)));
  Send(now, Doing::kLeave, shared::Commit(std::move(batch)), out);
}

void Membership::Stands(double now, double until) {
  sure_until_ = std::max(sure_until_, until);
  renew_at_ = now + Every();
}

void Membership::Lost(double now, Phase phase) {
  phase_ = phase;
  sure_until_ = -1;
  counts_from_ = -1;
  join_at_ = now;
}

void Membership::OnReply(double now, uint64_t number, const Reply& reply, Asks* out) {
  auto it = calls_.find(number);
  if (it == calls_.end()) return;
  Out call = it->second;
  calls_.erase(it);
  // An engine that has lost what it had told knows no longer who has what: all is claimed anew, above every
  // revision heard of, and the view is read from its beginning.
  bool lost = watermark_.See(reply) == shared::Watermark::Seen::kLost;
  if (lost) {
    viewed_at_ = -1;
    if (phase_ == Phase::kMember) Lost(now, Phase::kOut);
  }
  if (call.doing == Doing::kNothing) {
    looking_ = 0;
    look_at_ = now + Every();
    if (!lost) OnView(now, call, reply);
    if (lost) look_at_ = now;
  } else {
    doing_ = Doing::kNothing;
    doing_number_ = 0;
    patience_ = std::clamp(std::max(kPatience * (now - call.sent), 0.8 * patience_), Every() / 4, Every());
    if (phase_ == Phase::kLeft) return;
    if (lost) {
      Settle(now, out);
    } else {
      OnOwn(now, call, reply, out);
    }
  }
  OnTime(now, out);
}

void Membership::OnOwn(double now, const Out& call, const Reply& reply, Asks* out) {
  double kept = call.sent + options_.lease_s * (1 - options_.margin);
  switch (call.doing) {
    case Doing::kNothing:
    case Doing::kLeave: return;
    case Doing::kJoin:
      if (reply.done()) {
        phase_ = Phase::kMember;
        failed_joins_ = 0;
        slot_version_ = reply.revision;
        version_ = reply.revision - 1;
        fence_ = {slot_version_, self_.boot};
        counts_from_ = now + (options_.lease_s + options_.hold_s) * (1 + options_.margin);
        return Stands(now, kept);
      }
      ++failed_joins_;
      look_at_ = now;  // what is there has changed
      viewed_at_ = -1;
      return Settle(now, out);
    case Doing::kRenew:
    case Doing::kWrite:
      if (reply.done()) {
        if (call.doing == Doing::kWrite) version_ = reply.revision;
        return Stands(now, kept);
      }
      if (reply.outcome == Outcome::kNotDone && reply.fault != Fault::kConflict) {
        if (call.doing == Doing::kWrite) self_.state = call.state;  // to be written again
        renew_at_ = now + Every() / 4;
        return;
      }
      return Settle(now, out);
    case Doing::kSettle: break;
  }
  if (!reply.done()) {  // it can't be read either: sure for as long as the last renewal says, and asked again
    if (phase_ == Phase::kMember)
      renew_at_ = now + Every() / 4;
    else
      join_at_ = now + Every() / 4;
    if (phase_ == Phase::kMember && now >= sure_until_ + options_.hold_s) Lost(now, Phase::kOut);
    return;
  }
  if (reply.entries.empty()) {
    if (phase_ == Phase::kMember) Lost(now, Phase::kOut);
    join_at_ = now + (failed_joins_ > 0 ? Every() * 0.1 * draw_() * std::min(failed_joins_, kMostSpread) : 0);
    return;
  }
  const shared::Entry& entry = reply.entries.front();
  Member found = Read(self_.name, entry.value);
  if (found.boot != self_.boot) {
    // An heir's claim ends this one's time; any other is a second process under one name.
    if (phase_ == Phase::kMember && found.heir) {
      phase_ = Phase::kLeft;
      sure_until_ = counts_from_ = -1;
      return;
    }
    if (options_.heir && phase_ != Phase::kMember) {
      join_at_ = now;
      return;
    }
    Lost(now, Phase::kTaken);
    join_at_ = now + Every();
    return;
  }
  // What this boot wrote, by a call whose answer did not come. One that was no member takes its place anew,
  // since what else that batch wrote is not told here.
  if (phase_ != Phase::kMember) return Claim(now, found.slot, entry.version, out);
  self_.state = found.state;
  version_ = entry.version;
  Stands(now, call.sent + entry.lease_left_s.value_or(options_.lease_s) - options_.lease_s * options_.margin);
  renew_at_ = now;
}

void Membership::Gone(double now, const std::string& name) {
  auto it = seen_.find(name);
  if (it == seen_.end() || it->second.gone_at >= 0) return;
  ++changes_;
  slots_.erase(it->second.member.slot);
  it->second.gone_at = now;
  if (it->second.member.state == State::kLeaving) seen_.erase(it);
}

void Membership::Saw(double now, const shared::Entry& entry) {
  std::string name = entry.key.substr(entry.key.find('/') + 1);
  Seen fresh{Read(name, entry.value), entry.version, -1};
  bad_entries_ += !fresh.member.known;
  auto it = seen_.find(name);
  if (it != seen_.end() && it->second.gone_at < 0 && it->second.version == entry.version) return;
  if (it != seen_.end() && it->second.gone_at < 0) Gone(now, name);
  ++changes_;
  if (fresh.member.slot >= 0) slots_[fresh.member.slot] = name;
  seen_[name] = std::move(fresh);
}

void Membership::OnView(double now, const Out& call, const Reply& reply) {
  if (!reply.done()) {
    look_at_ = now + Every() / 4;
    return;
  }
  if (!reply.whole) {  // the engine no longer knows so far back
    viewed_at_ = -1;
    look_at_ = now;
    return;
  }
  if (call.whole) {
    std::vector<std::string> missing;
    for (const auto& [name, seen] : seen_) {
      bool there = std::any_of(reply.entries.begin(), reply.entries.end(),
                               [&, n = Key(name)](const auto& e) { return e.key == n; });
      if (!there) missing.push_back(name);
    }
    for (const std::string& name : missing) Gone(now, name);
  }
  for (const std::string& key : reply.gone) Gone(now, key.substr(key.find('/') + 1));
  for (const shared::Entry& entry : reply.entries) Saw(now, entry);
  view_revision_ = reply.revision;
  viewed_at_ = call.sent;
  if (phase_ == Phase::kOut && failed_joins_ == 0) join_at_ = now;
  std::erase_if(seen_, [&](const auto& s) {
    return s.second.gone_at >= 0 && now >= s.second.gone_at + options_.hold_s;
  });
}

std::string Membership::Fingerprint(double now) const {
  auto ahead = [now](double t) {
    return t < 0 ? std::string("-") : std::to_string(std::lround(std::clamp((t - now) * 100, -1e6, 1e6)));
  };
  std::string text =
      std::to_string(static_cast<int>(phase_)) + "," + std::to_string(static_cast<int>(doing_)) + "," +
      std::to_string(version_) + "," + std::to_string(slot_version_) + "," + std::to_string(self_.slot) +
      "," + std::to_string(failed_joins_) + "," + ahead(sure_until_) + "," + ahead(counts_from_) + "," +
      ahead(renew_at_) + "," + ahead(join_at_) + "," + ahead(look_at_) + "," + ahead(deadline_) + "," +
      ahead(look_deadline_) + "," + std::to_string(std::lround(patience_ * 100)) + "," + ahead(viewed_at_) +
      "," + std::to_string(view_revision_) + "," + std::to_string(watermark_.highest()) +
      std::to_string(static_cast<int>(wanted_)) + (leave_ ? "l" : "");
  for (const auto& [number, call] : calls_)
    text += ";" + std::to_string(static_cast<int>(call.doing)) + "@" + ahead(call.sent);
  for (const auto& [name, seen] : seen_)
    text += "|" + name + seen.member.boot + std::to_string(seen.version) + ahead(seen.gone_at);
  return text;
}

}  // namespace ivygw::membership
