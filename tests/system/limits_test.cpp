// Rate limits over many gateways: QuotaAllocator and Admission objects connected by a simulated network.
// Whichever links are cut and processes are killed or restarted, the requests that all gateways together
// admit stay within the allowed number in every window.
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

#include <CppUTest/TestHarness.h>  // last, because it redefines operator new

using namespace ivygw;
using rate_limit::Admission;
using rate_limit::QuotaAllocator;

namespace {

struct Options {
  size_t gateways = 11, cores = 3;
  double rate = 60, burst = 60, overload = 1;
  bool faults = false, forgets_grants = false;
  bool forgets_holders = false;
  // Durable records of silent holders change from "holder" to "retaining" after a lease term and expire with
  // the retention; otherwise every gateway counts as a holder permanently.
  bool records_expire = false;
  bool forgets_retaining = false;
};

class Simulation {
 public:
  Simulation(uint64_t seed, Options options) : options_(options), random_(seed) {
    tenant_.name = "t";
    tenant_.rate_per_s = options.rate;
    tenant_.burst = options.burst;
    tenant_.version = 1;
    for (size_t i = 0; i < options.cores; ++i)
      cores_.push_back({std::make_unique<QuotaAllocator>(0, true), 0, true, CoreName(i), {}});
    for (size_t i = 0; i < options.gateways; ++i) StartGateway(i);
    gateway_cut_.assign(options.gateways, std::vector<bool>(options.cores, false));
  }

  // Runs until that time in steps of 5 ms. Returns the first violation, or an empty text.
  std::string Run(double until) {
    while (now_ < until) {
      now_ += 0.005;
      Deliver();
      if (options_.faults && Chance() < 0.01) InjectFault();
      for (size_t g = 0; g < gateways_.size(); ++g) {
        Gateway& gateway = gateways_[g];
        if (!gateway.admission) continue;
        gateway.admission->SetAllocatorCount(ConnectedCores(g).size());
        gateway.admission->OnTime(now_);
        if (std::fmod(now_, 0.25) < 0.005) ReportAll(g);
        std::poisson_distribution<int> arrivals(0.62 * options_.rate * options_.overload * gateway.weight *
                                                0.005);
        for (int n = arrivals(random_); n > 0; --n) {
          ++requested;
          rate_limit::AdmissionDecision decision = gateway.admission->OnRequest(now_, tenant_);
          if (decision.pending) gateway.pending.push_back(now_);
          if (decision.admitted) Admitted(&gateway);
        }
        while (!gateway.pending.empty() && gateway.pending.front() < now_ - rate_limit::kTokenTimeout) {
          gateway.admission->CancelPending("t");
          gateway.pending.pop_front();
        }
        if (gateway.admission->needs_tokens()) RequestBatch(g);
      }
      while (!admitted_at_.empty() && admitted_at_.front() < now_ - 5) admitted_at_.pop_front();
      double allowed = (options_.rate * 5 + options_.burst) * 1.1 + 20;
      if (static_cast<double>(admitted_at_.size()) > allowed) {
        return "at " + std::to_string(now_) + " " + std::to_string(admitted_at_.size()) + " in a window, " +
               std::to_string(allowed) + " allowed";
      }
    }
    return {};
  }

