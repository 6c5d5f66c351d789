// Scenarios in virtual time, straight against the decision module: every one that is shipped, in a short
// form, and what must hold of the record itself.
#include "rehearsal/virtual_run.h"

#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <map>
#include <set>
#include <sstream>

#include "checker/checker.h"
#include "rehearsal/report.h"

namespace ivygw::rehearsal {
namespace {

using eventlog::Event;
using eventlog::EventKind;

std::string Shipped(const std::string& name) { return std::string(IVYGW_SCENARIOS) + "/" + name + ".toml"; }
std::string Bytes(const eventlog::Record& record) {
  std::ostringstream out;
  eventlog::Write(record, out);
  return out.str();
}
void ExpectKept(const eventlog::Record& record) {
  checker::Verdict v = checker::Judge(record);
  for (const auto& b : v.breaks)
    ADD_FAILURE() << b.t << " s: " << checker::RuleName(b.rule) << ": " << b.what;
}

TEST(VirtualRun, OneSeedGivesOneRecordToTheByte) {
  scenario::Scenario s = scenario::LoadScenario(Shipped("ocr-morning"));
  std::string first = Bytes(PlayVirtual(s, 7)), second = Bytes(PlayVirtual(s, 7)),
              other = Bytes(PlayVirtual(s, 8));
  EXPECT_GT(first.size(), 1000000u);
  EXPECT_TRUE(first == second);
  EXPECT_FALSE(first == other);
}

class EachScenario : public testing::TestWithParam<std::string> {};
TEST_P(EachScenario, KeepsTheRulesAndServes) {
  scenario::Scenario s = scenario::LoadScenario(Shipped(GetParam()));
  for (uint64_t seed : {1, 2, 3}) {
    eventlog::Record record = PlayVirtual(s, seed);
    ExpectKept(record);
    checker::Verdict v = checker::Judge(record);
    EXPECT_GT(v.whole.served, v.whole.asked / 2);
    EXPECT_EQ(v.whole.served + v.whole.refused + v.whole.failed + v.whole.unanswered, v.whole.asked);
    std::set<std::string> begun, told;
    for (const Event& e : record.events) {
      if (e.kind == EventKind::kFault && e.flag) begun.insert(e.text);
    }
    for (const auto& f : s.faults) told.insert(std::string(scenario::FaultName(f.kind)));
    EXPECT_EQ(begun, told) << "every fault has struck";
  }
}
std::vector<std::string> Names() {
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(IVYGW_SCENARIOS)) {
    if (entry.path().extension() == ".toml") names.push_back(entry.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}
INSTANTIATE_TEST_SUITE_P(Shipped, EachScenario, testing::ValuesIn(Names()), [](const auto& tested) {
  std::string name = tested.param;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

// The working is in docs/design/rehearsal.md.
TEST(VirtualRun, PlaysTheDayThatWasWorkedByHand) {
  checker::Verdict v = checker::Judge(PlayVirtual(scenario::LoadScenario(Shipped("by-hand")), 1));
  ASSERT_EQ(v.plans.size(), 2u);
  EXPECT_EQ(v.plans[0].served, 120u);
  EXPECT_EQ(v.plans[0].refused, 0u);
  EXPECT_EQ(v.plans[1].served, 19u);
  EXPECT_EQ(v.plans[1].refused, 21u);
  EXPECT_NEAR(v.plans[0].mean_s - 0.1, 0.1, 0.002);
  EXPECT_NEAR(v.plans[1].mean_s - 0.1, 0, 0.002);
}

// What the record says of one side must be what it says of the other.
TEST(VirtualRun, TheRecordAgreesWithItself) {
  eventlog::Record record = PlayVirtual(scenario::LoadScenario(Shipped("ocr-morning")), 4);
  std::map<uint64_t, const Event*> asks, arrivals;
  std::set<uint64_t> ended;
  double last = -10;
  for (const Event& e : record.events) {
    EXPECT_GE(e.t, last);
    last = e.t;
    switch (e.kind) {
      case EventKind::kAsk: EXPECT_TRUE(asks.emplace(e.request, &e).second); break;
      case EventKind::kArrive:
        EXPECT_EQ(asks.count(e.request), 1u);
        EXPECT_TRUE(arrivals.emplace(e.attempt, &e).second);
        break;
      case EventKind::kReply:
      case EventKind::kCancelled:
        ASSERT_EQ(arrivals.count(e.attempt), 1u);
        EXPECT_TRUE(ended.insert(e.attempt).second) << "an attempt ends once";
        break;
      default: break;
    }
  }
  EXPECT_GT(asks.size(), 10000u);
  EXPECT_EQ(arrivals.size(), ended.size());
}

// A pause longer than any client waits: what the paused nodes answer late must count as nothing.
TEST(VirtualRun, LateAnswersCountAsNothing) {
  scenario::Scenario s = scenario::LoadScenario(Shipped("long-pause"));
  for (auto& f : s.faults) f.nodes = 1;
  eventlog::Record record = PlayVirtual(s, 3);
  ExpectKept(record);
  checker::Verdict v = checker::Judge(record);
  EXPECT_EQ(v.phases[1].name, "pause");
  EXPECT_LT(v.phases[1].Share(), 0.2);
  EXPECT_GT(v.phases[0].Share(), 0.9);
}

// Gateways that are killed lose what they hold; the others, and it after its return, go on.
TEST(VirtualRun, AKilledGatewayComesBack) {
  eventlog::Record record = PlayVirtual(scenario::LoadScenario(Shipped("gateway-killed")), 2);
  size_t before = 0, down = 0, after = 0;
  for (const Event& e : record.events) {
    if (e.kind != EventKind::kAsk || e.gateway != 1) continue;
    ++(e.t < 8 ? before : e.t < 13 ? down : after);
  }
  EXPECT_GT(before, 300u);
  EXPECT_EQ(down, 0u);
  EXPECT_GT(after, 300u);
}

TEST(Report, HoldsTheFiguresAndIsOnePage) {
  eventlog::Record record = PlayVirtual(scenario::LoadScenario(Shipped("ocr-morning")).Shortened(0.3), 4);
  checker::Verdict v = checker::Judge(record);
  nlohmann::json report = JsonReport(record, v);
  EXPECT_EQ(report["whole"]["served"], v.whole.served);
  EXPECT_EQ(report["rules_kept"], true);
  EXPECT_EQ(report["phases"].size(), record.facts.phases.size());
  std::string page = HtmlReport(record, v);
  EXPECT_EQ(page.find("src="), std::string::npos) << "nothing is fetched";
  EXPECT_EQ(page.find("href="), std::string::npos);
  EXPECT_NE(page.find("fast_errors"), std::string::npos);
  size_t data = page.find("const data="), end = page.find(";\n", data);
  nlohmann::json series = nlohmann::json::parse(page.substr(data + 11, end - data - 11));
  EXPECT_EQ(series["plots"].size(), 4u);
  EXPECT_EQ(series["bands"].size(), 3u);
  double asked = 0;
  for (double x : series["plots"][0]["lines"][0]["values"]) asked += x * series["step"].get<double>();
  EXPECT_NEAR(asked, static_cast<double>(v.whole.asked), 1);
}

}  // namespace
}  // namespace ivygw::rehearsal
