// The program with --trace, and ivygw-replay on what it recorded.
#include <gtest/gtest.h>

#include <filesystem>

#include "rig/gateway_rig.h"
#include "rig/program.h"

namespace {

using namespace rig;  // NOLINT

class Recorded : public testing::Test {
 protected:
  Recorded() {
    char name[] = "/tmp/ivygw-trace-XXXXXX";
    EXPECT_NE(mkdtemp(name), nullptr);
    folder = name;
  }
  ~Recorded() override { std::filesystem::remove_all(folder); }
  // Serves `requests` with the trace on, and ends.
  void Serve(int requests) {
    std::atomic<int> seen{0};
    Backend backend([&](const Message&, Wire&) {
      return seen++ % 5 != 4 ? Ok("x") : std::string("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    });
    Discovery discovery;
    discovery.Set(json::array({Entry("s1", backend.port())}));
    json settings = Config(discovery.port(), DeadPort());
    config = folder + "/config.json";
    std::ofstream(config) << settings.dump();
    setenv("IVYGW_TRACE", (folder + "/trace-{name}").c_str(), 1);
    trace = folder + "/trace-n0";
    Process gateway(settings);
    unsetenv("IVYGW_TRACE");
    EXPECT_TRUE(discovery.Told());
    auto client = gateway.Connect();
    for (int i = 0; i < requests; ++i) answers += Ask(*client, Request("quote")).whole;
  }
  Ran Replay(std::vector<std::string> more = {}) {
    more.insert(more.end(), {"--config", config, trace});
    return RunProgram(IVYGW_REPLAY, more);
  }
  std::string folder, config, trace;
  int answers = 0;
};

TEST_F(Recorded, ReplaysWithNoDifference) {
  Serve(30);
  EXPECT_EQ(answers, 30);
  Ran ran = Replay();
  EXPECT_EQ(ran.status, 0) << ran.out;
  EXPECT_NE(ran.out.find("no difference"), std::string::npos) << ran.out;
  Ran same = Replay({"--against", IVYGW_REPLAY});
  EXPECT_EQ(same.status, 0) << same.out;
  EXPECT_EQ(same.out.rfind("no difference in ", 0), 0u) << same.out;
  Ran one = Replay({"--request", "1"});
  EXPECT_NE(one.out.find("hold 1 "), std::string::npos) << one.out;
  Ran early = Replay({"--until", "0"});
  EXPECT_NE(early.out.find("requests held"), std::string::npos) << early.out;

  // With other settings it does otherwise, and is refused unless it is asked for.
  std::ifstream in(config);
  json other = json::parse(in);
  in.close();
  other["settings"]["tiers-of-service"][0]["store-size"] = 1;
  std::ofstream(config) << other.dump();
  Ran refused = Replay();
  EXPECT_EQ(refused.status, 2);
  EXPECT_NE(refused.out.find("another configuration"), std::string::npos) << refused.out;
  Ran differs = Replay({"--any-config"});
  EXPECT_EQ(differs.status, 1) << differs.out;
  EXPECT_NE(differs.out.find("recorded: "), std::string::npos) << differs.out;
}

TEST_F(Recorded, ATornTailIsSaidAndTheRestIsPlayed) {
  Serve(5);
  std::string last = trace + ".000001";
  std::filesystem::resize_file(last, std::filesystem::file_size(last) - 3);
  Ran ran = Replay();
  EXPECT_EQ(ran.status, 0) << ran.out;
  EXPECT_NE(ran.out.find("ends in the middle of a chunk"), std::string::npos) << ran.out;
}

TEST_F(Recorded, WithoutATraceItSaysSo) {
  config = folder + "/config.json";
  std::ofstream(config) << Config(DeadPort(), DeadPort()).dump();
  trace = folder + "/none";
  Ran ran = Replay();
  EXPECT_EQ(ran.status, 2);
  EXPECT_NE(ran.out.find("there is no trace of this name"), std::string::npos) << ran.out;
}

}  // namespace