  void CutGateway(size_t g, bool cut) { gateway_cut_[g].assign(options_.cores, cut); }
  void KillCore(size_t c) {
    cores_[c].allocator.reset();
    ++cores_[c].incarnation;
  }
  void StartCore(size_t c) {
    cores_[c].allocator = std::make_unique<QuotaAllocator>(now_, options_.forgets_grants);
    std::vector<std::string> holders;
    if (options_.records_expire) {
      ReadRecords(c);
    } else if (!options_.forgets_holders) {
      for (size_t g = 0; g < gateways_.size(); ++g) holders.push_back(Name(g));
      cores_[c].allocator->OnLeaseHolders(holders);
    }
    cores_[c].up = true;
  }
  // A core at another address replaces this one as an allocator from now on. REQUIRES: this one was killed a
  // takeover delay ago.
  void ReplaceCore(size_t c) {
    cores_[c].allocator = std::make_unique<QuotaAllocator>(now_, false);
    cores_[c].allocator->OnLeaseHolders({});
    if (!options_.forgets_retaining)
      cores_[c].allocator->OnPredecessor(now_ + rate_limit::kRetentionTerm - rate_limit::kLeaseTerm);
    cores_[c].name += "+";
    cores_[c].reported_at.clear();
    ++cores_[c].incarnation;
  }
  double now() const { return now_; }
  void KillGateway(size_t g) {
    gateways_[g].pending.clear();
    gateways_[g].admission.reset();
    ++gateways_[g].incarnation;
  }
  void StartGateway(size_t g) {
    if (gateways_.size() <= g) gateways_.resize(g + 1);
    Gateway& gateway = gateways_[g];
    gateway.admission = std::make_unique<Admission>(rate_limit::AdmissionOptions{0.1, 20, 5, 30});
    gateway.admission->SetGatewayCount(options_.gateways);
    if (gateway.weight == 0) gateway.weight = 1.0 / static_cast<double>(options_.gateways);
  }
  void SetWeights(std::vector<double> weights) {
    for (size_t g = 0; g < weights.size(); ++g) gateways_[g].weight = weights[g];
  }
  size_t requested = 0, admitted = 0;
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  size_t Pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random_); }

 private:
  struct Core {
    std::unique_ptr<QuotaAllocator> allocator;
    uint64_t incarnation = 0;
    bool up = true;
    std::string name;
    std::map<size_t, double> reported_at;  // by gateway
  };
  struct Gateway {
    std::unique_ptr<Admission> admission;
    uint64_t incarnation = 1, draws = 0;
    double weight = 0;
    std::deque<double> pending;
  };
  struct Message {
    double at;
    size_t gateway, core;
    uint64_t gateway_incarnation, core_incarnation;
    std::optional<messages::UsageReport> report;
    std::optional<messages::QuotaGrants> grants;
    bool operator<(const Message& other) const { return at > other.at; }
  };
  void Admitted(Gateway* gateway) {
    ++admitted;
    gateway->admission->OnServed();
    admitted_at_.push_back(now_);
  }
  static std::string Name(size_t g) { return "g" + std::to_string(g); }
  static std::string CoreName(size_t c) { return "c" + std::to_string(c); }
  // Passes on the holders that QuotaLeases would have recorded durably.
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
    cores_[c].allocator->OnLeaseHolders(holders, retaining);
  }
  bool Connected(size_t g, size_t c) const {
    return cores_[c].allocator && gateways_[g].admission && !gateway_cut_[g][c];
  }
  void Report(size_t g, size_t c, size_t allocators, bool all, bool draw) {
    messages::UsageReport report =
        gateways_[g].admission->BuildReport(now_, cores_[c].name, allocators, all, draw);
    if (all || !report.tenants.empty())
      Send({now_ + 0.001 + 0.002 * Chance(),
            g,
            c,
            gateways_[g].incarnation,
            cores_[c].incarnation,
            report,
            {}});
  }
  std::vector<size_t> ConnectedCores(size_t g) const {
    std::vector<size_t> out;
    for (size_t c = 0; c < cores_.size(); ++c) {
      if (Connected(g, c)) out.push_back(c);
    }
    return out;
  }
  void ReportAll(size_t g) {
    auto cores = ConnectedCores(g);
    size_t from = gateways_[g].draws++;
    for (size_t i = 0; i < cores.size(); ++i)
      Report(g, cores[i], cores.size(), true, i == from % cores.size());
  }
  void RequestBatch(size_t g) {
    auto cores = ConnectedCores(g);
    if (!cores.empty()) Report(g, cores[gateways_[g].draws++ % cores.size()], cores.size(), false, true);
  }
  void Send(Message message) { messages_.push(std::move(message)); }
  void Deliver() {
    while (!messages_.empty() && messages_.top().at <= now_) {
      Message m = messages_.top();
      messages_.pop();
      if (!Connected(m.gateway, m.core) || gateways_[m.gateway].incarnation != m.gateway_incarnation ||
          cores_[m.core].incarnation != m.core_incarnation)
        continue;
      if (m.report) {
        cores_[m.core].reported_at[m.gateway] = now_;
        messages::QuotaGrants grants = cores_[m.core].allocator->OnReport(
            now_, Name(m.gateway), m.gateway_incarnation, *m.report, options_.cores);
        Send({now_ + 0.001 + 0.002 * Chance(),
              m.gateway,
              m.core,
              m.gateway_incarnation,
              m.core_incarnation,
              {},
              grants});
      } else {
        Gateway& gateway = gateways_[m.gateway];
        gateway.admission->OnGrants(now_, cores_[m.core].name, *m.grants);
        for (size_t n = gateway.pending.size(); n > 0; --n) {
          double since = gateway.pending.front();
          gateway.pending.pop_front();
          rate_limit::AdmissionDecision decision = gateway.admission->RetryPending(now_, "t");
          if (decision.pending) gateway.pending.push_back(since);
          if (decision.admitted) Admitted(&gateway);
        }
        if (gateway.admission->needs_tokens()) RequestBatch(m.gateway);
      }
    }
  }
  void InjectFault() {
    double fault = Chance();
    size_t g = Pick(gateways_.size()), c = Pick(cores_.size());
    if (fault < 0.25) {
      CutGateway(g, Chance() < 0.6);
    } else if (fault < 0.35) {
      gateway_cut_[g][c] = !gateway_cut_[g][c];
    } else if (fault < 0.5) {
      if (gateways_[g].admission) {
        KillGateway(g);
      } else {
        StartGateway(g);
      }
    } else if (fault < 0.6) {
      if (cores_[c].allocator) {
        KillCore(c);
      } else {
        StartCore(c);
      }
    } else if (fault < 0.65) {
      options_.overload = Chance() < 0.5 ? 8 : 1;
    }
  }

  Options options_;
  std::mt19937_64 random_;
  config_model::Tenant tenant_;
  std::vector<Core> cores_;
  std::vector<Gateway> gateways_;
  std::vector<std::vector<bool>> gateway_cut_;
  std::priority_queue<Message> messages_;
  std::deque<double> admitted_at_;
  double now_ = 0;
};

