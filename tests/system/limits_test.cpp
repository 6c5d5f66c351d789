// Limits over many gateways: the very QuotaAllocator and Admission objects, joined by a simulated network.
// Whatever is cut, killed or started anew, what all gateways together send stays within what the operators
// allow in every window.
#include <algorithm>
#include <cmath>
#include <ctime>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "rate_limit/admission.h"
#include "rate_limit/quota_allocator.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using rate_limit::Admission;
using rate_limit::QuotaAllocator;

namespace {

struct Options {
  size_t gateways = 11, cores = 3;
  double rate = 60, burst = 60, overload = 1;
  bool faults = false, lent_twice = false;
  bool forgets_holders = false;
  // Records of silent holders say after a lease term that they only retain something, and end with that; else
  // all gateways count as holders for good.
  bool records_expire = false;
  bool forgets_retaining = false;
};

class World {
 public:
  World(uint64_t seed, Options options) : options_(options), dice_(seed) {
    tenant_.name = "t";
    tenant_.rate_per_s = options.rate;
    tenant_.burst = options.burst;
    tenant_.version = 1;
    for (size_t i = 0; i < options.cores; ++i)
      cores_.push_back({std::make_unique<QuotaAllocator>(0, true), 0, true, CoreName(i), {}});
    for (size_t i = 0; i < options.gateways; ++i) StartGateway(i);
    gateway_cut_.assign(options.gateways, std::vector<bool>(options.cores, false));
  }

  // Until then, a step each 10 ms; what is broken first, or nothing.
  std::string Run(double until) {
    while (now_ < until) {
      now_ += 0.005;
      Deliver();
      if (options_.faults && Chance() < 0.01) Trouble();
      for (size_t g = 0; g < gateways_.size(); ++g) {
        Gateway& gateway = gateways_[g];
        if (!gateway.admission) continue;
        gateway.admission->SetAllocatorCount(InTouch(g).size());
        gateway.admission->OnTime(now_);
        if (std::fmod(now_, 0.25) < 0.005) ReportAll(g);
        std::poisson_distribution<int> arrivals(0.62 * options_.rate * options_.overload * gateway.weight *
                                                0.005);
        for (int n = arrivals(dice_); n > 0; --n) {
          ++asked;
          rate_limit::AdmissionDecision verdict = gateway.admission->OnRequest(now_, tenant_);
          if (verdict.pending) gateway.pending.push_back(now_);
          if (verdict.admitted) Admitted(&gateway);
        }
        while (!gateway.pending.empty() && gateway.pending.front() < now_ - rate_limit::kTokenTimeout) {
          gateway.admission->CancelPending("t");
          gateway.pending.pop_front();
        }
        if (gateway.admission->needs_tokens()) Draw(g);
      }
      while (!sent_.empty() && sent_.front() < now_ - 5) sent_.pop_front();
      double most = (options_.rate * 5 + options_.burst) * 1.1 + 20;
      if (static_cast<double>(sent_.size()) > most) {
        return "at " + std::to_string(now_) + " " + std::to_string(sent_.size()) + " in a window, " +
               std::to_string(most) + " allowed";
      }
    }
    return {};
  }

