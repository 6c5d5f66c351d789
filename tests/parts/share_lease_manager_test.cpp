// What a gateway borrows of many customers' ceilings: by the demand that it sees, within a bound, given back
// unused.
#include "parts/share_lease_manager.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

#include "shared/memory_store.h"

namespace ivygw::parts {
namespace {

// Gateways with a book each, round an engine that answers at once, or loses the answer.
class ManagersFixture {
 public:
  explicit ManagersFixture(int n, size_t max_customers = 256) {
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
  void OutgoingCall(int g, uint64_t customer, double units) {
    ShareLeaseManager::OutgoingCalls calls_to_make;
    managers_[static_cast<size_t>(g)]->OnRequest(now, customer, units, kCeiling, &calls_to_make);
    Run(g, calls_to_make);
  }
  void Advance(double seconds) {
    for (double end = now + seconds; now < end;) {
      now += 0.1;
      for (int g = 0; g < static_cast<int>(managers_.size()); ++g) {
        ShareLeaseManager::OutgoingCalls calls_to_make;
        managers_[static_cast<size_t>(g)]->OnTimer(now, &calls_to_make);
        Run(g, calls_to_make);
      }
    }
  }
  void ReleaseAll(int g) {
    ShareLeaseManager::OutgoingCalls calls_to_make;
    managers_[static_cast<size_t>(g)]->ReleaseAll(now, &calls_to_make);
    Run(g, calls_to_make);
  }
  double Share(int g, uint64_t customer) { return shares_[static_cast<size_t>(g)][customer]; }
  ShareLeaseManager& manager(int g) { return *managers_[static_cast<size_t>(g)]; }
  double now = 100;
  int calls = 0;
  static constexpr CeilingParams kCeiling{20, 40, 1, 2, false, 0};

 private:
  void Run(int g, ShareLeaseManager::OutgoingCalls calls_to_make) {
    while (true) {
      for (const ShareLeaseManager::ShareUpdate& update : manager(g).TakeUpdates(now)) {
        EXPECT_TRUE(update.share <= 0 || update.valid_until > now);
        shares_[static_cast<size_t>(g)][update.customer] = update.share;
      }
      if (calls_to_make.empty()) return;
      ShareLeaseManager::OutgoingCalls next;
      for (ShareLeaseManager::OutgoingCall& call : calls_to_make) {
        ++calls;
        manager(g).OnReply(now, call.customer, call.id, store_.Take(call.call, now), &next);
      }
      calls_to_make = std::move(next);
    }
  }
  shared::MemoryStore store_{"g"};
  std::vector<std::unique_ptr<ShareLeaseManager>> managers_;
  std::vector<std::map<uint64_t, double>> shares_;
};

TEST(Loans, AreOfEachCustomerByItself) {
  ManagersFixture b(2);
  for (int i = 0; i < 200; ++i) {
    b.OutgoingCall(0, 1, 2);
    b.OutgoingCall(1, 1, 2);
    b.OutgoingCall(0, 2, 2);
    b.Advance(0.1);
  }
  EXPECT_NEAR(b.Share(0, 1), 0.5, 0.06);
  EXPECT_NEAR(b.Share(1, 1), 0.5, 0.06);
  EXPECT_GT(b.Share(0, 2), 0.9) << "nobody else asks for it";
  EXPECT_EQ(b.manager(0).stats().held, 2u);
}

TEST(Loans, FollowTheDemandThatIsSeen) {
  ManagersFixture b(2);
  for (int i = 0; i < 450; ++i) {
    b.OutgoingCall(0, 1, i < 150 ? 3 : 0.2);  // 30, then 2 units a second of 20
    b.OutgoingCall(1, 1, i < 150 ? 0.2 : 3);
    b.Advance(0.1);
    if (i == 149) {
      EXPECT_GT(b.Share(0, 1), 0.75);
    }
  }
  EXPECT_GT(b.Share(1, 1), 0.75);
  EXPECT_GE(b.Share(0, 1), 0.05) << "a largest request still fits in";
}

TEST(Loans, EndWithTheDemandAndAreForgotten) {
  ManagersFixture b(1);
  for (int i = 0; i < 30; ++i) b.OutgoingCall(0, 1, 2), b.Advance(0.1);
  EXPECT_GT(b.Share(0, 1), 0.9);
  b.Advance(30);
  EXPECT_EQ(b.Share(0, 1), 0);
  EXPECT_EQ(b.manager(0).stats().customers, 0u);
  int before = b.calls;
  b.Advance(30);
  EXPECT_EQ(b.calls, before) << "nothing is asked of the engine for who is not there";
}

TEST(Loans, OfNoMoreCustomersThanTheBound) {
  ManagersFixture b(1, 10);
  for (uint64_t customer = 1; customer <= 30; ++customer) b.OutgoingCall(0, customer, 2);
  EXPECT_EQ(b.manager(0).stats().customers, 10u);
  EXPECT_EQ(b.manager(0).stats().rejected, 20u);
}

TEST(Loans, GivenBackAreAnothersAtOnce) {
  ManagersFixture b(2);
  for (int i = 0; i < 100; ++i) b.OutgoingCall(0, 1, 2), b.OutgoingCall(1, 1, 2), b.Advance(0.1);
  b.ReleaseAll(0);
  EXPECT_EQ(b.Share(0, 1), 0);
  b.OutgoingCall(0, 1, 2);
  b.OutgoingCall(0, 2, 2);
  EXPECT_EQ(b.Share(0, 1), 0) << "for good";
  EXPECT_EQ(b.Share(0, 2), 0) << "and nothing new is borrowed";
  for (int i = 0; i < 20; ++i) b.OutgoingCall(1, 1, 2), b.Advance(0.1);
  EXPECT_GT(b.Share(1, 1), 0.9);
}

}  // namespace
}  // namespace ivygw::parts