void CheckNotBroken(const std::string& broken) {
  if (!broken.empty()) FAIL(broken.c_str());
}

// Measures the admitted fraction of the requests from its construction on.
class AdmittedShare {
 public:
  explicit AdmittedShare(const Simulation& simulation)
      : simulation_(simulation),
        requested_before_(simulation.requested),
        admitted_before_(simulation.admitted) {}
  double Get() const {
    return static_cast<double>(simulation_.admitted - admitted_before_) /
           static_cast<double>(simulation_.requested - requested_before_);
  }

 private:
  const Simulation& simulation_;
  const size_t requested_before_, admitted_before_;
};

}  // namespace

double ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

// Processor time in seconds that a core takes for a report of 60 tenants among this many gateways: the
// minimum of several rounds.
double ProcessorTimePerReport(size_t gateways) {
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
    double start = ProcessorTime();
    for (size_t gateway = 0; gateway < gateways; ++gateway)
      core.OnReport(round * 0.25, "gateway" + std::to_string(gateway), gateway + 1, report, 3);
    least = std::min(least, (ProcessorTime() - start) / static_cast<double>(gateways));
  }
  return least;
}

TEST_GROUP(Limits){};

// Cores that are overloaded by the reports of hundreds of gateways lose contact with each other; then all
// requests are rejected, changes are delayed and heartbeats fail.
TEST(Limits, AReportCostsNoMoreBesideTenTimesAsManyGateways) {
  double few = ProcessorTimePerReport(30);
  CHECK_TRUE(ProcessorTimePerReport(300) < 3 * few);
}

// Guards against a cached sum of leases that omits the grants made since it was last recomputed.
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

TEST(Limits, HoldOverAllGatewaysUnderPartitionsAndRestarts) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Options options;
    options.faults = true;
    options.overload = seed % 2 ? 8 : 1;
    options.rate = options.burst = seed % 3 == 0 ? 8 : seed % 3 == 1 ? 40 : 120;
    Simulation simulation(seed, options);
    std::string broken = simulation.Run(40);
    if (!broken.empty()) FAIL(("seed " + std::to_string(seed) + " " + broken).c_str());
  }
}