  void CutGateway(size_t g, bool cut) { gateway_cut_[g].assign(options_.cores, cut); }
  void KillCore(size_t c) {
    cores_[c].lender.reset();
    ++cores_[c].life;
  }
  void StartCore(size_t c) {
    cores_[c].lender = std::make_unique<QuotaAllocator>(now_, options_.lent_twice);
    std::vector<std::string> holders;
    if (options_.records_expire) {
      ReadRecords(c);
    } else if (!options_.forgets_holders) {
      for (size_t g = 0; g < gateways_.size(); ++g) holders.push_back(Name(g));
      cores_[c].lender->OnLeaseHolders(holders);
    }
    cores_[c].up = true;
  }
  // Another core, at another address, allocates in its place from now on. REQUIRES: it was killed a takeover
  // delay ago.
  void ReplaceCore(size_t c) {
    cores_[c].lender = std::make_unique<QuotaAllocator>(now_, false);
    cores_[c].lender->OnLeaseHolders({});
    if (!options_.forgets_retaining)
      cores_[c].lender->OnPredecessor(now_ + rate_limit::kRetentionTerm - rate_limit::kLeaseTerm);
    cores_[c].name += "+";
    cores_[c].reported_at.clear();
    ++cores_[c].life;
  }
  double now() const { return now_; }
  void KillGateway(size_t g) {
    gateways_[g].pending.clear();
    gateways_[g].admission.reset();
    ++gateways_[g].boot;
  }
  void StartGateway(size_t g) {
    if (gateways_.size() <= g) gateways_.resize(g + 1);
    Gateway& gateway = gateways_[g];
    gateway.admission = std::make_unique<Admission>(rate_limit::AdmissionOptions{0.1, 20, 5, 30});
    gateway.admission->SetGatewayCount(options_.gateways);
    if (gateway.weight == 0) gateway.weight = 1.0 / static_cast<double>(options_.gateways);
  }
  void Weigh(std::vector<double> weights) {
    for (size_t g = 0; g < weights.size(); ++g) gateways_[g].weight = weights[g];
  }
  size_t asked = 0, admitted = 0;
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(dice_); }
  size_t Pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(dice_); }

 private:
  struct Core {
    std::unique_ptr<QuotaAllocator> lender;
    uint64_t life = 0;
    bool up = true;
    std::string name;
    std::map<size_t, double> reported_at;  // by gateway
  };
  struct Gateway {
    std::unique_ptr<Admission> admission;
    uint64_t boot = 1, draws = 0;
    double weight = 0;
    std::deque<double> pending;
  };
  struct Message {
    double at;
    size_t gateway, core;
    uint64_t boot, life;
    std::optional<messages::UsageReport> report;
    std::optional<messages::QuotaGrants> loans;
    bool operator<(const Message& other) const { return at > other.at; }
  };
  void Admitted(Gateway* gateway) {
    ++admitted;
    gateway->admission->OnServed();
    sent_.push_back(now_);
  }
  static std::string Name(size_t g) { return "g" + std::to_string(g); }
  static std::string CoreName(size_t c) { return "c" + std::to_string(c); }
  // What QuotaLeases has on the majority's disks.
  void ReadRecords(size_t c) {
    std::vector<std::string> holders, retaining;
    for (const auto& [g, at] : cores_[c].reported_at) {
      double silence = now_ - at;
      if (silence <= rate_limit::kLeaseTerm + 1) {
        holders.push_back(Name(g));
      } else if (silence <= rate_limit::kRetentionTerm + 1 && !options_.forgets_retaining) {
        retaining.push_back(Name(g));
      }
    }
    cores_[c].lender->OnLeaseHolders(holders, retaining);
  }
  bool Joined(size_t g, size_t c) const {
    return cores_[c].lender && gateways_[g].admission && !gateway_cut_[g][c];
  }
  void Report(size_t g, size_t c, size_t allocators, bool all, bool draw) {
    messages::UsageReport report =
        gateways_[g].admission->BuildReport(now_, cores_[c].name, allocators, all, draw);
    if (all || !report.tenants.empty())
      Send({now_ + 0.001 + 0.002 * Chance(), g, c, gateways_[g].boot, cores_[c].life, report, {}});
  }
  std::vector<size_t> InTouch(size_t g) const {
    std::vector<size_t> out;
    for (size_t c = 0; c < cores_.size(); ++c) {
      if (Joined(g, c)) out.push_back(c);
    }
    return out;
  }
  void ReportAll(size_t g) {
    auto cores = InTouch(g);
    size_t from = gateways_[g].draws++;
    for (size_t i = 0; i < cores.size(); ++i)
      Report(g, cores[i], cores.size(), true, i == from % cores.size());
  }
  void Draw(size_t g) {
    auto cores = InTouch(g);
    if (!cores.empty()) Report(g, cores[gateways_[g].draws++ % cores.size()], cores.size(), false, true);
  }
  void Send(Message message) { messages_.push(std::move(message)); }
  void Deliver() {
    while (!messages_.empty() && messages_.top().at <= now_) {
      Message m = messages_.top();
      messages_.pop();
      if (!Joined(m.gateway, m.core) || gateways_[m.gateway].boot != m.boot || cores_[m.core].life != m.life)
        continue;
      if (m.report) {
        cores_[m.core].reported_at[m.gateway] = now_;
        messages::QuotaGrants loans =
            cores_[m.core].lender->OnReport(now_, Name(m.gateway), m.boot, *m.report, options_.cores);
        Send({now_ + 0.001 + 0.002 * Chance(), m.gateway, m.core, m.boot, m.life, {}, loans});
      } else {
        Gateway& gateway = gateways_[m.gateway];
        gateway.admission->OnGrants(now_, cores_[m.core].name, *m.loans);
        for (size_t n = gateway.pending.size(); n > 0; --n) {
          double since = gateway.pending.front();
          gateway.pending.pop_front();
          rate_limit::AdmissionDecision verdict = gateway.admission->RetryPending(now_, "t");
          if (verdict.pending) gateway.pending.push_back(since);
          if (verdict.admitted) Admitted(&gateway);
        }
        if (gateway.admission->needs_tokens()) Draw(m.gateway);
      }
    }
  }
  void Trouble() {
    double what = Chance();
    size_t g = Pick(gateways_.size()), c = Pick(cores_.size());
    if (what < 0.25) {
      CutGateway(g, Chance() < 0.6);
    } else if (what < 0.35) {
      gateway_cut_[g][c] = !gateway_cut_[g][c];
    } else if (what < 0.5) {
      if (gateways_[g].admission) {
        KillGateway(g);
      } else {
        StartGateway(g);
      }
    } else if (what < 0.6) {
      if (cores_[c].lender) {
        KillCore(c);
      } else {
        StartCore(c);
      }
    } else if (what < 0.65) {
      options_.overload = Chance() < 0.5 ? 8 : 1;
    }
  }

  Options options_;
  std::mt19937_64 dice_;
  config_model::Tenant tenant_;
  std::vector<Core> cores_;
  std::vector<Gateway> gateways_;
  std::vector<std::vector<bool>> gateway_cut_;
  std::priority_queue<Message> messages_;
  std::deque<double> sent_;
  double now_ = 0;
};

