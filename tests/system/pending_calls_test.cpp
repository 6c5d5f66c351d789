// Explores every order of calls, answers, connection losses, process restarts, callers that disconnect and
// expired deadlines up to a depth. Each answer must reach the caller of its call once, or be dropped.
#include "call_routing/pending_calls.h"

#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

// clang-format off
#include <CppUTest/TestHarness.h>  // last, because it redefines operator new
// clang-format on

using namespace ivygw::call_routing;

namespace {

constexpr int kDepth = 7;
constexpr CallerId kFirst = 11, kSecond = 12;

struct Issued {
  uint32_t incarnation = 0;
  CallNumber number = 0;
  CallerId caller = 0;
  bool waiting = false;
};

// One incarnation of the process and all calls that it and earlier ones have forwarded. The other process may
// answer any of them at any time.
struct State {
  uint32_t incarnation = 1;
  PendingCalls calls{1};
  std::vector<Issued> issued;
  double now = 0;
};

class Search {
 public:
  std::string broken;
  size_t orders = 0;

  void Explore(const State& state, int depth) {
    ++orders;
    if (depth == kDepth || !broken.empty()) return;
    for (CallerId caller : {kFirst, kSecond}) Call(state, caller, depth);
    for (size_t i = 0; i < state.issued.size(); ++i) Answer(state, i, depth);
    if (state.issued.empty()) return;
    LoseConnection(state, depth);
    Restart(state, depth);
    Expire(state, depth);
    CloseCaller(state, depth);
  }

 private:
  void Check(bool holds, const char* invariant) {
    if (!holds && broken.empty()) broken = invariant;
  }
  void Call(State state, CallerId caller, int depth) {
    for (const Issued& call : state.issued) {
      if (call.waiting && call.caller == caller) return;  // a connection has one call at a time
    }
    CallNumber number = state.calls.Add(caller, state.now + 1);
    for (const Issued& call : state.issued) Check(call.number != number, "a call's number was reused");
    state.issued.push_back({state.incarnation, number, caller, true});
    Explore(state, depth + 1);
  }
  void Answer(State state, size_t index, int depth) {
    Issued& call = state.issued[index];
    std::optional<CallerId> caller = state.calls.Complete(call.number);
    Check(call.waiting || !caller, "an answer to a call that does not wait reached a caller");
    Check(!call.waiting || (caller && *caller == call.caller), "an answer did not reach its caller");
    call.waiting = false;
    Explore(state, depth + 1);
  }
  void CheckRemoved(State* state, const std::vector<CallerId>& callers, size_t expected) {
    Check(callers.size() == expected, "a caller was not notified exactly once");
    for (Issued& call : state->issued) call.waiting = false;
  }
  size_t CountWaiting(const State& state) const {
    size_t count = 0;
    for (const Issued& call : state.issued) count += call.waiting;
    return count;
  }
  void LoseConnection(State state, int depth) {
    CheckRemoved(&state, state.calls.TakeAll(), CountWaiting(state));
    Explore(state, depth + 1);
  }
  void Expire(State state, int depth) {
    Check(state.calls.TakeExpired(state.now).empty(), "a call expired before its deadline");
    state.now += 1;
    CheckRemoved(&state, state.calls.TakeExpired(state.now), CountWaiting(state));
    Explore(state, depth + 1);
  }
  void Restart(State state, int depth) {
    ++state.incarnation;
    State next{state.incarnation, PendingCalls(state.incarnation), state.issued, state.now};
    for (Issued& call : next.issued) call.waiting = false;
    Explore(next, depth + 1);
  }
  void CloseCaller(State state, int depth) {
    state.calls.Forget(kFirst);
    for (Issued& call : state.issued) call.waiting = call.waiting && call.caller != kFirst;
    Check(state.calls.size() == CountWaiting(state), "a call of a disconnected caller is still pending");
    Explore(state, depth + 1);
  }
};

}  // namespace

TEST_GROUP(PendingCalls){};

TEST(PendingCalls, EveryAnswerReachesTheCallerOfItsCallOrNobody) {
  Search search;
  search.Explore(State(), 0);
  std::printf("%zu orders of events\n", search.orders);
  if (!search.broken.empty()) FAIL(("broken: " + search.broken).c_str());
}

TEST(PendingCalls, TwoPipelinedCallsOfOneCallerAreDistinguished) {
  PendingCalls calls(7);
  CallNumber first = calls.Add(kFirst, 1);
  CHECK_EQUAL(1u, calls.TakeExpired(1).size());  // its caller is told that it may have been executed
  CallNumber second = calls.Add(kFirst, 2);
  CHECK(!calls.Complete(first).has_value());
  CHECK(calls.Complete(second) == kFirst);
  CHECK_EQUAL(1u, calls.dropped_answers());
}