TEST(Limits, AShareThatIsGrantedTwiceIsDetected) {
  bool found = false;
  for (uint64_t seed = 1; seed <= 20 && !found; ++seed) {
    Options options;
    options.overload = 8;
    options.rate = options.burst = 120;
    options.forgets_grants = true;  // a restarted core allocates as if it had granted nothing
    Simulation simulation(seed, options);
    CheckNotBroken(simulation.Run(8));
    for (size_t g = 0; g < 5; ++g) simulation.CutGateway(g, true);
    for (size_t c = 0; c < 3; ++c) simulation.KillCore(c), simulation.StartCore(c);
    found = !simulation.Run(16).empty();
  }
  CHECK(found);
}

TEST(Limits, ARestartedCoreRenewsOnlyReportedShares) {
  Options options;
  options.overload = 8;
  options.rate = options.burst = 120;
  Simulation simulation(3, options);
  CheckNotBroken(simulation.Run(8));
  for (size_t g = 0; g < 5; ++g) simulation.CutGateway(g, true);
  for (size_t c = 0; c < 3; ++c) simulation.KillCore(c), simulation.StartCore(c);
  CheckNotBroken(simulation.Run(30));
}

TEST(Limits, ATenantWithinItsLimitIsRarelyRejected) {
  for (double rate : {8.0, 40.0, 120.0}) {
    Options options;
    options.rate = options.burst = rate;
    Simulation simulation(7, options);
    CheckNotBroken(simulation.Run(40));
    // About 2 % for small tenants, whose requests arrive one at a time at eleven gateways.
    double max_rejected = rate < 10 ? 0.05 : 0.015;
    CHECK(static_cast<double>(simulation.admitted) >=
          (1 - max_rejected) * static_cast<double>(simulation.requested));
  }
}

TEST(Limits, ManyGatewaysBeforeFewRequestsOfATenant) {
  Options options;
  options.gateways = 85;
  options.cores = 4;
  options.rate = options.burst = 20;
  Simulation simulation(5, options);
  CheckNotBroken(simulation.Run(40));
  CHECK(static_cast<double>(simulation.admitted) >= 0.95 * static_cast<double>(simulation.requested));
}

TEST(Limits, SharesFollowAnUnevenDistributionOfClients) {
  Options options;
  Simulation simulation(9, options);
  simulation.SetWeights({0.5, 0.3, 0.1, 0.05, 0.05, 0, 0, 0, 0, 0, 0});
  CheckNotBroken(simulation.Run(30));
  CHECK(simulation.admitted >= 0.98 * static_cast<double>(simulation.requested));
}

TEST(Limits, AnIsolatedGatewayContinuesWithItsGrants) {
  Options options;
  Simulation simulation(11, options);
  CheckNotBroken(simulation.Run(10));
  AdmittedShare share(simulation);
  for (size_t g = 0; g < 3; ++g) simulation.CutGateway(g, true);
  CheckNotBroken(simulation.Run(20));
  CHECK(share.Get() >= 0.93);
}

TEST(Limits, AllCoresGoneForTwoSecondsRefusesFew) {
  Options options;
  Simulation simulation(13, options);
  CheckNotBroken(simulation.Run(10));
  AdmittedShare share(simulation);
  for (size_t c = 0; c < 3; ++c) simulation.KillCore(c);
  CheckNotBroken(simulation.Run(12));
  for (size_t c = 0; c < 3; ++c) simulation.StartCore(c);
  CheckNotBroken(simulation.Run(16));
  CHECK(share.Get() >= 0.9);
}

// The cores have no majority for longer than a lease term: gateways continue with their retained shares, and
// recovery does not exceed the limit.
TEST(Limits, AllCoresGoneForThirtySecondsRefuseAFifthAtMost) {
  Options options;
  Simulation simulation(13, options);
  CheckNotBroken(simulation.Run(10));
  AdmittedShare without_cores(simulation);
  for (size_t c = 0; c < 3; ++c) simulation.KillCore(c);
  CheckNotBroken(simulation.Run(40));
  CHECK(without_cores.Get() >= 0.8);
  for (size_t c = 0; c < 3; ++c) simulation.StartCore(c);
  CheckNotBroken(simulation.Run(42));
  AdmittedShare after(simulation);
  CheckNotBroken(simulation.Run(60));
  CHECK(after.Get() >= 0.98);
}