void Fine(const std::string& broken) {
  if (!broken.empty()) FAIL(broken.c_str());
}

// Counts the requests that come from here on.
class AdmittedShare {
 public:
  explicit AdmittedShare(const World& world)
      : world_(world), asked_before_(world.asked), admitted_before_(world.admitted) {}
  double Get() const {
    return static_cast<double>(world_.admitted - admitted_before_) /
           static_cast<double>(world_.asked - asked_before_);
  }

 private:
  const World& world_;
  const size_t asked_before_, admitted_before_;
};

}  // namespace

double ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

// Processor time of one core for a report of 60 tenants beside so many gateways, in s: the least of some
// rounds.
double CostOfAReport(size_t gateways) {
  QuotaAllocator core(0, true);
  messages::UsageReport report;
  for (int tenant = 0; tenant < 60; ++tenant) {
    messages::TenantUsage usage;
    usage.tenant = "tenant" + std::to_string(tenant);
    usage.rate = usage.burst = 30;
    usage.version = 1;
    usage.wanted_share = 0.002f;
    report.tenants.push_back(usage);
  }
  double least = 1;
  for (int round = 1; round <= 6; ++round) {
    double begun = ProcessorTime();
    for (size_t gateway = 0; gateway < gateways; ++gateway)
      core.OnReport(round * 0.25, "gateway" + std::to_string(gateway), gateway + 1, report, 3);
    least = std::min(least, (ProcessorTime() - begun) / static_cast<double>(gateways));
  }
  return least;
}

TEST_GROUP(Limits){};

// Guards against: cores that are busy with the reports of hundreds of gateways lose contact with each other,
// and everything is refused, changes come late and heartbeats fail.
TEST(Limits, AReportCostsNoMoreBesideTenTimesAsManyGateways) {
  double few = CostOfAReport(30);
  CHECK_TRUE(CostOfAReport(300) < 3 * few);
}

// Guards against: a sum of leases that is kept, and lacks what was granted since it was worked out in full.
TEST(Limits, GrantsOfOneMomentFitBesideEachOther) {
  QuotaAllocator core(0, true);
  messages::UsageReport report;
  report.tenants.emplace_back();
  report.tenants.back().rate = report.tenants.back().burst = 30;
  report.tenants.back().wanted_share = 0.02f;
  double granted = 0;
  for (int gateway = 1; gateway <= 300; ++gateway) {
    uint64_t incarnation = static_cast<uint64_t>(gateway);
    std::string name = "gateway" + std::to_string(gateway);
    granted += core.OnReport(1 + gateway * 1e-5, name, incarnation, report, 3).grants.front().share;
  }
  if (granted > rate_limit::kLeasedRateShare / 3 + 1e-6) FAIL("more is granted than can be leased");
  CHECK_TRUE(granted > 0.9 * rate_limit::kLeasedRateShare / 3);
}

