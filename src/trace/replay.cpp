#include "trace/replay.h"

#include <algorithm>
#include <cstdio>

namespace ivygw::trace {

std::optional<Difference> Replay::Play(const std::vector<Turn>& turns, const Each& each, bool compare) {
  for (const Turn& turn : turns) {
    core::Effects effects;
    now_ = turn.now;
    if (turn.start) {
      if (core_) throw TraceError("turn " + std::to_string(turns_) + ": a second start");
      start_ = turn.now;
      core_.emplace(settings_, turn.now, &effects);
    } else {
      if (!core_)
        throw TraceError("the trace does not begin at the gateway's start: what was before has been dropped");
      core_->Handle(turn.now, turn.event, &effects);
    }
    std::string got = EncodeEffects(effects, &names_);
    bool go_on = !each || each(turns_, at_s(), turn, effects);
    if (compare && got != turn.effects) {
      // Both decoded, so that names at the counter stand for the same in both.
      core::Effects mine = DecodeEffects(got), theirs = DecodeEffects(turn.effects);
      size_t i = 0;
      auto text = [](const core::Effects& e, size_t at) {
        return at < e.size() ? Text(e[at]) : std::string("nothing");
      };
      while (i < std::max(mine.size(), theirs.size()) && text(mine, i) == text(theirs, i)) ++i;
      Difference d;
      d.turn = turns_;
      d.at_s = at_s();
      d.event = turn.start ? "start" : Text(turn.event);
      d.recorded = text(theirs, i);
      d.replayed = text(mine, i);
      for (const core::Effects* side : {&theirs, &mine}) {
        if (d.request == 0 && i < side->size()) d.request = RequestOf((*side)[i]);
      }
      d.state = d.request != 0 ? Describe(d.request) : DescribeAll();
      return d;
    }
    ++turns_;
    if (!go_on) break;
  }
  return std::nullopt;
}

std::string Replay::Describe(uint32_t request) const {
  const core::RequestState* held = core_ ? core_->requests().Find(request) : nullptr;
  if (held == nullptr) return "request " + std::to_string(request) + " is not held";
  char line[200];
  std::snprintf(line, sizeof(line), "request %u of client %llu: %s, %.3f s left%s", request,
                static_cast<unsigned long long>(held->client), held->answered ? "answered" : "not answered",
                held->deadline - now_, held->may_have_run ? ", may have run" : "");
  std::string out = line;
  for (size_t i = 0; i < held->attempts.size(); ++i) {
    const core::Attempt& a = held->attempts[i];
    core::BackendTable::Status b = core_->backends().GetStatus(a.backend);
    std::snprintf(line, sizeof(line),
                  "; attempt %zu at backend %u (%s, %zu connections kept) %s, begun %.3f s ago", i, a.backend,
                  !b.known     ? "gone"
                  : b.draining ? "draining"
                               : "ready",
                  b.idle_connections, a.in_flight ? "is out" : "has ended", now_ - a.started_at);
    out += line;
  }
  return out;
}

std::string Replay::DescribeAll() const {
  if (!core_) return "nothing was played\n";
  std::string out = std::to_string(core_->requests().size()) + " requests held, " +
                    std::to_string(core_->backends().connections()) + " connections (" +
                    std::to_string(core_->backends().idle()) + " idle), " +
                    std::to_string(core_->counter_calls().in_flight()) + " counter calls out\n";
  for (uint32_t request : core_->requests().Numbers()) out += Describe(request) + "\n";
  return out;
}

}  // namespace ivygw::trace
