// Searches all orders of a few events: two requests, two backends, three attempts each, a drain and its end,
// a lost connection, a counter call, and the passing of time. A state that has been visited is not expanded
// again.
#ifndef IVYGW_TESTS_CORE_SEARCH_H_
#define IVYGW_TESTS_CORE_SEARCH_H_

#include <chrono>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/core_harness.h"
#include "core/hooked_balancer.h"

namespace ivygw::core {

struct SearchResult {
  size_t states = 0, runs = 0;
  int depth = 0;           // all orders of this many events were checked
  bool exhausted = false;  // no unvisited state is left
  std::string violation;   // the first broken invariant, and the bytes that led to it
};

// The events as encoded for CoreHarness: the kind, then the object it is about (0: the newest).
inline std::vector<std::string> SearchEvents() {
  auto bytes = [](std::initializer_list<int> list) {
    std::string out;
    for (int b : list) out.push_back(static_cast<char>(b));
    return out;
  };
  return {
      bytes({0, 1, 2, 0, 0, 99}),  // a request that must not run twice, timeout 0.5 s
      bytes({0, 2, 0, 1, 0, 59}),  // a request without side effects, timeout 0.3 s
      bytes({3, 0}),
      bytes({3, 1}),  // the client disconnects; the client before it
      bytes({4, 0}),
      bytes({4, 1}),  // connection opened
      bytes({7, 0}),
      bytes({7, 1}),  // request written
      bytes({10, 0, 0, 1}),
      bytes({10, 0, 2, 1}),
      bytes({10, 1, 0, 0}),  // response: success, refused, success and close
      bytes({12, 0}),
      bytes({12, 1}),  // connection lost
      bytes({13, 0}),  // connection stale
      bytes({14, 0, 3, 1}),
      bytes({14, 0, 0, 1}),
      bytes({14, 0, 5, 1}),  // backend 1: draining, ready, gone
      bytes({15, 0, 1}),
      bytes({15, 0, 2, 0}),
      bytes({15, 0, 0}),  // counter call: written, response, lost
      bytes({16, 250}),   // 0.125 s pass
  };
}

// Limits a sequence to one arrival of each kind, so to two requests.
inline bool IsRepeatedArrival(const std::string& path, const std::string& event) {
  return event[0] == 0 && path.find(event) != std::string::npos;
}

// Searches breadth first until `time_limit` is over or `max_depth` is done.
inline SearchResult Search(std::chrono::milliseconds time_limit, int max_depth) {
  using micadock::ActionKind;
  using micadock::Actions;
  micadock::hooks = {};
  // Retries on the other backend, with three attempts at most, and only if no attempt may have run.
  auto retry = [](const micadock::Outcome& o, Actions* out) {
    if (o.finished) return;
    bool may_have_run = MayHaveRun(o.result);
    if (o.attempt >= 2 || may_have_run)
      return out->push_back(micadock::MakeAction(ActionKind::kFail, o.request));
    out->push_back(micadock::MakeSend(o.request, o.backend == 1 ? 2 : 1));
  };
  micadock::hooks.on_request = [](const micadock::Request& r, Actions* out) {
    out->push_back(micadock::MakeCount(r.id, 1));
    out->push_back(micadock::MakeSend(r.id, 1));
  };
  micadock::hooks.on_outcome = retry;
  micadock::hooks.on_abandoned = [](uint32_t id, Actions* out) {
    for (int attempt = 0; attempt < 3; ++attempt)
      out->push_back(micadock::MakeAction(ActionKind::kCancel, id, attempt));
  };
  auto give_up_at = std::chrono::steady_clock::now() + time_limit;
  SearchResult result;
  std::unordered_set<std::string> seen;
  std::vector<std::string> frontier = {""}, next;
  for (result.depth = 0; result.depth < max_depth && !frontier.empty(); ++result.depth) {
    next.clear();
    for (const std::string& path : frontier) {
      for (const std::string& event : SearchEvents()) {
        if (IsRepeatedArrival(path, event)) continue;
        if (std::chrono::steady_clock::now() > give_up_at) return result;
        std::string extended = path + event;
        CoreSettings settings = HarnessSettings();
        settings.connections.max_connections = 3;
        CoreHarness harness(settings, true);
        harness.RunEvents(reinterpret_cast<const uint8_t*>(extended.data()), extended.size(), 2);
        std::string digest = harness.Digest();
        ++result.runs;
        if (harness.violation().empty()) {
          if (!seen.insert(digest).second) continue;
          harness.RunUntilIdle();
        }
        if (!harness.violation().empty()) {
          result.violation = harness.violation() + " by";
          for (unsigned char b : extended) result.violation += " " + std::to_string(b);
          return result;
        }
        ++result.states;
        next.push_back(std::move(extended));
      }
    }
    frontier.swap(next);
  }
  result.exhausted = frontier.empty();
  return result;
}

}  // namespace ivygw::core

#endif  // IVYGW_TESTS_CORE_SEARCH_H_