TEST(Limits, HoldOverAllGatewaysWhateverIsCutKilledOrStartedAnew) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Options options;
    options.faults = true;
    options.overload = seed % 2 ? 8 : 1;
    options.rate = options.burst = seed % 3 == 0 ? 8 : seed % 3 == 1 ? 40 : 120;
    World world(seed, options);
    std::string broken = world.Run(40);
    if (!broken.empty()) FAIL(("seed " + std::to_string(seed) + " " + broken).c_str());
  }
}

TEST(Limits, AShareThatIsLentTwiceIsFound) {
  bool found = false;
  for (uint64_t seed = 1; seed <= 20 && !found; ++seed) {
    Options options;
    options.overload = 8;
    options.rate = options.burst = 120;
    options.lent_twice = true;  // a core that starts anew lends as if nothing were out
    World world(seed, options);
    Fine(world.Run(8));
    for (size_t g = 0; g < 5; ++g) world.CutGateway(g, true);
    for (size_t c = 0; c < 3; ++c) world.KillCore(c), world.StartCore(c);
    found = !world.Run(16).empty();
  }
  CHECK(found);
}

TEST(Limits, ACoreThatStartsAnewLendsOnWhatIsShownAndNothingElse) {
  Options options;
  options.overload = 8;
  options.rate = options.burst = 120;
  World world(3, options);
  Fine(world.Run(8));
  for (size_t g = 0; g < 5; ++g) world.CutGateway(g, true);
  for (size_t c = 0; c < 3; ++c) world.KillCore(c), world.StartCore(c);
  Fine(world.Run(30));
}

TEST(Limits, ATenantWithinItsLimitIsHardlyRefused) {
  for (double rate : {8.0, 40.0, 120.0}) {
    Options options;
    options.rate = options.burst = rate;
    World world(7, options);
    Fine(world.Run(40));
    // Some 2 in 100 for small tenants, whose requests come one by one at eleven gateways.
    double most = rate < 10 ? 0.05 : 0.015;
    CHECK(static_cast<double>(world.admitted) >= (1 - most) * static_cast<double>(world.asked));
  }
}

TEST(Limits, ManyGatewaysBeforeFewRequestsOfATenant) {
  Options options;
  options.gateways = 85;
  options.cores = 4;
  options.rate = options.burst = 20;
  World world(5, options);
  Fine(world.Run(40));
  CHECK(static_cast<double>(world.admitted) >= 0.95 * static_cast<double>(world.asked));
}

TEST(Limits, UnevenShareOfClientsIsFollowed) {
  Options options;
  World world(9, options);
  world.Weigh({0.5, 0.3, 0.1, 0.05, 0.05, 0, 0, 0, 0, 0, 0});
  Fine(world.Run(30));
  CHECK(world.admitted >= 0.98 * static_cast<double>(world.asked));
}

TEST(Limits, AGatewayThatIsCutOffGoesOnWithWhatItWasLent) {
  Options options;
  World world(11, options);
  Fine(world.Run(10));
  AdmittedShare share(world);
  for (size_t g = 0; g < 3; ++g) world.CutGateway(g, true);
  Fine(world.Run(20));
  CHECK(share.Get() >= 0.93);
}

TEST(Limits, AllCoresGoneForTwoSecondsRefusesFew) {
  Options options;
  World world(13, options);
  Fine(world.Run(10));
  AdmittedShare share(world);
  for (size_t c = 0; c < 3; ++c) world.KillCore(c);
  Fine(world.Run(12));
  for (size_t c = 0; c < 3; ++c) world.StartCore(c);
  Fine(world.Run(16));
  CHECK(share.Get() >= 0.9);
}

// The core has no majority for longer than a lease term: gateways go on with what they retain, and the way
// back passes no limit.
TEST(Limits, AllCoresGoneForThirtySecondsRefuseAFifthAtMost) {
  Options options;
  World world(13, options);
  Fine(world.Run(10));
  AdmittedShare without_cores(world);
  for (size_t c = 0; c < 3; ++c) world.KillCore(c);
  Fine(world.Run(40));
  CHECK(without_cores.Get() >= 0.8);
  for (size_t c = 0; c < 3; ++c) world.StartCore(c);
  Fine(world.Run(42));
  AdmittedShare after(world);
  Fine(world.Run(60));
  CHECK(after.Get() >= 0.98);
}