TEST(Limits, NothingIsRetainedAfterItsTerm) {
  Options options;
  Simulation simulation(17, options);
  CheckNotBroken(simulation.Run(10));
  for (size_t c = 0; c < 3; ++c) simulation.KillCore(c);
  CheckNotBroken(simulation.Run(10 + rate_limit::kRetentionTerm + 3));
  AdmittedShare share(simulation);
  CheckNotBroken(simulation.Run(simulation.now() + 10));
  CHECK(share.Get() <= 0.05);
}

namespace {

// Some gateways are isolated with their grants. While they retain a part of them, cores are restarted or
// replaced, and the other gateways request as much as they can get.
std::string PlayRetention(uint64_t seed, bool forgets_retaining) {
  Options options;
  options.overload = 8;
  options.rate = options.burst = seed % 2 ? 120 : 40;
  options.records_expire = true;
  options.forgets_retaining = forgets_retaining;
  Simulation simulation(seed, options);
  std::string broken = simulation.Run(8);
  for (size_t g = 0; g < 8; ++g) simulation.CutGateway(g, true);
  bool replaced = seed % 3 == 0;
  for (size_t c = 0; replaced && c < 3; ++c) simulation.KillCore(c);
  if (broken.empty()) broken = simulation.Run(8 + rate_limit::kLeaseTerm + 1.5 + 30 * simulation.Chance());
  for (size_t c = 0; c < 3; ++c) {
    if (replaced) {
      simulation.ReplaceCore(c);
    } else {
      simulation.KillCore(c);
      simulation.StartCore(c);
    }
  }
  if (broken.empty()) broken = simulation.Run(simulation.now() + 20);
  // Some reconnect with their retained shares; the others stay isolated until these have expired.
  for (size_t g = 0; g < 4; ++g) simulation.CutGateway(g, false);
  return broken.empty() ? simulation.Run(90) : broken;
}

}  // namespace

TEST(Limits, HoldWhileSilentGatewaysRetainPartsOfTheirGrants) {
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    std::string broken = PlayRetention(seed, false);
    if (!broken.empty()) FAIL(("seed " + std::to_string(seed) + " " + broken).c_str());
  }
}

TEST(Limits, ARetainedShareThatIsGrantedTwiceIsDetected) {
  for (uint64_t first : {1, 3}) {  // restarted cores, replaced cores
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

TEST(Limits, ARejectionHasARetryDelay) {
  Admission admission({0.1, 20, 5, 30});
  admission.SetGatewayCount(11);
  config_model::Tenant tenant;
  tenant.name = "t";
  tenant.rate_per_s = 10;
  tenant.burst = 10;
  CHECK(admission.OnRequest(1.0, tenant).admitted);
  rate_limit::AdmissionDecision decision = admission.OnRequest(1.0, tenant);
  CHECK(!decision.admitted);
  CHECK(decision.retry_after_s > 0 && decision.retry_after_s <= 1);
  CHECK(admission.needs_tokens());
}

TEST(Limits, TheCounterCheckRefusesWhatOthersHaveSent) {
  // One gateway with enough tokens in its bucket; the counter shows that the others have used up the whole
  // window.
  Admission admission({0.1, 20, 5, 30});
  config_model::Tenant tenant;
  tenant.name = "t";
  tenant.rate_per_s = 10;
  tenant.burst = 10;
  admission.OnRequest(1.0, tenant);
  uint64_t total = 0;
  auto deliver_total = [&](double now, uint64_t others) {
    messages::UsageReport report = admission.BuildReport(now, "c", 1, true, true);
    messages::QuotaGrants grants;
    grants.number = report.number;
    total = others;
    grants.grants.push_back({"t", 0.6f, 50, total});
    admission.OnGrants(now + 0.01, "c", grants);
  };
  deliver_total(1.0, 0);
  deliver_total(1.1, 5);
  CHECK(admission.OnRequest(1.2, tenant).admitted);
  deliver_total(1.2, 200);
  CHECK(!admission.OnRequest(1.3, tenant).admitted);
  CHECK(admission.counters().rejected_by_counter > 0);
}
