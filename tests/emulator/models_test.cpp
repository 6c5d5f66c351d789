// The counter's and discovery's models, and the clients' arrivals.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "emulator/clients.h"
#include "emulator/counter_model.h"
#include "emulator/discovery_model.h"
#include "emulator/node_model.h"

namespace ivygw::emulator {
namespace {

CounterSpec OnePart() {
  CounterSpec spec;
  spec.parts = 1;
  spec.calls_per_s = 1000;
  spec.least_wait_s = 0.001;
  spec.longest_queue_s = 0.0105;
  return spec;
}

TEST(CounterModel, AddsAndExpires) {
  CounterModel counter(OnePart(), 1);
  EXPECT_DOUBLE_EQ(counter.Call(0, 0, "a", 2, 4).total, 2);
  EXPECT_DOUBLE_EQ(counter.Call(1, 1, "a", -0.5, 4).total, 1.5);
  EXPECT_DOUBLE_EQ(counter.Call(3.9, 0, "a", 0, 4).total, 1.5) << "the life is that of the name's first call";
  EXPECT_DOUBLE_EQ(counter.Call(4.1, 0, "a", 1, 4).total, 1);
}

TEST(CounterModel, ServesInTurnAtABoundedRateAndTurnsAwayTheRest) {
  CounterModel counter(OnePart(), 1);
  int busy = 0;
  double last = 0;
  for (int i = 0; i < 30; ++i) {
    CounterReply reply = counter.Call(0, 0, "a", 1, 4);
    if (reply.result == CounterResult::kBusy) {
      ++busy;
      continue;
    }
    EXPECT_NEAR(reply.at - last, i == 0 ? 0.002 : 0.001, 1e-9);
    last = reply.at;
  }
  EXPECT_EQ(busy, 19);
  EXPECT_DOUBLE_EQ(counter.Call(1, 0, "a", 0, 4).total, 11) << "what was turned away was not added";
}

TEST(CounterModel, FailsAsTold) {
  CounterModel counter(OnePart(), 1);
  counter.Call(0, 0, "a", 3, 50);
  CounterFaults faults;
  faults.silent = true;
  counter.SetFaults(0, faults);
  EXPECT_EQ(counter.Call(1, 0, "a", 1, 50).result, CounterResult::kSilent);
  faults = {};
  faults.refusing = true;
  counter.SetFaults(0, faults);
  EXPECT_EQ(counter.Call(2, 0, "a", 1, 50).result, CounterResult::kRefused);
  faults = {};
  faults.slow = 5;
  counter.SetFaults(0, faults);
  EXPECT_NEAR(counter.Call(3, 0, "a", 1, 50).at, 3.01, 1e-9);
  faults = {};
  faults.stale = true;
  counter.SetFaults(0, faults);
  EXPECT_DOUBLE_EQ(counter.Call(4, 0, "a", 5, 50).total, 4);
  EXPECT_DOUBLE_EQ(counter.Call(4.1, 0, "a", 5, 50).total, 4);
  counter.SetFaults(0, {});
  EXPECT_DOUBLE_EQ(counter.Call(5, 0, "a", 0, 50).total, 14) << "stale answers, but true counts";
  faults = {};
  faults.lost = 1;
  counter.SetFaults(0, faults);
  EXPECT_DOUBLE_EQ(counter.Call(6, 0, "a", 9, 50).total, 14);
  counter.SetFaults(0, {});
  counter.Empty();
  EXPECT_DOUBLE_EQ(counter.Call(7, 0, "a", 1, 50).total, 1);
}

TEST(CounterModel, LosesAShareOfItsNames) {
  CounterSpec spec = OnePart();
  spec.calls_per_s = 1e6;
  CounterModel counter(spec, 1);
  for (int i = 0; i < 1000; ++i) counter.Call(0.01 * i, 0, "n" + std::to_string(i), 1, 60);
  counter.Lose(10, 0.4);
  int kept = 0;
  for (int i = 0; i < 1000; ++i)
    kept += counter.Call(20 + 0.01 * i, 0, "n" + std::to_string(i), 0, 60).total > 0;
  EXPECT_NEAR(kept, 600, 60);
}

// While split, each half goes on from the same totals by itself; the first gateways' half is kept.
TEST(CounterModel, SplitsAndHeals) {
  CounterModel counter(OnePart(), 1);
  counter.Call(0, 0, "a", 10, 50);
  counter.Split(2);
  counter.Call(1, 0, "a", 1, 50);
  counter.Call(1.1, 2, "a", 5, 50);
  EXPECT_DOUBLE_EQ(counter.Call(1.2, 1, "a", 0, 50).total, 11);
  EXPECT_DOUBLE_EQ(counter.Call(1.3, 2, "a", 0, 50).total, 15);
  counter.Heal();
  EXPECT_DOUBLE_EQ(counter.Call(2, 2, "a", 0, 50).total, 11);
}

NodeEntry Entry(int node, NodeStatus status = NodeStatus::kActive) {
  NodeEntry entry;
  entry.node = node;
  entry.name = "s" + std::to_string(node);
  entry.status = status;
  return entry;
}

TEST(DiscoveryModel, TellsLateInOrderAndWholeOrByChange) {
  DiscoveryModel discovery({0.5, 2}, 3, 9);
  discovery.Add(Entry(0));
  discovery.Add(Entry(1));
  discovery.Change(10, Entry(0, NodeStatus::kLeaving));
  discovery.Change(10.1, Entry(2));
  discovery.Change(10.2, Entry(0, NodeStatus::kLeft));
  for (int g = 0; g < 3; ++g) {
    EXPECT_EQ(discovery.Index(10.4, g), 1u);
    uint64_t index = 1;
    double before = 10;
    for (int i = 0; i < 3; ++i) {
      double at = discovery.Newer(g, index);
      EXPECT_GE(at, std::max(before, 10.5));
      EXPECT_LE(at, 12.2);
      before = at;
      ++index;
    }
    EXPECT_EQ(discovery.Index(13, g), 4u);
    DiscoveryNews all = discovery.Since(13, g, 1), whole = discovery.Whole(13, g);
    ASSERT_EQ(all.entries.size(), 3u);
    EXPECT_FALSE(all.snapshot);
    EXPECT_EQ(all.entries[2].status, NodeStatus::kLeft);
    EXPECT_TRUE(whole.snapshot);
    ASSERT_EQ(whole.entries.size(), 2u) << "what has left is in no whole list";
    EXPECT_EQ(whole.entries[1].name, "s2");
    EXPECT_TRUE(discovery.Since(13, g, 99).snapshot) << "a version that it never gave";
  }
}

TEST(DiscoveryModel, SaysNothingWhileSilentAndAllOfItAfterwards) {
  DiscoveryModel discovery({0.1, 0.2}, 1, 9);
  discovery.Add(Entry(0));
  discovery.Change(1, Entry(1));
  discovery.SetSilent(1.05, true);
  discovery.Change(2, Entry(2));
  EXPECT_EQ(discovery.Index(50, 0), 1u);
  EXPECT_EQ(discovery.Newer(0, 1), kNever);
  discovery.SetSilent(60, false);
  EXPECT_EQ(discovery.Index(61, 0), 3u);
  EXPECT_GT(discovery.Newer(0, 1), 60);
}

scenario::Scenario Day() {
  scenario::Scenario s;
  s.duration_s = 100;
  s.gateways = 3;
  s.load.rate = 200;
  scenario::RequestClass quote, lead;
  quote.name = "quote";
  quote.share = 0.75;
  quote.work_s = 0.1;
  lead.name = "lead";
  lead.share = 0.25;
  lead.effect = scenario::Effect::kUnsafe;
  s.classes = {quote, lead};
  scenario::Plan plan;
  plan.name = "plan";
  plan.customers = 10;
  plan.spread = 2;
  s.plans = {plan};
  s.nodes = {{}};
  scenario::Fault jump;
  jump.kind = scenario::FaultKind::kJump;
  jump.at_s = 50;
  jump.for_s = 50;
  jump.times = 2;
  s.faults = {jump};
  return s;
}

// Keeps what is asked, and answers as it is told.
struct Port : ClientPort {
  void Ask(int gateway, const ClientCall& call) override {
    asked.emplace_back(gateway, call);
    if (clients != nullptr) on_ask(call);
  }
  void Drop(uint64_t id) override { dropped.insert(id); }
  std::vector<std::pair<int, ClientCall>> asked;
  std::set<uint64_t> dropped;
  Clients* clients = nullptr;
  std::function<void(const ClientCall&)> on_ask;
};

TEST(Clients, DrawTheDayThatTheScenarioDescribes) {
  scenario::Scenario s = Day();
  VirtualScheduler scheduler(-1);
  std::vector<eventlog::Event> log;
  Clients clients(s, 3, &scheduler, &log);
  Port port;
  clients.Start(&port);
  scheduler.RunUntil(101, [](double) {});
  double first = 0, second = 0, leads = 0, units = 0, work = 0;
  std::map<int, int> by_gateway;
  for (const auto& [gateway, call] : port.asked) {
    (call.due < 50 ? first : second) += 1;
    leads += call.cls == 1;
    units += call.true_units;
    work += call.cls == 0 ? call.work_s : 0;
    ++by_gateway[gateway];
    int step = (gateway - call.first + 3) % 3;
    EXPECT_LT(step, call.spread) << "only through the customer's set";
    EXPECT_LE(call.patience_s, 3);
    EXPECT_GE(call.patience_s, 1.5);
    EXPECT_NEAR(call.units, call.true_units, 1);
  }
  EXPECT_NEAR(first, 10000, 400);
  EXPECT_NEAR(second, 20000, 600);
  EXPECT_NEAR(leads / (first + second), 0.25, 0.02);
  EXPECT_NEAR(units / (first + second), 2, 0.15);
  EXPECT_NEAR(work / ((first + second) * 0.75), 0.1, 0.01);
  EXPECT_EQ(by_gateway.size(), 3u);
}

TEST(Clients, RetryOnceAsToldButNeverWhatMayHaveRunUnsafely) {
  for (int status : {200, 429, 502, 0}) {
    scenario::Scenario s = Day();
    s.faults.clear();
    s.duration_s = 10;
    s.clients.honour = 1;
    s.clients.retries = 1;
    VirtualScheduler scheduler(-1);
    std::vector<eventlog::Event> log;
    Clients clients(s, 3, &scheduler, &log);
    Port port;
    port.clients = &clients;
    port.on_ask = [&](const ClientCall& call) {
      clients.OnWritten(call.id);
      if (status != 0) {
        scheduler.After(0.01,
                        [&, id = call.id] { clients.OnAnswer(id, status, status == 429 ? 1.5 : 0, 0); });
      }
    };
    clients.Start(&port);
    scheduler.RunUntil(60, [](double) {});
    std::map<uint64_t, std::vector<ClientCall>> chains;
    for (const auto& [gateway, call] : port.asked) {
      chains[call.retry_of == 0 ? call.id : call.retry_of].push_back(call);
    }
    EXPECT_EQ(chains.size(), clients.arrivals());
    for (const auto& [first, chain] : chains) {
      bool unsafe = chain[0].cls == 1, again = status == 429 || (status != 200 && !unsafe);
      ASSERT_EQ(chain.size(), again ? 2u : 1u) << status;
      if (!again) continue;
      EXPECT_NE(chain[0].id, chain[1].id);
      if (status == 429) {
        EXPECT_NEAR(chain[1].due - chain[0].due, 1.51, 1e-6);
      }
    }
    EXPECT_EQ(port.dropped.empty(), status != 0) << "one that is not answered in its time is left";
    EXPECT_EQ(clients.open(), 0u);
  }
}

TEST(Clients, TheFrontLeavesOutAGatewayThatItTakesForDead) {
  scenario::Scenario s = Day();
  s.duration_s = 20;
  s.faults.clear();
  VirtualScheduler scheduler(-1);
  std::vector<eventlog::Event> log;
  Clients clients(s, 3, &scheduler, &log);
  Port port;
  clients.SetAlive(1, false);
  clients.Start(&port);
  scheduler.RunUntil(21, [](double) {});
  ASSERT_GT(port.asked.size(), 1000u);
  for (const auto& [gateway, call] : port.asked) EXPECT_NE(gateway, 1);
}

}  // namespace
}  // namespace ivygw::emulator
