// Share leases of one gateway for many customers: sized by observed demand, bounded in number, and released
// when unused.
#include "parts/share_lease_manager.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

#include "shared/memory_store.h"

namespace ivygw::parts {
namespace {

// Gateways with one manager each, around an engine that replies at once.
class SimulatedManagers {
 public:
  explicit SimulatedManagers(int n, size_t max_customers = 256) {
    for (int g = 0; g < n; ++g) {
      ShareLeaseManagerOptions options;
      options.boot_id = "b" + std::to_string(g);
      options.max_customers = max_customers;
      shared::Batch membership;
      membership.changes.push_back(shared::Put("place/" + options.boot_id, "here"));
      auto put = store_.Take(shared::Commit(membership), now);
      EXPECT_TRUE(put.done());
      shared::Condition condition{"place/" + options.boot_id, put.revision};
      managers_.push_back(
          std::make_unique<ShareLeaseManager>(options, [condition](double) { return condition; }));
      shares_.emplace_back();
    }
  }
  void Request(int g, uint64_t customer, double units) {
    ShareLeaseManager::OutgoingCalls pending;
    managers_[static_cast<size_t>(g)]->OnRequest(now, customer, units, kCeiling, &pending);
    Run(g, pending);
  }
  void Advance(double seconds) {
    for (double end = now + seconds; now < end;) {
      now += 0.1;
      for (int g = 0; g < static_cast<int>(managers_.size()); ++g) {
        ShareLeaseManager::OutgoingCalls pending;
        managers_[static_cast<size_t>(g)]->OnTimer(now, &pending);
        Run(g, pending);
      }
    }
  }
  void ReleaseAll(int g) {
    ShareLeaseManager::OutgoingCalls pending;
    managers_[static_cast<size_t>(g)]->ReleaseAll(now, &pending);
    Run(g, pending);
  }
  double Share(int g, uint64_t customer) { return shares_[static_cast<size_t>(g)][customer]; }
  ShareLeaseManager& manager(int g) { return *managers_[static_cast<size_t>(g)]; }
  double now = 100;
  int calls = 0;
  static constexpr CeilingParams kCeiling{20, 40, 1, 2, false, 0};

 private:
  void Run(int g, ShareLeaseManager::OutgoingCalls pending) {
    while (true) {
      for (const ShareLeaseManager::ShareUpdate& update : manager(g).TakeUpdates(now)) {
        EXPECT_TRUE(update.share <= 0 || update.valid_until > now);
        shares_[static_cast<size_t>(g)][update.customer] = update.share;
      }
      if (pending.empty()) return;
      ShareLeaseManager::OutgoingCalls next;
      for (ShareLeaseManager::OutgoingCall& call : pending) {
        ++calls;
        manager(g).OnReply(now, call.customer, call.id, store_.Take(call.call, now), &next);
      }
      pending = std::move(next);
    }
  }
  shared::MemoryStore store_{"g"};
  std::vector<std::unique_ptr<ShareLeaseManager>> managers_;
  std::vector<std::map<uint64_t, double>> shares_;
};

TEST(ShareLeaseManager, AreIndependentPerCustomer) {
  SimulatedManagers managers(2);
  for (int i = 0; i < 200; ++i) {
    managers.Request(0, 1, 2);
    managers.Request(1, 1, 2);
    managers.Request(0, 2, 2);
    managers.Advance(0.1);
  }
  EXPECT_NEAR(managers.Share(0, 1), 0.5, 0.06);
  EXPECT_NEAR(managers.Share(1, 1), 0.5, 0.06);
  EXPECT_GT(managers.Share(0, 2), 0.9) << "no other gateway asks for it";
  EXPECT_EQ(managers.manager(0).stats().held, 2u);
}

TEST(ShareLeaseManager, FollowObservedDemand) {
  SimulatedManagers managers(2);
  for (int i = 0; i < 450; ++i) {
    managers.Request(0, 1, i < 150 ? 3 : 0.2);  // 30, then 2 units/s of a ceiling of 20
    managers.Request(1, 1, i < 150 ? 0.2 : 3);
    managers.Advance(0.1);
    if (i == 149) {
      EXPECT_GT(managers.Share(0, 1), 0.75);
    }
  }
  EXPECT_GT(managers.Share(1, 1), 0.75);
  EXPECT_GE(managers.Share(0, 1), 0.05) << "one largest request still fits";
}

TEST(ShareLeaseManager, EndWithTheDemandAndAreDropped) {
  SimulatedManagers managers(1);
  for (int i = 0; i < 30; ++i) managers.Request(0, 1, 2), managers.Advance(0.1);
  EXPECT_GT(managers.Share(0, 1), 0.9);
  managers.Advance(30);
  EXPECT_EQ(managers.Share(0, 1), 0);
  EXPECT_EQ(managers.manager(0).stats().customers, 0u);
  int before = managers.calls;
  managers.Advance(30);
  EXPECT_EQ(managers.calls, before) << "no engine calls for a dropped customer";
}

TEST(ShareLeaseManager, AreBoundedInNumber) {
  SimulatedManagers managers(1, 10);
  for (uint64_t customer = 1; customer <= 30; ++customer) managers.Request(0, customer, 2);
  EXPECT_EQ(managers.manager(0).stats().customers, 10u);
  EXPECT_EQ(managers.manager(0).stats().rejected, 20u);
}

TEST(ShareLeaseManager, ReleasedSharesAreReusedAtOnce) {
  SimulatedManagers managers(2);
  for (int i = 0; i < 100; ++i) managers.Request(0, 1, 2), managers.Request(1, 1, 2), managers.Advance(0.1);
  managers.ReleaseAll(0);
  EXPECT_EQ(managers.Share(0, 1), 0);
  managers.Request(0, 1, 2);
  managers.Request(0, 2, 2);
  EXPECT_EQ(managers.Share(0, 1), 0) << "released for good";
  EXPECT_EQ(managers.Share(0, 2), 0) << "and no new lease is requested";
  for (int i = 0; i < 20; ++i) managers.Request(1, 1, 2), managers.Advance(0.1);
  EXPECT_GT(managers.Share(1, 1), 0.9);
}

}  // namespace
}  // namespace ivygw::parts
