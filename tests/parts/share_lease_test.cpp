// Shares of a ceiling held by lease: they never add up to more than one, whatever is lost, paused or killed;
// they are fair by demand, and a dead gateway's share is reused once its lease has ended.
#include "parts/share_lease.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <random>
#include <unordered_set>

#include "emulator/engine_model.h"
#include "emulator/scheduler.h"

namespace ivygw::parts {
namespace {

using emulator::EngineModel;
using emulator::VirtualScheduler;

TEST(FairShares, GiveEachItsDemandOrAnEqualShare) {
  auto shares = [](std::vector<double> needs, double min_share) {
    std::vector<ShareLease> leases;
    for (double n : needs) leases.push_back({0, n, 0});
    return MaxMinFairShares(leases, min_share);
  };
  std::vector<double> s = shares({0.1, 0.6, 0.6}, 0.01);
  EXPECT_NEAR(s[0], 0.1, 1e-9);
  EXPECT_NEAR(s[1], 0.45, 1e-9);
  EXPECT_NEAR(s[2], 0.45, 1e-9);
  s = shares({0.1, 0.1, 0}, 0.01);  // unused capacity goes to those that ask
  EXPECT_NEAR(s[0], 0.5, 1e-9);
  EXPECT_EQ(s[2], 0);
  s = shares({1, 0.01}, 0.2);
  EXPECT_NEAR(s[1], 0.2, 1e-9) << "one request fits";
  EXPECT_NEAR(s[0], 0.8, 1e-9);
}

TEST(FairShares, LongestWaitingComeFirstWhereNotAllFit) {
  std::vector<ShareLease> leases = {{0, 1, 30}, {0, 1, 10}, {0, 1, 20}, {0, 1, 0}};
  std::vector<double> s = MaxMinFairShares(leases, 0.4);
  EXPECT_EQ(s[0], 0);
  EXPECT_GE(s[1], 0.4);
  EXPECT_GE(s[2], 0.4);
  EXPECT_EQ(s[3], 0);
  s = MaxMinFairShares(leases, 2);  // more than the whole: one holder at a time
  EXPECT_NEAR(s[1], 1, 1e-9);
}

TEST(FairShares, HoldForRandomDemands) {
  std::mt19937_64 random(1);
  auto unit = [&] { return static_cast<double>(random() % 10001) / 10000; };
  for (int round = 0; round < 20000; ++round) {
    std::vector<ShareLease> leases(1 + random() % 12);
    double min_share = 0.001 + 0.5 * unit();
    for (ShareLease& l : leases) l = {0, random() % 4 == 0 ? 0 : unit(), random() % 50};
    std::vector<double> s = MaxMinFairShares(leases, min_share);
    double sum = std::accumulate(s.begin(), s.end(), 0.0);
    ASSERT_LE(sum, 1 + 1e-9);
    for (size_t i = 0; i < s.size(); ++i) {
      ASSERT_TRUE(s[i] == 0 || s[i] >= min_share * (1 - 1e-6)) << s[i] << " " << min_share;
      ASSERT_TRUE(leases[i].demand > 0 || s[i] == 0);
      for (size_t j = 0; j < s.size(); ++j) {
        // Whoever gets less than its demand has as much as any other, except for that one's minimum.
        bool unmet = s[i] > 0 && s[j] > 0 && s[i] < leases[i].demand - 1e-9;
        ASSERT_TRUE(!unmet || s[i] >= s[j] - min_share - 1e-9) << s[i] << " " << s[j];
      }
    }
  }
}

TEST(ShareLease, RoundTripsAndRejectsOtherText) {
  ShareLease l{0.25, 0.5, 1ull << 50};
  ShareLease back = ParseShareLease(SerializeShareLease(l));
  EXPECT_EQ(back.share, l.share);
  EXPECT_EQ(back.demand, l.demand);
  EXPECT_EQ(back.waiting_since, l.waiting_since);
  for (const char* text : {"", "x", "2 0.1 0.1 1", "1 0.1 0.1", "1 nan 0 1", "1 5 0 1", "1 0.1 0.1 1 more"}) {
    EXPECT_EQ(ParseShareLease(text).share, 1)
        << text << ": an unreadable entry counts as a lease of the whole";
  }
}

// Gateways in virtual time, each with its own membership entry in the engine.
class SimulatedFleet {
 public:
  static constexpr double kLease = 3;
  SimulatedFleet(int n, uint64_t seed, double min_share)
      : engine(&scheduler, seed), min_share_(min_share), random_(seed) {
    for (int g = 0; g < n; ++g) Start(g);
  }
  struct Gateway {
    bool alive = true, paused = false;
    uint64_t slot = 0, timer_generation = 0;
    double member_until = 0, demand = 0;
    int id = 0;
    std::string boot_id;
    std::vector<std::function<void()>> deferred_events;
    std::unique_ptr<ShareLeaseClient> client;
  };
  void Start(int g) {
    if (static_cast<int>(gateways.size()) <= g) gateways.resize(static_cast<size_t>(g) + 1);
    auto gateway = std::make_shared<Gateway>();
    gateway->id = g;
    gateway->boot_id = "b" + std::to_string(++boots_);
    gateways[static_cast<size_t>(g)] = gateway;
    ShareLeaseOptions o;
    o.customer = "c";
    o.boot_id = gateway->boot_id;
    o.lease_s = kLease;
    o.min_share = min_share_;
    Gateway* raw = gateway.get();
    gateway->client =
        std::make_unique<ShareLeaseClient>(o, [this, raw](double) -> std::optional<shared::Condition> {
          if (scheduler.Now() >= raw->member_until) return std::nullopt;
          return shared::Condition{"slot/" + raw->boot_id, raw->slot};
        });
    RenewMembership(gateway);
  }
  // Renews the membership entry, independently of the share leases.
  void RenewMembership(const std::shared_ptr<Gateway>& g) {
    if (!g->alive) return;
    scheduler.After(kLease / 3, [this, g] { RenewMembership(g); });
    if (g->paused) return;
    shared::Batch batch;
    if (g->slot == 0 || scheduler.Now() >= g->member_until)
      batch.changes.push_back(shared::Put("slot/" + g->boot_id, "", kLease));
    else
      batch.changes.push_back(shared::Renew("slot/" + g->boot_id, kLease));
    bool put = !batch.changes[0].renew;
    double sent = scheduler.Now();
    if (engine.away) return;
    shared::Reply r = engine.store().Take(shared::Commit(batch), engine.Now());
    if (put) g->slot = r.revision;
    g->member_until = sent + 0.9 * kLease;
  }
  void Kill(int g) { At(g).alive = false; }
  void Pause(int g) { At(g).paused = true; }
  void Resume(int g) {
    At(g).paused = false;
    auto tasks = std::move(At(g).deferred_events);
    At(g).deferred_events.clear();
    for (auto& t : tasks) t();
  }
  Gateway& At(int g) { return *gateways[static_cast<size_t>(g)]; }
  void SetDemand(int g, double share) {
    At(g).demand = share;
    Run(gateways[static_cast<size_t>(g)],
        [share](ShareLeaseClient& client, double now, ShareLeaseClient::OutgoingCalls* out) {
          client.SetDemand(share, now, out);
        });
  }
  // Demands are reported again at intervals, as by arriving requests.
  void Advance(double seconds) {
    for (double end = scheduler.Now() + seconds; scheduler.Now() < end;) {
      scheduler.RunUntil(std::min(end, scheduler.Now() + 0.5), [](double) {});
      for (size_t g = 0; g < gateways.size(); ++g) {
        if (gateways[g]->alive && !gateways[g]->paused) SetDemand(static_cast<int>(g), gateways[g]->demand);
      }
      Check();
    }
  }
  // Sum of the shares that running gateways may use by their own view; paused ones do nothing.
  double Sum() const {
    double sum = 0;
    for (const auto& g : gateways) {
      if (g->alive && !g->paused) sum += g->client->Share(scheduler.Now());
    }
    return sum;
  }
  double Share(int g) { return At(g).alive && !At(g).paused ? At(g).client->Share(scheduler.Now()) : 0; }
  void Check() {
    double sum = Sum();
    max_sum = std::max(max_sum, sum);
    if (sum > 1 + 1e-9 && ++violations < 5)
      ADD_FAILURE() << "sum of shares: " << sum << " at " << scheduler.Now() << " s";
  }
  VirtualScheduler scheduler{0};
  EngineModel engine;
  std::vector<std::shared_ptr<Gateway>> gateways;
  double max_sum = 0;
  int violations = 0;

