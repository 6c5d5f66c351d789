// What a gateway borrows of many customers' ceilings: by the demand that it sees, within a bound, given back
// unused.
#include "parts/loans.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

#include "shared/memory_store.h"

namespace ivygw::parts {
namespace {

// Gateways with a book each, round an engine that answers at once, or loses the answer.
class Books {
 public:
  explicit Books(int n, size_t most = 256) {
    for (int g = 0; g < n; ++g) {
      LoansOptions o;
      o.boot = "b" + std::to_string(g);
      o.most = most;
      shared::Batch place;
      place.changes.push_back(shared::Put("place/" + o.boot, "here"));
      auto put = store_.Take(shared::Commit(place), now);
      EXPECT_TRUE(put.done());
      shared::Condition right{"place/" + o.boot, put.revision};
      all_.push_back(std::make_unique<Loans>(o, [right](double) { return right; }));
      shares_.emplace_back();
    }
  }
  void Ask(int g, uint64_t customer, double units) {
    Loans::Asks asks;
    all_[static_cast<size_t>(g)]->OnAsked(now, customer, units, kWhole, &asks);
    Run(g, asks);
  }
  void Pass(double seconds) {
    for (double end = now + seconds; now < end;) {
      now += 0.1;
      for (int g = 0; g < static_cast<int>(all_.size()); ++g) {
        Loans::Asks asks;
        all_[static_cast<size_t>(g)]->OnTime(now, &asks);
        Run(g, asks);
      }
    }
  }
  void GiveBack(int g) {
    Loans::Asks asks;
    all_[static_cast<size_t>(g)]->GiveBack(now, &asks);
    Run(g, asks);
  }
  double Share(int g, uint64_t customer) { return shares_[static_cast<size_t>(g)][customer]; }
  Loans& of(int g) { return *all_[static_cast<size_t>(g)]; }
  double now = 100;
  int calls = 0;
  static constexpr Allowance kWhole{20, 40, 1, 2, false, 0};

 private:
  void Run(int g, Loans::Asks asks) {
    while (true) {
      for (const Loans::Told& told : of(g).Changes(now)) {
        EXPECT_TRUE(told.share <= 0 || told.until > now);
        shares_[static_cast<size_t>(g)][told.customer] = told.share;
      }
      if (asks.empty()) return;
      Loans::Asks next;
      for (Loans::Ask& ask : asks) {
        ++calls;
        of(g).OnReply(now, ask.customer, ask.number, store_.Take(ask.call, now), &next);
      }
      asks = std::move(next);
    }
  }
  shared::MemoryStore store_{"g"};
  std::vector<std::unique_ptr<Loans>> all_;
  std::vector<std::map<uint64_t, double>> shares_;
};

TEST(Loans, AreOfEachCustomerByItself) {
  Books b(2);
  for (int i = 0; i < 200; ++i) {
    b.Ask(0, 1, 2);
    b.Ask(1, 1, 2);
    b.Ask(0, 2, 2);
    b.Pass(0.1);
  }
  EXPECT_NEAR(b.Share(0, 1), 0.5, 0.06);
  EXPECT_NEAR(b.Share(1, 1), 0.5, 0.06);
  EXPECT_GT(b.Share(0, 2), 0.9) << "nobody else asks for it";
  EXPECT_EQ(b.of(0).figures().held, 2u);
}

TEST(Loans, FollowTheDemandThatIsSeen) {
  Books b(2);
  for (int i = 0; i < 450; ++i) {
    b.Ask(0, 1, i < 150 ? 3 : 0.2);  // 30, then 2 units a second of 20
    b.Ask(1, 1, i < 150 ? 0.2 : 3);
    b.Pass(0.1);
    if (i == 149) {
      EXPECT_GT(b.Share(0, 1), 0.75);
    }
  }
  EXPECT_GT(b.Share(1, 1), 0.75);
  EXPECT_GE(b.Share(0, 1), 0.05) << "a largest request still fits in";
}

TEST(Loans, EndWithTheDemandAndAreForgotten) {
  Books b(1);
  for (int i = 0; i < 30; ++i) b.Ask(0, 1, 2), b.Pass(0.1);
  EXPECT_GT(b.Share(0, 1), 0.9);
  b.Pass(30);
  EXPECT_EQ(b.Share(0, 1), 0);
  EXPECT_EQ(b.of(0).figures().customers, 0u);
  int before = b.calls;
  b.Pass(30);
  EXPECT_EQ(b.calls, before) << "nothing is asked of the engine for who is not there";
}

TEST(Loans, OfNoMoreCustomersThanTheBound) {
  Books b(1, 10);
  for (uint64_t customer = 1; customer <= 30; ++customer) b.Ask(0, customer, 2);
  EXPECT_EQ(b.of(0).figures().customers, 10u);
  EXPECT_EQ(b.of(0).figures().turned_away, 20u);
}

TEST(Loans, GivenBackAreAnothersAtOnce) {
  Books b(2);
  for (int i = 0; i < 100; ++i) b.Ask(0, 1, 2), b.Ask(1, 1, 2), b.Pass(0.1);
  b.GiveBack(0);
  EXPECT_EQ(b.Share(0, 1), 0);
  b.Ask(0, 1, 2);
  b.Ask(0, 2, 2);
  EXPECT_EQ(b.Share(0, 1), 0) << "for good";
  EXPECT_EQ(b.Share(0, 2), 0) << "and nothing new is borrowed";
  for (int i = 0; i < 20; ++i) b.Ask(1, 1, 2), b.Pass(0.1);
  EXPECT_GT(b.Share(1, 1), 0.9);
}

}  // namespace
}  // namespace ivygw::parts
