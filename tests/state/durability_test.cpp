// Which of the shared files wait for the disk. This program's fsync only counts.
#include <errno.h>
#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

#include <filesystem>

#include "state/learned_file.h"
#include "state/operators_file.h"

namespace {
int sync_count = 0;
int refused_sync = 0;  // the first is 1; 0: none
}  // namespace

extern "C" int fsync(int) {
  if (++sync_count != refused_sync) return 0;
  errno = EIO;
  return -1;
}

namespace ivygw::state {
namespace {

class DurabilityTest : public testing::Test {
 protected:
  DurabilityTest() {
    char name[] = "/tmp/ivygw-durability-XXXXXX";
    directory_ = mkdtemp(name);
    sync_count = refused_sync = 0;
  }
  ~DurabilityTest() override { std::filesystem::remove_all(directory_); }
  std::string directory_;
};

// Guards against: the event loop waits for the disk twice a second, for advice that is of no use after 5 s.
TEST_F(DurabilityTest, WhatWasLearnedIsWrittenWithoutWaitingForTheDisk) {
  LearnedFile file(directory_, "n0");
  file.Write({{{7, 1.25, 0.1, 12, 0.02, 0}}, {0.1}, {2}, 0.9, 1.75}, 1000, [](uint32_t) { return "s-7"; });
  EXPECT_TRUE(file.Read(1000, [](const std::string&) { return 7; }));
  EXPECT_EQ(sync_count, 0);
}

// Guards against: a ban or drain that an operator was told of is gone after a loss of power.
TEST_F(DurabilityTest, WhatOperatorsSaidIsOnDiskWithItsName) {
  OperatorsFile(directory_, "n0").Change([](OperatorsWord* word) { word->bans.insert("s-1"); });
  EXPECT_EQ(sync_count, 2) << "the file, then its folder";
}

// Guards against: an operator was told that a ban was not kept, and the next process kept it all the same.
TEST_F(DurabilityTest, ARefusedSyncOfTheFolderIsNotToldAsNotKept) {
  OperatorsFile file(directory_, "n0");
  auto ban = [](OperatorsWord* word) { word->bans.insert("s-1"); };
  refused_sync = 1;
  try {
    file.Change(ban);
    FAIL() << "the file itself was not synced";
  } catch (const StateNotDurable&) {
    FAIL() << "the old one stands";
  } catch (const StateError&) {
    EXPECT_EQ(file.Read(), OperatorsWord());
  }
  sync_count = 0;
  refused_sync = 2;
  EXPECT_THROW(file.Change(ban), StateNotDurable);
  EXPECT_EQ(file.Read().bans, std::set<std::string>{"s-1"});
}

}  // namespace
}  // namespace ivygw::state