 private:
  void Run(const std::shared_ptr<Gateway>& g,
           std::function<void(ShareLeaseClient&, double, ShareLeaseClient::OutgoingCalls*)> event) {
    if (!g->alive) return;
    if (g->paused) return g->deferred_events.push_back([this, g, event] { Run(g, event); });
    ShareLeaseClient::OutgoingCalls calls;
    event(*g->client, scheduler.Now(), &calls);
    for (auto& call : calls) {
      engine.Ask(g->id, std::move(call.call), [this, g, id = call.id](const shared::Reply& r) {
        Run(g, [id, r](ShareLeaseClient& client, double now, ShareLeaseClient::OutgoingCalls* out) {
          client.OnReply(now, id, r, out);
        });
      });
    }
    Check();
    double due = g->client->NextDue();
    if (due >= 1e299) return;
    uint64_t timer_generation = ++g->timer_generation;
    scheduler.After(std::max(0.0, due - scheduler.Now()) + 1e-6, [this, g, timer_generation] {
      if (timer_generation == g->timer_generation)
        Run(g, [](ShareLeaseClient& client, double now, ShareLeaseClient::OutgoingCalls* out) {
          client.OnTimer(now, out);
        });
    });
  }
  const double min_share_;
  std::mt19937_64 random_;
  int boots_ = 0;
};

TEST(Lending, SharesFollowDemandAndAddUpToOne) {
  SimulatedFleet f(4, 1, 0.05);
  f.SetDemand(0, 0.1);
  f.SetDemand(1, 0.9);
  f.Advance(6);
  EXPECT_NEAR(f.Sum(), 1, 0.02);
  EXPECT_GT(f.Share(1), 0.8);
  f.SetDemand(2, 0.9);  // a third gateway gets traffic
  f.Advance(6);
  EXPECT_NEAR(f.Share(1), 0.45, 0.06);
  EXPECT_NEAR(f.Share(2), 0.45, 0.06);
  f.SetDemand(1, 0);  // all its traffic moves to another gateway
  f.SetDemand(3, 0.9);
  f.Advance(2 * SimulatedFleet::kLease + 10);
  EXPECT_NEAR(f.Share(3), 0.45, 0.08);
  EXPECT_EQ(f.Share(1), 0);
}

TEST(Lending, ADeadGatewaysShareIsReusedAfterItsLease) {
  SimulatedFleet f(3, 2, 0.05);
  for (int g = 0; g < 3; ++g) f.SetDemand(g, 0.6);
  f.Advance(8);
  ASSERT_NEAR(f.Sum(), 1, 0.02);
  f.Kill(1);
  f.Advance(0.8 * SimulatedFleet::kLease);
  EXPECT_LT(f.Sum(), 0.75) << "not before its lease has ended";
  f.Advance(0.2 * SimulatedFleet::kLease + SimulatedFleet::kLease);
  EXPECT_GT(f.Sum(), 0.95) << "and within a lease after that";
}

TEST(Lending, APausedGatewayStopsBeforeItsShareIsReassigned) {
  SimulatedFleet f(2, 3, 0.05);
  f.SetDemand(0, 0.9);
  f.SetDemand(1, 0.9);
  f.Advance(8);
  f.Pause(0);
  f.Advance(3 * SimulatedFleet::kLease);
  EXPECT_GT(f.Share(1), 0.85);
  f.At(0).paused = false;
  EXPECT_EQ(f.At(0).client->Share(f.scheduler.Now()), 0) << "even before it handles an event";
  f.At(0).paused = true;
  f.Resume(0);
  f.Advance(8);
  EXPECT_NEAR(f.Share(0), 0.5, 0.06);
}

TEST(Lending, GatewaysTakeTurnsWhereNotAllCanHoldARequest) {
  SimulatedFleet f(6, 4, 0.4);  // two at a time
  std::vector<double> held(6, 0);
  for (int g = 0; g < 6; ++g) f.SetDemand(g, 0.5);
  f.Advance(10);
  for (int step = 0; step < 400; ++step) {
    f.Advance(0.5);
    int holders = 0;
    for (int g = 0; g < 6; ++g) {
      held[static_cast<size_t>(g)] += f.Share(g);
      holders += f.Share(g) > 0;
    }
    EXPECT_LE(holders, 2);
  }
  double sum = 0, squares = 0;
  for (double h : held) sum += h, squares += h * h;
  EXPECT_GT(sum * sum / (6 * squares), 0.95) << "Jain's fairness index of the shares held";
  EXPECT_GT(sum / 400, 0.6) << "turns are in use most of the time";
}

TEST(Lending, FairWhileTheFleetGrowsAndShrinks) {
  SimulatedFleet f(4, 5, 0.02);
  double worst = 1;
  for (int n : {4, 8, 12, 3}) {
    for (int g = 0; g < 12; ++g) {
      if (g >= static_cast<int>(f.gateways.size()) && g < n) f.Start(g);
      if (g < static_cast<int>(f.gateways.size()) && g >= n) f.Kill(g);
    }
    std::vector<double> demand;
    for (int g = 0; g < n; ++g) demand.push_back((g % 2 == 0 ? 0.02 : 0.2) * 4 / n);  // demands differ 1:10
    for (int g = 0; g < n; ++g) f.SetDemand(g, demand[static_cast<size_t>(g)]);
    f.Advance(3 * SimulatedFleet::kLease + 6);
    double sum = 0, squares = 0;
    for (int g = 0; g < n; ++g) {
      double served = std::min(1.0, f.Share(g) / demand[static_cast<size_t>(g)]);
      sum += served, squares += served * served;
    }
    worst = std::min(worst, sum * sum / (n * squares));
  }
  EXPECT_GE(worst, 0.95) << "Jain's fairness index of served demand";
}

// Forty gateways with random kills, pauses, link failures, lost calls and demand changes; the sum is checked
// at every step.
TEST(Lending, RandomFaultsNeverExceedTheWhole) {
  const char* more = std::getenv("IVYGW_LENDING_SEEDS");
  uint64_t seeds = more != nullptr ? std::strtoull(more, nullptr, 10) : 20;
  double max_sum = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    auto unit = [&] { return static_cast<double>(random() % 10001) / 10000; };
    int n = 40;
    SimulatedFleet f(n, seed, seed % 2 == 0 ? 0.01 : 0.1);
    for (int g = 0; g < n; ++g) f.SetDemand(g, unit() * 0.2);
    for (int step = 0; step < 40; ++step) {
      f.Advance(0.2 + 2 * unit());
      int g = static_cast<int>(random() % static_cast<uint64_t>(n));
      switch (random() % 9) {
        case 0:
          f.Kill(g);
          f.Start(g);
          f.SetDemand(g, unit());
          break;
        case 1: f.Kill(g); break;
        case 2: f.Pause(g); break;
        case 3:
          if (f.At(g).paused) f.Resume(g);
          break;
        case 4: f.engine.link(g).lost = 0.5 * unit(); break;
        case 5: f.engine.link(g).answers = !f.engine.link(g).answers; break;
        case 6: f.engine.link(g) = {}; break;
        case 7: f.engine.link(g).slow_s = 2 * unit(); break;
        default: f.SetDemand(g, unit()); break;
      }
    }
    max_sum = std::max(max_sum, f.max_sum);
    if (HasFailure()) FAIL() << "seed " << seed;
  }
  std::printf("40 gateways, %llu seeds: highest sum of shares: %.6f\n",
              static_cast<unsigned long long>(seeds), max_sum);
  EXPECT_GT(max_sum, 0.9) << "the shares are in use";
}

// Three gateways in every interleaving of calls, replies, one lost reply, pauses (no step of their own) and
// lease ends.
struct ThreeClients {
  ThreeClients() {
    for (int i = 0; i < 3; ++i) {
      ShareLeaseOptions o;
      o.customer = "c";
      o.boot_id = "b" + std::to_string(i);
      o.lease_s = 3;
      o.min_share = 0.4;
      o.turn_s = 2;
      clients.push_back(std::make_unique<ShareLeaseClient>(o, MembershipFor(i)));
      calls.emplace_back();
    }
  }
  ThreeClients(const ThreeClients& other)
      : now(other.now),
        losses_left(other.losses_left),
        ticks_done(other.ticks_done),
        store(other.store),
        calls(other.calls) {
    for (int i = 0; i < 3; ++i)
      clients.push_back(
          std::make_unique<ShareLeaseClient>(*other.clients[static_cast<size_t>(i)], MembershipFor(i)));
  }
  // Memberships that hold throughout: only the leases are under test.
  static ShareLeaseClient::MembershipCheck MembershipFor(int) {
    return [](double) { return shared::Condition{"slot/none", 0}; };
  }
  void Take(int i, ShareLeaseClient::OutgoingCalls outgoing) {
    for (auto& call : outgoing) calls[static_cast<size_t>(i)].push_back({std::move(call), std::nullopt});
  }
  struct InFlightCall {
    ShareLeaseClient::OutgoingCall call;
    std::optional<shared::Reply> reply;
  };
  bool RunDue(int i) {
    ShareLeaseClient& client = *clients[static_cast<size_t>(i)];
    ShareLeaseClient::OutgoingCalls outgoing;
    if (client.NextDue() >= 1e299) {
      client.SetDemand(0.5, now, &outgoing);
    } else if (client.NextDue() <= now) {
      client.SetDemand(0.5, now, &outgoing);
      client.OnTimer(now, &outgoing);
    }
    if (outgoing.empty()) return false;
    Take(i, std::move(outgoing));
    return true;
  }
  bool Execute(int i) {
    for (InFlightCall& u : calls[static_cast<size_t>(i)]) {
      if (u.reply) continue;
      u.reply = store.Take(u.call.call, now);
      return true;
    }
    return false;
  }
  bool Deliver(int i, bool lose) {
    auto& c = calls[static_cast<size_t>(i)];
    if (c.empty() || !c.front().reply) return false;
    InFlightCall u = std::move(c.front());
    c.pop_front();
    if (lose) return true;
    ShareLeaseClient::OutgoingCalls outgoing;
    clients[static_cast<size_t>(i)]->OnReply(now, u.call.id, *u.reply, &outgoing);
    Take(i, std::move(outgoing));
    return true;
  }
  std::string StateText() {
    std::string text = std::to_string(losses_left) + std::to_string(ticks_done) + ";";
    for (size_t i = 0; i < 3; ++i) {
      text += clients[i]->Fingerprint(now) + "#";
      for (InFlightCall& u : calls[i]) {
        text += "c" + std::to_string(static_cast<int>(u.call.call.kind));
        for (auto& c : u.call.call.batch.conditions) text += c.key + std::to_string(c.version) + ",";
        for (auto& c : u.call.call.batch.changes) text += c.key + c.value.value_or("-") + ",";
        if (u.reply) {
          text +=
              "r" + std::to_string(static_cast<int>(u.reply->outcome)) + std::to_string(u.reply->revision);
          for (auto& e : u.reply->entries) text += e.key + e.value;
        }
      }
    }
    for (auto& e : store.Take(shared::Range(""), now).entries) {
      text += e.key + e.value + "@" + std::to_string(e.version) + "l" +
              std::to_string(std::lround(e.lease_left_s.value_or(0) * 10)) + ";";
    }
    return text;
  }
  double Sum() const {
    double sum = 0;
    for (const auto& b : clients) sum += b->Share(now);
    return sum;
  }
  double now = 100;
  int losses_left = 1, ticks_done = 0;
  shared::MemoryStore store{"g"};
  std::vector<std::unique_ptr<ShareLeaseClient>> clients;
  std::vector<std::deque<InFlightCall>> calls;
};

class StateSpaceSearch {
 public:
  // The default is for CI; IVYGW_SEARCH_STATES overrides it.
  static size_t MaxStates() {
    const char* more = std::getenv("IVYGW_SEARCH_STATES");
    return more != nullptr ? std::strtoull(more, nullptr, 10) : 80000;
  }
  StateSpaceSearch() {
    ThreeClients first;
    Visit(first);
  }
  size_t states = 0, used = 0, violations = 0;

