// The checker against records that it must accept, and against the same records with exactly one break each:
// that one is caught, and nothing else is.
#include "checker/checker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <sstream>

namespace ivygw::checker {
namespace {

using eventlog::Effect;
using eventlog::Event;
using eventlog::EventKind;
using eventlog::Record;

enum Class { kQuote, kSave, kLead };

Event Make(double t, EventKind kind, uint64_t request = 0) {
  Event e;
  e.t = t;
  e.kind = kind;
  e.request = request;
  return e;
}
Event Ask(double t, uint64_t request, int cls, double units = 2, uint64_t customer = 5, uint64_t again = 0) {
  Event e = Make(t, EventKind::kAsk, request);
  e.gateway = 0;
  e.cls = cls;
  e.plan = 0;
  e.customer = customer;
  e.units = units;
  e.due = t;
  e.seconds = 1;
  e.other = again;
  return e;
}
Event Answer(double t, uint64_t request, int status, uint64_t token = 0) {
  Event e = Make(t, EventKind::kAnswer, request);
  e.status = status;
  e.token = token;
  return e;
}
Event Arrive(double t, uint64_t request, uint64_t attempt, int node, double work = 0.05) {
  Event e = Make(t, EventKind::kArrive, request);
  e.attempt = attempt;
  e.gateway = 0;
  e.node = node;
  e.due = t;
  e.units = 2;
  e.work = work;
  return e;
}
Event ReplyTo(double t, uint64_t request, uint64_t attempt, int node, const std::string& how) {
  Event e = Make(t, EventKind::kReply, request);
  e.attempt = attempt;
  e.node = node;
  e.text = how;
  e.token = how == "served" ? attempt : 0;
  return e;
}
Event EffectOf(double t, uint64_t request, uint64_t attempt, int node) {
  Event e = Make(t, EventKind::kEffect, request);
  e.attempt = attempt;
  e.node = node;
  return e;
}
Event Cancelled(double t, uint64_t request, uint64_t attempt, int node) {
  Event e = Make(t, EventKind::kCancelled, request);
  e.attempt = attempt;
  e.node = node;
  return e;
}
Event Told(double t, int node, const std::string& status) {
  Event e = Make(t, EventKind::kTold);
  e.gateway = 0;
  e.node = node;
  e.text = status;
  return e;
}
Event Up(double t, int node, bool cold) {
  Event e = Make(t, EventKind::kNodeUp);
  e.node = node;
  e.work = 1;  // its whole capacity
  e.flag = cold;
  return e;
}

// A little of all that is allowed, close to each rule's edge.
Record Good() {
  Record r;
  r.facts.scenario = "by hand";
  r.facts.gateways = 1;
  r.facts.duration_s = 20;
  r.facts.drain_grace_s = 0.5;
  r.facts.tip_multiple = 2;
  r.facts.tip_s = 1;
  r.facts.cold_from = 0.2;
  r.facts.warm_s = 10;
  r.facts.tolerance_s = 0.05;
  r.facts.classes = {{"quote", Effect::kSafe, 0.5, 3, 1},
                     {"save", Effect::kKeyed, 0.5, 3, 1},
                     {"lead", Effect::kUnsafe, 0.5, 3, 1}};
  r.facts.plans = {{"business", 10, 20, 10, 6, 2, 1, 0}};
  r.facts.phases = {{"before", 0, 10}, {"after", 10, 20}};
  auto& e = r.events;
  e = {Up(-1, 0, false), Up(-1, 1, false), Up(-1, 2, true), Told(-0.9, 0, "active"), Told(-0.9, 1, "active"),
       Told(-0.9, 2, "active"),
       // 1: served at the second try, the first having failed; safe.
       Ask(0, 1, kQuote), Arrive(0.01, 1, 11, 0), ReplyTo(0.02, 1, 11, 0, "error"), Arrive(0.03, 1, 12, 1),
       EffectOf(0.1, 1, 12, 1), ReplyTo(0.1, 1, 12, 1, "served"), Answer(0.11, 1, 200, 12),
       // 2: unsafe, turned away by the first node, done by the second.
       Ask(1, 2, kLead), Arrive(1.01, 2, 21, 0), ReplyTo(1.02, 2, 21, 0, "not_started"),
       Arrive(1.03, 2, 22, 1), EffectOf(1.2, 2, 22, 1), ReplyTo(1.2, 2, 22, 1, "served"),
       Answer(1.21, 2, 200, 22),
       // 3: unsafe, failed once it may have run.
       Ask(2, 3, kLead), Arrive(2.01, 3, 31, 0), ReplyTo(2.02, 3, 31, 0, "reset"), Answer(2.03, 3, 502),
       // 4: keyed, sent again within the window; the first ended before the second began, or nearly so.
       Ask(3, 4, kSave), Arrive(3.01, 4, 41, 0), Arrive(3.4, 4, 42, 1), Cancelled(3.42, 4, 41, 0),
       EffectOf(3.5, 4, 42, 1), ReplyTo(3.5, 4, 42, 1, "served"), Answer(3.51, 4, 200, 42),
       // 5: refused at once; its client comes back, 6.
       Ask(4, 5, kLead), Answer(4.001, 5, 429), Ask(4.5, 6, kLead, 2, 5, 5), Arrive(4.51, 6, 61, 1),
       EffectOf(4.6, 6, 61, 1), ReplyTo(4.6, 6, 61, 1, "served"), Answer(4.61, 6, 200, 61),
       // 7: sent to a node that was told to leave, within the grace.
       Told(6, 0, "leaving"), Ask(6.3, 7, kQuote), Arrive(6.5, 7, 71, 0), EffectOf(6.6, 7, 71, 0),
       ReplyTo(6.6, 7, 71, 0, "served"), Answer(6.61, 7, 200, 71),
       // 8 and 9: a cold node gets 0.9 of work, of the 2 x 0.76 that it can stand 7 s after its start.
       Ask(6.7, 8, kQuote), Arrive(6.71, 8, 81, 2, 0.5), EffectOf(7.1, 8, 81, 2),
       ReplyTo(7.1, 8, 81, 2, "served"), Answer(7.11, 8, 200, 81), Ask(7.2, 9, kQuote),
       Arrive(7.21, 9, 91, 2, 0.4), EffectOf(7.6, 9, 91, 2), ReplyTo(7.6, 9, 91, 2, "served"),
       Answer(7.61, 9, 200, 91)};
  return r;
}

size_t IndexOf(const Record& r, EventKind kind, uint64_t request, uint64_t attempt = 0) {
  for (size_t i = 0; i < r.events.size(); ++i) {
    const Event& e = r.events[i];
    if (e.kind == kind && e.request == request && (attempt == 0 || e.attempt == attempt)) return i;
  }
  ADD_FAILURE() << "no such event";
  return 0;
}

TEST(Checker, AcceptsWhatIsAllowed) {
  Verdict v = Judge(Good());
  for (const Break& b : v.breaks) ADD_FAILURE() << RuleName(b.rule) << ": " << b.what;
  EXPECT_EQ(v.whole.asked, 9u);
  EXPECT_EQ(v.whole.chains, 8u);
  EXPECT_EQ(v.whole.served, 7u);
  EXPECT_EQ(v.whole.refused, 1u);
  EXPECT_EQ(v.whole.failed, 1u);
  EXPECT_EQ(v.attempts, 11u);
  EXPECT_EQ(v.phases[0].asked, 9u);
  EXPECT_EQ(v.phases[1].asked, 0u);
}

struct Mutation {
  const char* name;
  Rule rule;
  std::function<void(Record*)> apply;
};
void PrintTo(const Mutation& m, std::ostream* out) { *out << m.name; }

class OneBreak : public testing::TestWithParam<Mutation> {};
TEST_P(OneBreak, IsCaughtAndNothingElseIs) {
  Record r = Good();
  GetParam().apply(&r);
  std::stable_sort(r.events.begin(), r.events.end(),
                   [](const Event& a, const Event& b) { return a.t < b.t; });
  Verdict v = Judge(r);
  for (size_t i = 0; i < kRules; ++i) {
    EXPECT_EQ(v.counts[i], i == static_cast<size_t>(GetParam().rule) ? 1u : 0u)
        << RuleName(static_cast<Rule>(i));
  }
  for (const Break& b : v.breaks) EXPECT_EQ(b.rule, GetParam().rule) << b.what;
}

auto Erase(EventKind kind, uint64_t request, uint64_t attempt = 0) {
  return [=](Record* r) {
    r->events.erase(r->events.begin() + static_cast<long>(IndexOf(*r, kind, request, attempt)));
  };
}
auto Change(EventKind kind, uint64_t request, std::function<void(Event*)> change) {
  return [=](Record* r) { change(&r->events[IndexOf(*r, kind, request)]); };
}
auto Add(std::vector<Event> events) {
  return [=](Record* r) { r->events.insert(r->events.end(), events.begin(), events.end()); };
}

INSTANTIATE_TEST_SUITE_P(
    Each, OneBreak,
    testing::Values(Mutation{"no_answer", Rule::kOneAnswer, Erase(EventKind::kAnswer, 5)},
                    Mutation{"connection_ended", Rule::kOneAnswer,
                             Change(EventKind::kAnswer, 3, [](Event* e) { e->kind = EventKind::kEnded; })},
                    Mutation{"two_answers", Rule::kOneAnswer, Add({Answer(5, 5, 429)})},
                    Mutation{"late_answer", Rule::kOneAnswer,
                             Change(EventKind::kAnswer, 5, [](Event* e) { e->t = 5.06; })},
                    Mutation{"answer_of_another", Rule::kOneAnswer,
                             Change(EventKind::kAnswer, 2, [](Event* e) { e->token = 12; })},
                    Mutation{"answer_made_up", Rule::kOneAnswer,
                             Change(EventKind::kAnswer, 5, [](Event* e) { e->status = 200; })},
                    Mutation{"sent_after_the_answer", Rule::kOneAnswer,
                             Add({Arrive(0.3, 1, 13, 1), Cancelled(0.31, 1, 13, 1)})},
                    Mutation{"gateway_crashed", Rule::kOneAnswer,
                             [](Record* r) {
                               Event e = Make(15, EventKind::kGatewayDown);
                               e.gateway = 0;
                               e.text = "crashed";
                               r->events.push_back(e);
                             }},
                    Mutation{"unsafe_sent_again", Rule::kNoEffectTwice,
                             Change(EventKind::kReply, 2, [](Event* e) { e->text = "reset"; })},
                    Mutation{"unsafe_done_twice", Rule::kNoEffectTwice, Add({EffectOf(1.25, 2, 22, 1)})},
                    Mutation{"unsafe_refused_after_it_ran", Rule::kNoEffectTwice,
                             Change(EventKind::kAnswer, 3, [](Event* e) { e->status = 503; })},
                    Mutation{"keyed_after_the_window", Rule::kNoEffectTwice,
                             [](Record* r) { r->facts.classes[kSave].window_s = 0.3; }},
                    Mutation{"keyed_done_twice", Rule::kNoEffectTwice, Add({EffectOf(3.41, 4, 41, 0)})},
                    Mutation{"two_at_once", Rule::kNoEffectTwice,
                             [](Record* r) { r->events[IndexOf(*r, EventKind::kCancelled, 4)].t = 3.46; }},
                    Mutation{"sent_after_the_grace", Rule::kDrainsKept,
                             [](Record* r) {
                               r->events[IndexOf(*r, EventKind::kTold, 0)].t = -0.9;
                               for (Event& e : r->events) {
                                 if (e.kind == EventKind::kTold && e.text == "leaving") e.t = 5.9;
                               }
                             }},
                    Mutation{"sent_to_one_never_named", Rule::kDrainsKept,
                             [](Record* r) {
                               std::erase_if(r->events, [](const Event& e) {
                                 return e.kind == EventKind::kTold && e.node == 1;
                               });
                               // Of the four sent there one is left.
                               for (uint64_t id : {1, 2, 4}) {
                                 std::erase_if(r->events, [&](const Event& e) { return e.request == id; });
                               }
                             }},
                    Mutation{"cold_node_pushed", Rule::kColdNotPushed,
                             [](Record* r) {
                               r->events[IndexOf(*r, EventKind::kArrive, 9)].work = 3;
                               r->events[IndexOf(*r, EventKind::kArrive, 8)].work = 3;
                             }},
                    Mutation{"cold_node_fell", Rule::kColdNotPushed,
                             [](Record* r) {
                               Event e = Make(7.7, EventKind::kFell);
                               e.node = 2;
                               r->events.push_back(e);
                             }},
                    Mutation{"over_the_ceiling", Rule::kCeilingsKept,
                             [](Record* r) { r->events[IndexOf(*r, EventKind::kAsk, 7)].units = 9.6; }}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(Checker, ExcusesWhatAKilledGatewayHeld) {
  Record r = Good();
  Erase(EventKind::kAnswer, 5)(&r);
  Event e = Make(4.2, EventKind::kGatewayDown);
  e.gateway = 0;
  e.text = "killed";
  r.events.push_back(e);
  std::stable_sort(r.events.begin(), r.events.end(),
                   [](const Event& a, const Event& b) { return a.t < b.t; });
  EXPECT_TRUE(Judge(r).Kept());
  r.events[IndexOf(r, EventKind::kGatewayDown, 0)].gateway = 1;
  EXPECT_FALSE(Judge(r).Kept()) << "another one's end is no excuse";
}

// A replacement that the gateway has not heard of answers at the address of one that it may send to.
TEST(Checker, AReplacementAtAKnownAddressIsNoBreak) {
  Record r = Good();
  for (Event& e : r.events) {
    if (e.kind == EventKind::kNodeUp) e.address = e.node;
  }
  Event up = Up(4.4, 3, false);
  up.address = 1;
  r.events.insert(r.events.begin() + static_cast<long>(IndexOf(r, EventKind::kAsk, 6)), up);
  for (Event& e : r.events) {
    if (e.request == 6 && e.node >= 0) e.node = 3;
  }
  EXPECT_TRUE(Judge(r).Kept());
  for (Event& e : r.events) {
    if (e.node == 3) e.address = 7;
  }
  EXPECT_FALSE(Judge(r).Kept());
}

TEST(Checker, CountsOnlyWhatIsServedWithinTheAimAndInsideTheQuota) {
  Record r = Good();
  r.facts.plans[0].rate = 0.001;
  r.facts.plans[0].burst = 4;  // the first two requests' units, and no more
  Verdict v = Judge(r);
  EXPECT_NEAR(v.whole.worth_offered, 4, 1e-9);
  EXPECT_NEAR(v.whole.Share(), 1, 1e-9);
  r.events[IndexOf(r, EventKind::kAnswer, 2)].t = 1.6;  // in time, but beyond the aim
  EXPECT_NEAR(Judge(r).whole.Share(), 0.5, 1e-9);
}

TEST(Checker, MeasuresWhatIsSentOnBeyondAQuota) {
  Record r = Good();
  r.facts.plans[0].rate = 1;
  r.facts.plans[0].burst = 2;
  // Eight first attempts of 2 units from 0.01 to 7.21 s, less the store of 2 and the 7.2 that it gains
  // meanwhile.
  EXPECT_NEAR(Judge(r).plans[0].most_over_units, 16 - 2 - 7.2, 1e-9);
  r.facts.plans[0].burst = 100;
  EXPECT_EQ(Judge(r).plans[0].most_over_units, 0);
}

TEST(Checker, ReadsBackWhatWasWritten) {
  Record r = Good();
  std::stringstream first, second;
  eventlog::Write(r, first);
  Record again = eventlog::Read(first);
  eventlog::Write(again, second);
  EXPECT_EQ(first.str(), second.str());
  EXPECT_EQ(again.events.size(), r.events.size());
  EXPECT_TRUE(Judge(again).Kept());
}

TEST(EventLog, NamesTheLineThatCannotBeRead) {
  std::stringstream out;
  eventlog::Write(Good(), out);
  std::string text = out.str();
  auto wrong = [](const std::string& record) {
    std::stringstream in(record);
    try {
      eventlog::Read(in);
    } catch (const eventlog::RecordError& error) {
      return std::string(error.what());
    }
    return std::string("sound");
  };
  size_t third = text.find('\n', text.find('\n') + 1) + 1;
  EXPECT_NE(wrong(text.substr(0, third) + "{\"kind\":\"odd\",\"t\":1}\n").find("line 3: unknown kind odd"),
            std::string::npos);
  EXPECT_NE(wrong(text.substr(0, third) + "{\"kind\":\"ask\"").find("line 3"), std::string::npos);
  EXPECT_NE(wrong("").find("line 1"), std::string::npos);
  EXPECT_NE(wrong("{}\n").find("line 1"), std::string::npos);
}

}  // namespace
}  // namespace ivygw::checker
