#include "scenario/scenario.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace ivygw::scenario {
namespace {

const char* const kGood = R"(name = "day"
duration_s = 20
gateways = 2
[load]
rate = 10
[[class]]
name = "quote"
[[plan]]
name = "team"
[[node]]
type = "std"
speed = [0.5, 1]
)";

std::string Wrong(const std::string& text) {
  try {
    ParseScenario(text, "day.toml");
  } catch (const ScenarioError& error) {
    return error.what();
  }
  return "sound";
}
std::string With(const std::string& from, const std::string& to) {
  std::string text = kGood;
  return text.replace(text.find(from), from.size(), to);
}

TEST(Scenario, ReadsWhatIsSaidAndKeepsDefaults) {
  Scenario s = ParseScenario(std::string(kGood) + "[[fault]]\nkind=\"pause\"\nat_s=5\nfor_s=3\nnodes=0.2\n",
                             "day.toml");
  EXPECT_EQ(s.gateways, 2);
  EXPECT_EQ(s.nodes[0].speed_from, 0.5);
  EXPECT_EQ(s.nodes[0].cores, 3);
  ASSERT_EQ(s.faults.size(), 1u);
  EXPECT_EQ(s.faults[0].kind, FaultKind::kPause);
  auto phases = s.Phases();
  ASSERT_EQ(phases.size(), 3u);
  EXPECT_EQ(phases[0].name, "before");
  EXPECT_EQ(phases[1].name, "pause");
  EXPECT_EQ(phases[2].name, "after");
  Scenario half = s.Shortened(0.5);
  EXPECT_EQ(half.duration_s, 10);
  EXPECT_EQ(half.faults[0].for_s, 1.5);
}

struct Fault1 {
  const char* name;
  std::string text, message;
};
void PrintTo(const Fault1& f, std::ostream* out) { *out << f.name; }
class Mistake : public testing::TestWithParam<Fault1> {};
TEST_P(Mistake, IsOneClearErrorWithFileAndLine) {
  std::string what = Wrong(GetParam().text);
  EXPECT_NE(what.find(GetParam().message), std::string::npos) << what;
  EXPECT_EQ(what.find('\n'), std::string::npos) << what;
}
std::string FaultOf(const std::string& lines) { return std::string(kGood) + "[[fault]]\n" + lines; }

