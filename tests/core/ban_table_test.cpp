// Bans over discovery's list, case by case and in any order against a plain model of what may be in use.
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
  BanTable book;
  book.Told(true, {Entry(1), Entry(2)});
  auto told = book.Ban(1, 10);
  ASSERT_TRUE(told);
  EXPECT_EQ(told->backend.state, BackendState::kDraining);
  EXPECT_FALSE(book.Ban(1, 11)) << "calls out may be repeated";
  for (const auto& list :
       {std::vector{Entry(1, BackendState::kReady, 0, 7)}, {Entry(1, BackendState::kReady, 12)}}) {
    EXPECT_EQ(book.Told(false, list)[0].backend.state, BackendState::kDraining);
  }
  EXPECT_EQ(book.Told(false, {Entry(1, BackendState::kGone)})[0].backend.state, BackendState::kGone);
  EXPECT_EQ(book.listed(), 1u);
  EXPECT_EQ(book.listed_and_banned(), 0u);
  EXPECT_EQ(book.Told(true, {Entry(2), Entry(1)})[1].backend.state, BackendState::kDraining)
      << "listed again";
  EXPECT_EQ(book.listed_and_banned(), 1u);
  ASSERT_TRUE(book.Lift(1, 20)) << "one call back";
  EXPECT_FALSE(book.Lift(1, 20));
  EXPECT_EQ(book.Told(false, {Entry(1)})[0].backend.state, BackendState::kReady);
}

TEST(BanTable, BackFromABanItCountsAsStartedThenUnlessItsStartIsKnown) {
  BanTable book;
  book.Told(true, {Entry(1, BackendState::kReady, 3), Entry(2, BackendState::kReady, 3)});
  book.Ban(1, 10);
  book.Ban(2, 10);
  EXPECT_EQ(book.Lift(1, 20)->backend.started_s, 20);
  book.Told(false, {Entry(2, BackendState::kReady, 15)});
  EXPECT_EQ(book.Lift(2, 20)->backend.started_s, 15);
}

TEST(BanTable, NothingIsToldOfWhatDrainsOrIsNotListed) {
  BanTable book;
  book.Told(true, {Entry(1, BackendState::kDraining)});
  EXPECT_FALSE(book.Ban(1, 10));
  EXPECT_FALSE(book.Ban(9, 10)) << "listed once, perhaps, and absent now";
  EXPECT_TRUE(book.Banned(9));
  EXPECT_FALSE(book.Lift(1, 20)) << "it drains still, by discovery's word";
  EXPECT_EQ(book.Told(false, {Entry(9)})[0].backend.state, BackendState::kDraining);
}

// What was told last of each backend is what a plain model of bans and lists says, after any calls in any
// order.
TEST(BanTable, AnyOrder) {
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    std::mt19937 dice(seed);
    BanTable book;
    std::map<uint32_t, BackendState> list, told;  // discovery's; the module's view
    std::set<uint32_t> banned;
    for (int step = 0; step < 60; ++step) {
      uint32_t id = 1 + dice() % 4;
      unsigned what = dice() % 5;
      if (what == 0) {
        banned.insert(id);
        if (auto entry = book.Ban(id, step)) told[entry->backend.id] = entry->backend.state;
      } else if (what == 1) {
        banned.erase(id);
        if (auto entry = book.Lift(id, step)) told[entry->backend.id] = entry->backend.state;
      } else {
        bool whole = what == 2;
        std::vector<ListedBackend> entries;
        if (whole) {
          list.clear();
          told.clear();
        }
        for (uint32_t i = whole ? 1 : id; i <= (whole ? 4 : id); ++i) {
          BackendState state = std::array{BackendState::kReady, BackendState::kReady, BackendState::kDraining,
                                          BackendState::kGone}[dice() % 4];
          if (whole && state == BackendState::kGone) continue;
          entries.push_back(Entry(i, state, 0, dice() % 3));
          list[i] = state;
        }
        for (const ListedBackend& entry : book.Told(whole, entries))
          told[entry.backend.id] = entry.backend.state;
      }
      size_t listed = 0, out = 0;
      for (uint32_t i = 1; i <= 4; ++i) {
        auto in_list = list.find(i);
        bool ready = in_list != list.end() && in_list->second == BackendState::kReady;
        auto in_module = told.find(i);
        bool in_use = in_module != told.end() && in_module->second == BackendState::kReady;
        ASSERT_EQ(in_use, ready && banned.count(i) == 0)
            << "seed " << seed << ", step " << step << ", backend " << i;
        listed += in_list != list.end() && in_list->second != BackendState::kGone;
        out += ready && banned.count(i) != 0;
      }
      ASSERT_EQ(book.listed(), listed);
      ASSERT_EQ(book.listed_and_banned(), out);
    }
  }
}

}  // namespace
}  // namespace ivygw::core
