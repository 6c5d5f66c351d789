// Which of the shared files wait for the disk. This program's fsync only counts.
#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

#include <filesystem>

#include "state/learned_file.h"
#include "state/operators_file.h"

namespace {
int sync_count = 0;
}  // namespace

extern "C" int fsync(int) {
  ++sync_count;
  return 0;
}

namespace ivygw::state {
namespace {

class DurabilityTest : public testing::Test {
 protected:
  DurabilityTest() {
    char name[] = "/tmp/ivygw-durability-XXXXXX";
    directory_ = mkdtemp(name);
    sync_count = 0;
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

}  // namespace
}  // namespace ivygw::state
