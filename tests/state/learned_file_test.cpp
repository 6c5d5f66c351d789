// What was learned of the backends, passed on: there and back, too old, and every damage.
#include "state/learned_file.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <map>

namespace ivygw::state {
namespace {

using micadock::LearnedState;

const std::map<uint32_t, std::string> kNames = {{7, "s-7"}, {8, "s-8"}};
std::string NameOf(uint32_t id) {
  auto it = kNames.find(id);
  return it == kNames.end() ? "" : it->second;
}
uint32_t IdOf(const std::string& name) { return static_cast<uint32_t>(std::stoul(name.substr(2))); }

LearnedState Some() {
  return {{{7, 1.25, 0.1, 12, 0.02, 0}, {8, 0.5, 0.3, 3, 0, 995.5}, {9, 1, 0, 3, 0, 0}},
          {0.1, 0.05},
          {2, 3},
          0.9,
          1.75};
}

TEST(LearnedFile, ThereAndBackByTheNamesOfBackends) {
  char name[] = "/tmp/ivygw-learned-XXXXXX";
  std::string directory = mkdtemp(name);
  LearnedFile file(directory, "n0"), other(directory, "n1");
  EXPECT_FALSE(file.Read(1000, IdOf));
  file.Write(Some(), 1000, NameOf);
  std::optional<LearnedState> got = file.Read(1001, IdOf);
  ASSERT_TRUE(got);
  ASSERT_EQ(got->backends.size(), 2u) << "one without a name is left out";
  EXPECT_EQ(got->backends[0].id, 7u);
  EXPECT_EQ(got->backends[0].limit, 12);
  EXPECT_EQ(got->backends[1].cold_since, 995.5);
  EXPECT_EQ(got->work, (std::vector<double>{0.1, 0.05}));
  EXPECT_EQ(got->warm_work, 1.75);
  EXPECT_FALSE(file.Read(1000 + kLearnedOldS + 0.1, IdOf)) << "too old";
  EXPECT_FALSE(file.Read(990, IdOf)) << "from the future";
  EXPECT_FALSE(other.Read(1001, IdOf));
  std::filesystem::remove_all(directory);
}

TEST(LearnedFile, EachFieldThatIsMissingOrSpoiltIsNamed) {
  std::string sound = FormatLearned(Some(), 1000, "n0", NameOf);
  for (std::string field : {"version", "gateway", "at", "backends", "work", "units", "let_in", "warm_work",
                            "name", "speed", "pace", "limit", "fails", "cold_since"}) {
    std::string missing = sound, spoilt = sound;
    size_t at = sound.find("\"" + field + "\":");
    ASSERT_NE(at, std::string::npos) << field;
    missing.replace(at + 1, field.size(), "x");
    size_t value = at + field.size() + 3, end = sound.find_first_of(",}", value);
    if (sound[value] == '[') {
      spoilt.insert(value + 1, "\"x\",");
    } else {
      spoilt.replace(value, end - value, "true");
    }
    for (const std::string& text : {missing, spoilt}) {
      try {
        ParseLearned(text, 1000, "n0", IdOf);
        FAIL() << field << " was read: " << text;
      } catch (const StateError& error) {
        EXPECT_NE(std::string(error.what()).find(field), std::string::npos) << error.what();
      }
    }
  }
  for (size_t cut = 0; cut < sound.size() - 1; ++cut) {
    EXPECT_THROW(ParseLearned(sound.substr(0, cut), 1000, "n0", IdOf), StateError) << cut;
  }
}

}  // namespace
}  // namespace ivygw::state
