// What operators said, kept for the other process: there and back, every damage, two writers at once.
#include "state/operators_file.h"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace ivygw::state {
namespace {

class File : public testing::Test {
 protected:
  File() {
    char name[] = "/tmp/ivygw-state-XXXXXX";
    directory = mkdtemp(name);
  }
  ~File() override { std::filesystem::remove_all(directory); }
  void Put(const OperatorsFile& file, const std::string& text) { std::ofstream(file.path()) << text; }
  std::string directory;
};

TEST_F(File, WhatOneWritesAnotherReads) {
  OperatorsFile one(directory, "n0"), two(directory, "n0"), other(directory, "n1");
  EXPECT_EQ(one.Read(), OperatorsWord());
  EXPECT_FALSE(two.Changed()) << "there is none yet";
  OperatorsWord now = one.Change([](OperatorsWord* word) { word->bans.insert("s-1"); });
  EXPECT_EQ(now.bans, std::set<std::string>{"s-1"});
  EXPECT_TRUE(two.Changed());
  EXPECT_FALSE(two.Changed());
  EXPECT_EQ(two.Read(), now);
  two.Change([](OperatorsWord* word) { word->drained = true; });
  EXPECT_EQ(one.Read().bans, std::set<std::string>{"s-1"}) << "what the other did not touch is kept";
  EXPECT_TRUE(one.Read().drained);
  EXPECT_EQ(other.Read(), OperatorsWord()) << "another gateway's";
}

TEST_F(File, DamageIsOneReasonAndIsReplaced) {
  OperatorsFile file(directory, "n0");
  std::string sound = Format({{"s-1"}, false}, "n0");
  const std::pair<std::string, std::string> cases[] = {
      {sound.substr(0, sound.size() / 2), "it is not a JSON object"},
      {"", "it is not a JSON object"},
      {"[]", "it is not a JSON object"},
      {R"({"version":2,"gateway":"n0","bans":[],"drained":false})", "version is not 1"},
      {R"({"gateway":"n0","bans":[],"drained":false})", "it lacks version"},
      {R"({"version":1,"gateway":"n7","bans":[],"drained":false})", "gateway is not n0"},
      {R"({"version":1,"gateway":"n0","bans":"s-1","drained":false})", "bans is no list of names"},
      {R"({"version":1,"gateway":"n0","bans":[1],"drained":false})", "bans is no list of names"},
      {R"({"version":1,"gateway":"n0","bans":[],"drained":1})", "drained is neither true nor false"},
      {R"({"version":1,"gateway":"n0","bans":[]})", "it lacks drained"},
  };
  for (const auto& [text, why] : cases) {
    Put(file, text);
    try {
      file.Read();
      FAIL() << "was read: " << text;
    } catch (const StateError& error) {
      EXPECT_EQ(std::string(error.what()), file.path() + ": " + why);
    }
    EXPECT_EQ(file.Change([](OperatorsWord* word) { word->bans.insert("s-2"); }).bans,
              std::set<std::string>{"s-2"});
    EXPECT_EQ(file.Read().bans, std::set<std::string>{"s-2"});
    EXPECT_TRUE(std::filesystem::exists(file.path() + ".bad")) << "for somebody to look at";
  }
}

TEST_F(File, WhereNothingCanBeWrittenThatIsSaidAndTheOldWordStands) {
  OperatorsFile file(directory, "n0"), nowhere(directory + "/missing", "n0");
  EXPECT_THROW(nowhere.Change([](OperatorsWord*) {}), StateError);
  file.Change([](OperatorsWord* word) { word->bans.insert("s-1"); });
  std::filesystem::create_directory(file.path() + ".new");  // in the way of the fresh one
  EXPECT_THROW(file.Change([](OperatorsWord* word) { word->bans.clear(); }), StateError);
  EXPECT_EQ(file.Read().bans, std::set<std::string>{"s-1"});
}

// Guards against: a file that could not be read for a moment was taken for spoilt, and all bans were lost.
TEST_F(File, WhatCannotBeReadForAMomentIsNotReplaced) {
  OperatorsFile file(directory, "n0");
  file.Change([](OperatorsWord* word) { word->bans.insert("s-1"); });
  std::filesystem::rename(file.path(), file.path() + ".away");
  std::filesystem::create_directory(file.path());  // it opens, and reading it is refused
  EXPECT_THROW(file.Change([](OperatorsWord* word) { word->drained = true; }), StateError);
  EXPECT_FALSE(std::filesystem::exists(file.path() + ".bad"));
  std::filesystem::remove(file.path());
  std::filesystem::rename(file.path() + ".away", file.path());
  EXPECT_EQ(file.Read(), (OperatorsWord{{"s-1"}, false}));
}

// Each of two processes adds a hundred names: without the lock the one would write over the other's.
TEST_F(File, TwoWritersLoseNothing) {
  pid_t children[2];
  for (int w = 0; w < 2; ++w) {
    children[w] = fork();
    if (children[w] != 0) continue;
    OperatorsFile file(directory, "n0");
    for (int i = 0; i < 100; ++i) {
      file.Change(
          [&](OperatorsWord* word) { word->bans.insert(std::to_string(w) + "-" + std::to_string(i)); });
    }
    _exit(0);
  }
  for (pid_t child : children) {
    int status = -1;
    waitpid(child, &status, 0);
    EXPECT_EQ(status, 0);
  }
  EXPECT_EQ(OperatorsFile(directory, "n0").Read().bans.size(), 200u);
}

}  // namespace
}  // namespace ivygw::state
