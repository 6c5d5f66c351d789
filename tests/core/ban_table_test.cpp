// Operators' bans applied to the list from discovery: single cases, and random sequences checked against a
// simple model of which backends may be used.
#include "core/ban_table.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>
#include <set>

namespace ivygw::core {
namespace {

using micadock::BackendState;

ListedBackend Entry(uint32_t id, BackendState state = BackendState::kReady, double started_s = 0,
                    uint64_t address = 1) {
  ListedBackend listed;
  listed.backend.id = id;
  listed.backend.state = state;
  listed.backend.started_s = started_s;
  listed.address = address;
  return listed;
}

TEST(BanTable, ABanIsADrainWhateverDiscoverySays) {
  BanTable bans;
  bans.ApplyList(true, {Entry(1), Entry(2)});
  auto seen = bans.Ban(1, 10);
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->backend.state, BackendState::kDraining);
  EXPECT_FALSE(bans.Ban(1, 11)) << "a repeated ban changes nothing";
  for (const auto& list :
       {std::vector{Entry(1, BackendState::kReady, 0, 7)}, {Entry(1, BackendState::kReady, 12)}}) {
    EXPECT_EQ(bans.ApplyList(false, list)[0].backend.state, BackendState::kDraining);
  }
  EXPECT_EQ(bans.ApplyList(false, {Entry(1, BackendState::kGone)})[0].backend.state, BackendState::kGone);
  EXPECT_EQ(bans.listed(), 1u);
  EXPECT_EQ(bans.listed_and_banned(), 0u);
  EXPECT_EQ(bans.ApplyList(true, {Entry(2), Entry(1)})[1].backend.state, BackendState::kDraining)
      << "listed again";
  EXPECT_EQ(bans.listed_and_banned(), 1u);
  ASSERT_TRUE(bans.Lift(1, 20)) << "a single call lifts the ban";
  EXPECT_FALSE(bans.Lift(1, 20));
  EXPECT_EQ(bans.ApplyList(false, {Entry(1)})[0].backend.state, BackendState::kReady);
}

TEST(BanTable, ABackendCountsAsStartedWhenItsBanEndsUnlessALaterStartIsKnown) {
  BanTable bans;
  bans.ApplyList(true, {Entry(1, BackendState::kReady, 3), Entry(2, BackendState::kReady, 3)});
  bans.Ban(1, 10);
  bans.Ban(2, 10);
  EXPECT_EQ(bans.Lift(1, 20)->backend.started_s, 20);
  bans.ApplyList(false, {Entry(2, BackendState::kReady, 15)});
  EXPECT_EQ(bans.Lift(2, 20)->backend.started_s, 15);
}

TEST(BanTable, NoChangeIsReportedForADrainingOrUnlistedBackend) {
  BanTable bans;
  bans.ApplyList(true, {Entry(1, BackendState::kDraining)});
  EXPECT_FALSE(bans.Ban(1, 10));
  EXPECT_FALSE(bans.Ban(9, 10)) << "not listed, or no longer";
  EXPECT_TRUE(bans.IsBanned(9));
  EXPECT_FALSE(bans.Lift(1, 20)) << "discovery still reports it as draining";
  EXPECT_EQ(bans.ApplyList(false, {Entry(9)})[0].backend.state, BackendState::kDraining);
}

// After any sequence of bans and lists, the last reported state of each backend matches the model.
TEST(BanTable, AnyOrder) {
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    BanTable bans;
    std::map<uint32_t, BackendState> list, seen;  // from discovery; as the balancer sees it
    std::set<uint32_t> banned;
    for (int step = 0; step < 60; ++step) {
      uint32_t id = 1 + random() % 4;
      unsigned choice = random() % 5;
      if (choice == 0) {
        banned.insert(id);
        if (auto entry = bans.Ban(id, step)) seen[entry->backend.id] = entry->backend.state;
      } else if (choice == 1) {
        banned.erase(id);
        if (auto entry = bans.Lift(id, step)) seen[entry->backend.id] = entry->backend.state;
      } else {
        bool full = choice == 2;
        std::vector<ListedBackend> entries;
        if (full) {
          list.clear();
          seen.clear();
        }
        for (uint32_t i = full ? 1 : id; i <= (full ? 4 : id); ++i) {
          BackendState state = std::array{BackendState::kReady, BackendState::kReady, BackendState::kDraining,
                                          BackendState::kGone}[random() % 4];
          if (full && state == BackendState::kGone) continue;
          entries.push_back(Entry(i, state, 0, random() % 3));
          list[i] = state;
        }
        for (const ListedBackend& entry : bans.ApplyList(full, entries))
          seen[entry.backend.id] = entry.backend.state;
      }
      size_t listed = 0, banned_ready = 0;
      for (uint32_t i = 1; i <= 4; ++i) {
        auto in_list = list.find(i);
        bool ready = in_list != list.end() && in_list->second == BackendState::kReady;
        auto in_balancer = seen.find(i);
        bool in_use = in_balancer != seen.end() && in_balancer->second == BackendState::kReady;
        ASSERT_EQ(in_use, ready && banned.count(i) == 0)
            << "seed " << seed << ", step " << step << ", backend " << i;
        listed += in_list != list.end() && in_list->second != BackendState::kGone;
        banned_ready += ready && banned.count(i) != 0;
      }
      ASSERT_EQ(bans.listed(), listed);
      ASSERT_EQ(bans.listed_and_banned(), banned_ready);
    }
  }
}

}  // namespace
}  // namespace ivygw::core