TEST(Limits, NothingIsRetainedAfterItsTerm) {
  Options options;
  World world(17, options);
  Fine(world.Run(10));
  for (size_t c = 0; c < 3; ++c) world.KillCore(c);
  Fine(world.Run(10 + rate_limit::kRetentionTerm + 3));
  AdmittedShare share(world);
  Fine(world.Run(world.now() + 10));
  CHECK(share.Get() <= 0.05);
}

namespace {

// Some gateways are cut off with what they were granted. While they retain it, cores start anew or are
// replaced, and the others ask for all that they can get.
std::string PlayRetention(uint64_t seed, bool forgets_retaining) {
  Options options;
  options.overload = 8;
  options.rate = options.burst = seed % 2 ? 120 : 40;
  options.records_expire = true;
  options.forgets_retaining = forgets_retaining;
  World world(seed, options);
  std::string broken = world.Run(8);
  for (size_t g = 0; g < 8; ++g) world.CutGateway(g, true);
  bool replaced = seed % 3 == 0;
  for (size_t c = 0; replaced && c < 3; ++c) world.KillCore(c);
  if (broken.empty()) broken = world.Run(8 + rate_limit::kLeaseTerm + 1.5 + 30 * world.Chance());
  for (size_t c = 0; c < 3; ++c) {
    if (replaced) {
      world.ReplaceCore(c);
    } else {
      world.KillCore(c);
      world.StartCore(c);
    }
  }
  if (broken.empty()) broken = world.Run(world.now() + 20);
  // Some come back with what they retain; the last stay away until nothing is left.
  for (size_t g = 0; g < 4; ++g) world.CutGateway(g, false);
  return broken.empty() ? world.Run(90) : broken;
}

}  // namespace

TEST(Limits, HoldWhileSilentGatewaysRetainPartsOfTheirGrants) {
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    std::string broken = PlayRetention(seed, false);
    if (!broken.empty()) FAIL(("seed " + std::to_string(seed) + " " + broken).c_str());
  }
}

TEST(Limits, ARetainedShareThatIsLentTwiceIsFound) {
  for (uint64_t first : {1, 3}) {  // cores that start anew, cores that are replaced
    bool found = false;
    for (uint64_t seed = first; seed <= first + 18 && !found; seed += 6)
      found = !PlayRetention(seed, true).empty();
    CHECK(found);
  }
}

TEST(Limits, NoLimitAdmitsAll) {
  Admission admission({0.1, 20, 5, 30});
  config_model::Tenant tenant;
  tenant.name = "free";
  for (int i = 0; i < 1000; ++i) CHECK(admission.OnRequest(1.0, tenant).admitted);
}

TEST(Limits, ARefusalTellsWhenToComeBack) {
  Admission admission({0.1, 20, 5, 30});
  admission.SetGatewayCount(11);
  config_model::Tenant tenant;
  tenant.name = "t";
  tenant.rate_per_s = 10;
  tenant.burst = 10;
  CHECK(admission.OnRequest(1.0, tenant).admitted);
  rate_limit::AdmissionDecision verdict = admission.OnRequest(1.0, tenant);
  CHECK(!verdict.admitted);
  CHECK(verdict.retry_after_s > 0 && verdict.retry_after_s <= 1);
  CHECK(admission.needs_tokens());
}

TEST(Limits, TheCounterCheckRefusesWhatOthersHaveSent) {
  // One gateway with plenty in its bucket; the counter tells that the others have sent a whole window's
  // worth.
  Admission admission({0.1, 20, 5, 30});
  config_model::Tenant tenant;
  tenant.name = "t";
  tenant.rate_per_s = 10;
  tenant.burst = 10;
  admission.OnRequest(1.0, tenant);
  uint64_t total = 0;
  auto word = [&](double now, uint64_t others) {
    messages::UsageReport report = admission.BuildReport(now, "c", 1, true, true);
    messages::QuotaGrants loans;
    loans.number = report.number;
    total = others;
    loans.grants.push_back({"t", 0.6f, 50, total});
    admission.OnGrants(now + 0.01, "c", loans);
  };
  word(1.0, 0);
  word(1.1, 5);
  CHECK(admission.OnRequest(1.2, tenant).admitted);
  word(1.2, 200);
  CHECK(!admission.OnRequest(1.3, tenant).admitted);
  CHECK(admission.counters().rejected_by_counter > 0);
}
