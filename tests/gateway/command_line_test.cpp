// The command line of ivygw: what it validates, and what it says.
#include "rig/gateway_rig.h"
#include "rig/program.h"

namespace {

using namespace rig;  // NOLINT

TEST(CommandLine, ChecksASoundConfigurationWithoutStarting) {
  TemporaryFile file(Config(1, 1).dump());
  Ran ran = RunProgram(IVYGW, {"--config", file.path(), "--check"});
  EXPECT_EQ(ran.status, 0) << ran.out;
  EXPECT_NE(ran.out.find("sound"), std::string::npos);
  EXPECT_NE(ran.out.find("with the counter silent"), std::string::npos) << ran.out;  // the bound on quotas
}

// Every fault is told at once, one a line, each with the name of its field.
TEST(CommandLine, CheckNamesEachFaultOnALineOfItsOwn) {
  json bad = Config(1, 1);
  bad["listen"] = "nowhere";
  bad["seed"] = "not hex";
  bad["limits"]["sockets"] = 3;
  bad["known"] = {{"index", "x"}};
  bad["settings"]["invariants"].erase("cold-from");
  bad["settings"]["request-classes"][1]["effect"] = "odd";
  bad["settings"]["limits"]["try-limit"] = 1.5;
  TemporaryFile file(bad.dump());
  Ran ran = RunProgram(IVYGW, {"--config", file.path(), "--check"});
  EXPECT_EQ(ran.status, 1);
  for (const char* field : {"listen=nowhere", "seed=not hex", "limits.sockets", "known: ",
                            "invariants.cold-from", "request-classes.1.effect=odd", "limits.try-limit=1.5"}) {
    EXPECT_NE(ran.out.find(field), std::string::npos) << field << " in\n" << ran.out;
  }
  EXPECT_EQ(std::count(ran.out.begin(), ran.out.end(), '\n'), 7) << ran.out;
}

TEST(CommandLine, ChecksTheCountersAccess) {
  auto check = [](const json& access) {
    json config = Config(1, 1);
    config["counter_access"] = access;
    TemporaryFile file(config.dump());
    return RunProgram(IVYGW, {"--config", file.path(), "--check"});
  };
  EXPECT_EQ(
      check({{"kind", "redis"}, {"username", "gw"}, {"password", "x"}, {"database", 2}, {"prefix", "gw:"}})
          .status,
      0);
  EXPECT_EQ(check({{"kind", "tally"}}).status, 0);
  for (const auto& [access, word] : std::vector<std::pair<json, std::string>>{
           {{{"kind", "etcd"}}, "counter_access.kind=etcd"},
           {{{"kind", "redis"}, {"database", "two"}}, "counter_access.database"},
           {{{"kind", "redis"}, {"username", "gw"}}, "counter_access.password"},
           {{{"kind", "redis"}, {"pasword", "x"}}, "counter_access.pasword"},
           {{{"password", "x"}}, "counter_access.kind=tally"},
           {{{"prefix", std::string(49, 'x')}}, "counter_access.prefix"},
           {"redis", "counter_access"}}) {
    Ran ran = check(access);
    EXPECT_EQ(ran.status, 1) << access;
    EXPECT_NE(ran.out.find(word), std::string::npos) << ran.out;
  }
}

TEST(CommandLine, SaysWhatIsMissingOrUnknown) {
  EXPECT_NE(RunProgram(IVYGW, {}).out.find("LB_CONFIG"), std::string::npos);
  EXPECT_EQ(RunProgram(IVYGW, {}).status, 1);
  Ran absent = RunProgram(IVYGW, {"--check", "--config", "/nowhere/at/all.json"});
  EXPECT_EQ(absent.status, 1);
  EXPECT_NE(absent.out.find("/nowhere/at/all.json"), std::string::npos);
  EXPECT_NE(RunProgram(IVYGW, {"--unheard-of"}).status, 0);
}

TEST(CommandLine, TellsVersionAndHelp) {
  Ran version = RunProgram(IVYGW, {"--version"}), help = RunProgram(IVYGW, {"--help"});
  EXPECT_EQ(version.status, 0);
  EXPECT_EQ(version.out.substr(0, 6), "ivygw ");
  EXPECT_EQ(help.status, 0);
  EXPECT_NE(help.out.find("--config"), std::string::npos);
}

}  // namespace