INSTANTIATE_TEST_SUITE_P(
    Each, Mistake,
    testing::Values(
        Fault1{"unknown_key", With("rate = 10", "rate = 10\nrats = 3"), "day.toml:6: unknown key load.rats"},
        Fault1{"unknown_table", With("[load]", "[lode]\nx = 1\n[load]"), "day.toml:4: unknown key lode"},
        Fault1{"not_toml", With("gateways = 2", "gateways = = 2"), "day.toml:3: "},
        Fault1{"unit_in_text", With("duration_s = 20", "duration_s = \"20 s\""),
               "day.toml:2: duration_s is to be a number of seconds"},
        Fault1{"wrong_unit", With("duration_s = 20", "duration_ms = 20000"),
               "day.toml:2: unknown key duration_ms"},
        Fault1{"out_of_range", With("gateways = 2", "gateways = 0"),
               "day.toml:3: gateways is out of range: 1 to 1000"},
        Fault1{"half_a_gateway", With("gateways = 2", "gateways = 2.5"), "gateways is to be a whole number"},
        Fault1{"not_finite", With("rate = 10", "rate = nan"), "day.toml:5: load.rate is out of range"},
        Fault1{"no_name", With("name = \"day\"\n", ""), "name is missing"},
        Fault1{"no_load", With("rate = 10", ""), "no load"},
        Fault1{"no_class", With("[[class]]\nname = \"quote\"\n", ""), "class is missing"},
        Fault1{"class_twice", With("[[plan]]", "[[class]]\nname = \"quote\"\n[[plan]]"),
               "class quote is there twice"},
        Fault1{"odd_effect", With("name = \"quote\"", "name = \"quote\"\neffect = \"maybe\""),
               "day.toml:8: class.effect is to be safe, keyed or unsafe"},
        Fault1{"aim_beyond_deadline", With("name = \"quote\"", "name = \"quote\"\naim_s = 4\ndeadline_s = 3"),
               "class.aim_s is beyond deadline_s"},
        Fault1{"rate_without_burst", With("name = \"team\"", "name = \"team\"\nrate = 3"),
               "plan.rate wants a burst"},
        Fault1{"ceiling_below_rate",
               With("name = \"team\"",
                    "name = \"team\"\nrate = 3\nburst = 3\nceiling_rate = 2\nceiling_burst = 9"),
               "plan.ceiling_rate is below the rate"},
        Fault1{"set_too_large", With("name = \"team\"", "name = \"team\"\nspread = 3"),
               "more than the gateways"},
        Fault1{"range_upside_down", With("[0.5, 1]", "[1, 0.5]"), "node.speed is to be [low, high]"},
        Fault1{"class_no_table", "name = \"day\"\nclass = 3\n[load]\nrate = 1\n",
               "day.toml:2: class is to be tables [[class]]"},
        Fault1{"unknown_fault", FaultOf("kind = \"gremlin\"\nat_s = 1\n"),
               "day.toml:14: unknown fault gremlin; known: jump"},
        Fault1{"fault_without_length", FaultOf("kind = \"pause\"\nat_s = 1\nnodes = 0.1\n"),
               "fault.for_s is missing: pause needs it"},
        Fault1{"fault_without_time", FaultOf("kind = \"pause\"\nfor_s = 1\nnodes = 0.1\n"),
               "fault.at_s is missing"},
        Fault1{"fault_key_of_another", FaultOf("kind = \"counter_empty\"\nat_s = 1\nfor_s = 2\n"),
               "unknown key fault.for_s"},
        Fault1{"fault_after_the_end", FaultOf("kind = \"counter_empty\"\nat_s = 21\n"),
               "day.toml:15: fault.at_s lies beyond duration_s"},
        Fault1{"fault_beyond_the_end", FaultOf("kind = \"pause\"\nat_s = 19\nfor_s = 2\nnodes = 0.1\n"),
               "pause ends beyond duration_s"},
        Fault1{"fault_twice_at_once",
               FaultOf("kind = \"pause\"\nat_s = 1\nfor_s = 5\nnodes = 0.1\n[[fault]]\nkind = "
                       "\"pause\"\nat_s = 3\nfor_s = 5\nnodes = 0.1\n"),
               "day.toml:19: pause begins before the one of line 14 has ended"},
        Fault1{"no_such_gateway", FaultOf("kind = \"gateway_kill\"\nat_s = 1\nfor_s = 5\ngateway = 2\n"),
               "fault.gateway is out of range"},
        Fault1{"counter_fault_without_one",
               std::string(kGood) +
                   "[counter]\npresent = false\n[[fault]]\nkind = \"counter_empty\"\nat_s = 1\n",
               "counter_empty in a scenario without a counter"},
        Fault1{"odd_counter", std::string(kGood) + "[counter]\nkind = \"etcd\"\n",
               "counter.kind is to be tally or redis"},
        Fault1{"stream_of_no_plan", std::string(kGood) + "[[stream]]\nplan = \"none\"\nclass = \"quote\"\n",
               "stream.plan names no plan: none"}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(Scenario, TakesFromAnotherFileWhatItLeavesUnsaidAndNamesThatOnesLines) {
  namespace fs = std::filesystem;
  char pattern[] = "/tmp/ivygw-scenario-XXXXXX";
  fs::path folder = mkdtemp(pattern);
  auto write = [&](const char* name, const std::string& text) { std::ofstream(folder / name) << text; };
  write("base.toml", kGood);
  write("over.toml",
        "extends = \"base.toml\"\nname = \"over\"\n[load]\nunits_mean = 3\n[[node]]\ntype = \"big\"\ncount = "
        "5\n");
  write("bad.toml", With("rate = 10", "rats = 10"));
  write("over-bad.toml", "extends = \"bad.toml\"\nname = \"over\"\n");
  write("ring.toml", "extends = \"ring.toml\"\n");
  Scenario s = LoadScenario((folder / "over.toml").string());
  EXPECT_EQ(s.name, "over");
  EXPECT_EQ(s.load.rate, 10);
  EXPECT_EQ(s.load.units_mean, 3);
  ASSERT_EQ(s.nodes.size(), 1u);
  EXPECT_EQ(s.nodes[0].count, 5);
  auto wrong = [&](const char* name) {
    try {
      LoadScenario((folder / name).string());
    } catch (const ScenarioError& error) {
      return std::string(error.what());
    }
    return std::string("sound");
  };
  EXPECT_NE(wrong("over-bad.toml").find("bad.toml:5: unknown key load.rats"), std::string::npos)
      << wrong("over-bad.toml");
  EXPECT_NE(wrong("ring.toml").find("extends itself"), std::string::npos);
  EXPECT_NE(wrong("absent.toml").find("cannot be read"), std::string::npos);
  fs::remove_all(folder);
}

// Spoilt files are read or refused, and nothing else.
TEST(Scenario, OutlivesNoise) {
  std::ifstream in(std::string(IVYGW_SCENARIOS) + "/ocr-morning.toml");
  std::string sound = std::string(kGood) + std::string(std::istreambuf_iterator<char>(in), {}).substr(330);
  uint64_t state = 88172645463325252ULL;
  auto next = [&](uint64_t n) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state % n;
  };
  int refused = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string text = sound;
    for (uint64_t n = 1 + next(4); n > 0; --n) {
      size_t at = next(text.size());
      switch (next(3)) {
        case 0: text[at] = static_cast<char>(next(128)); break;
        case 1: text.erase(at, next(20)); break;
        default: text.insert(at, text.substr(next(text.size()), next(30))); break;
      }
    }
    std::string what = Wrong(text);
    refused += what != "sound";
    if (what != "sound") {
      EXPECT_NE(what.find(':'), std::string::npos) << what;
    }
  }
  EXPECT_GT(refused, 1000);
}

TEST(Scenario, EveryOneThatIsShippedIsSound) {
  int n = 0;
  for (const auto& entry : std::filesystem::directory_iterator(IVYGW_SCENARIOS)) {
    if (entry.path().extension() != ".toml") continue;
    Scenario s = LoadScenario(entry.path().string());
    EXPECT_EQ(s.name, entry.path().stem().string());
    ++n;
  }
  EXPECT_GE(n, 10);
}

}  // namespace
}  // namespace ivygw::scenario