 private:
  void Visit(ThreeClients& s) {
    if (states >= max_states_ || !visited_.insert(std::hash<std::string>()(s.StateText())).second) return;
    ++states;
    used += s.Sum() > 0.9;
    violations += s.Sum() > 1 + 1e-9;
    auto with = [&](auto step) {
      ThreeClients next(s);
      if (step(next)) Visit(next);
    };
    for (int i = 0; i < 3; ++i) {
      with([i](ThreeClients& n) { return n.RunDue(i); });
      with([i](ThreeClients& n) { return n.Execute(i); });
      with([i](ThreeClients& n) { return n.Deliver(i, false); });
      if (s.losses_left > 0) with([i](ThreeClients& n) { return --n.losses_left, n.Deliver(i, true); });
    }
    if (s.ticks_done < 5) with([](ThreeClients& n) { return n.now += 1, ++n.ticks_done, true; });
  }
  const size_t max_states_ = MaxStates();
  std::unordered_set<size_t> visited_;
};

TEST(Lending, EveryInterleavingOfThreeKeepsTheSum) {
  StateSpaceSearch search;
  std::printf("three gateways, one lost reply: %zu states%s, fully used in %zu\n", search.states,
              search.states >= StateSpaceSearch::MaxStates() ? " (limit reached)" : ", exhaustive",
              search.used);
  EXPECT_EQ(search.violations, 0u);
  EXPECT_GT(search.used, 100u);
}

}  // namespace
}  // namespace ivygw::parts
