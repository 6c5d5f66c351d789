// Every order of a few events: two requests, two backends, three attempts each, a drain and its end, a
// connection that dies, a counter call, time. States that were met before are not gone on from.
#ifndef IVYGW_TESTS_CORE_SEARCH_H_
#define IVYGW_TESTS_CORE_SEARCH_H_

#include <chrono>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/core_watch.h"
#include "core/hooked_balancer.h"

namespace ivygw::core {

struct SearchResult {
  size_t states = 0, runs = 0;
  int depth = 0;       // all orders of so many events have been looked at
  bool whole = false;  // nothing new is left at any depth
  std::string broken;  // the first rule that broke, and the bytes that did it
};

// The events as CoreWatch reads them: what it is, then what it is about (0: the newest).
inline std::vector<std::string> SearchEvents() {
  auto bytes = [](std::initializer_list<int> list) {
    std::string out;
    for (int b : list) out.push_back(static_cast<char>(b));
    return out;
  };
  return {
      bytes({0, 1, 2, 0, 0, 99}),  // a request without a second effect, waited for 0.5 s
      bytes({0, 2, 0, 1, 0, 59}),  // a free one, 0.3 s
      bytes({3, 0}),
      bytes({3, 1}),  // its client leaves; the one before
      bytes({4, 0}),
      bytes({4, 1}),  // connected
      bytes({7, 0}),
      bytes({7, 1}),  // written
      bytes({10, 0, 0, 1}),
      bytes({10, 0, 2, 1}),
      bytes({10, 1, 0, 0}),  // answered: served, not begun, served and closed
      bytes({12, 0}),
      bytes({12, 1}),  // the connection dies
      bytes({13, 0}),  // found to have ended
      bytes({14, 0, 3, 1}),
      bytes({14, 0, 0, 1}),
      bytes({14, 0, 5, 1}),  // backend 1 drains, is back, has gone
      bytes({15, 0, 1}),
      bytes({15, 0, 2, 0}),
      bytes({15, 0, 0}),  // counter: written, answered, lost
      bytes({16, 250}),   // 0.125 s pass
  };
}

// At most two requests: a third does not come.
inline bool TooMany(const std::string& path, const std::string& event) {
  return event[0] == 0 && path.find(event) != std::string::npos;
}

// Deeper and deeper until `limit` is over or `most_depth` is done.
inline SearchResult Search(std::chrono::milliseconds limit, int most_depth) {
  using micadock::ActionKind;
  using micadock::Actions;
  micadock::hooks = {};
  // Each try goes to the other backend, three at most, the unsafe class only where nothing can have run.
  auto again = [](const micadock::Outcome& o, Actions* out) {
    if (o.finished) return;
    bool ran = MayHaveRun(o.result);
    if (o.attempt >= 2 || ran) return out->push_back(micadock::Of(ActionKind::kFail, o.request));
    out->push_back(micadock::Send(o.request, o.backend == 1 ? 2 : 1));
  };
  micadock::hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::CountUnits(r.id, 1));
    out->push_back(micadock::Send(r.id, 1));
  };
  micadock::hooks.on_outcome = again;
  micadock::hooks.on_abandoned = [](uint32_t id, Actions* out) {
    for (int attempt = 0; attempt < 3; ++attempt)
      out->push_back(micadock::Of(ActionKind::kCancel, id, attempt));
  };
  auto end = std::chrono::steady_clock::now() + limit;
  SearchResult result;
  std::unordered_set<std::string> seen;
  std::vector<std::string> here = {""}, next;
  for (result.depth = 0; result.depth < most_depth && !here.empty(); ++result.depth) {
    next.clear();
    for (const std::string& path : here) {
      for (const std::string& event : SearchEvents()) {
        if (TooMany(path, event)) continue;
        if (std::chrono::steady_clock::now() > end) return result;
        std::string longer = path + event;
        CoreSettings settings = WatchedSite();
        settings.connections.max_connections = 3;
        CoreWatch watch(settings, true);
        watch.Begin(reinterpret_cast<const uint8_t*>(longer.data()), longer.size(), 2);
        std::string digest = watch.Digest();
        ++result.runs;
        if (watch.broken().empty()) {
          if (!seen.insert(digest).second) continue;
          watch.Finish();
        }
        if (!watch.broken().empty()) {
          result.broken = watch.broken() + " by";
          for (unsigned char b : longer) result.broken += " " + std::to_string(b);
          return result;
        }
        ++result.states;
        next.push_back(std::move(longer));
      }
    }
    here.swap(next);
  }
  result.whole = here.empty();
  return result;
}

}  // namespace ivygw::core

#endif  // IVYGW_TESTS_CORE_SEARCH_H_
