// Scenarios on sockets, with real gateway processes, in a short form.
#include "rehearsal/socket_run.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <thread>

#include "checker/checker.h"
#include "rig/program.h"

namespace ivygw::rehearsal {
namespace {

namespace fs = std::filesystem;
using eventlog::Event;
using eventlog::EventKind;

class Folder {
 public:
  Folder() {
    char pattern[] = "/tmp/ivygw-rehearse-XXXXXX";
    path_ = mkdtemp(pattern);
  }
  ~Folder() { fs::remove_all(path_); }
  std::string path() const { return path_.string(); }

 private:
  fs::path path_;
};

scenario::Scenario Short(const std::string& name, double share, double rate) {
  scenario::Scenario s =
      scenario::LoadScenario(std::string(IVYGW_SCENARIOS) + "/" + name + ".toml").Shortened(share);
  s.load.rate = rate;  // little, so that a slow machine serves it too
  return s;
}

SocketRun Play(const scenario::Scenario& s, uint64_t seed = 1) {
  Folder folder;
  SocketOptions options;
  options.program = IVYGW;
  options.directory = folder.path();
  options.lead_s = 4;
  return PlaySockets(s, seed, options);
}

// What a machine that is late itself can't break: the gateway's rules but for its time limits are judged by
// order.
void ExpectKept(const eventlog::Record& record, bool late_machine) {
  checker::Verdict v = checker::Judge(record);
  for (const auto& b : v.breaks) {
    if (late_machine) continue;
    ADD_FAILURE() << b.t << " s: " << checker::RuleName(b.rule) << ": " << b.what;
  }
}
bool Late(const eventlog::Record& record) { return checker::Judge(record).late_max_s > 0.03; }

class OnSockets : public testing::TestWithParam<std::pair<const char*, double>> {};
TEST_P(OnSockets, KeepsTheRules) {
  scenario::Scenario s = Short(GetParam().first, GetParam().second, 60);
  SocketRun run = Play(s);
  bool late = Late(run.record);
  if (late) std::printf("the load generator ran late: rules with time limits are not judged\n");
  ExpectKept(run.record, late);
  checker::Verdict v = checker::Judge(run.record);
  EXPECT_GT(v.whole.served, v.whole.asked / 2);
  EXPECT_GT(v.whole.asked, 100u);
  EXPECT_FALSE(run.use.empty());
}
INSTANTIATE_TEST_SUITE_P(Each, OnSockets,
                         testing::Values(std::pair("calm", 0.25), std::pair("ocr-morning", 0.15),
                                         std::pair("half-failing-node", 0.25),
                                         std::pair("gateway-killed", 0.3), std::pair("counter-lost", 0.15),
                                         std::pair("discovery-silent", 0.2)),
                         [](const auto& tested) {
                           std::string name = tested.param.first;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

// Every kind of bad answer, at once and often: each request still gets its one answer.
TEST(SocketRun, OutlivesEveryKindOfBadAnswer) {
  scenario::Scenario s = Short("calm", 0.3, 60);
  using K = scenario::FaultKind;
  for (K kind :
       {K::kFastErrors, K::kTurnAway, K::kResetLate, K::kSpoilt, K::kCut, K::kEndless, K::kResetEarly}) {
    scenario::Fault f;
    f.kind = kind;
    f.at_s = 1;
    f.for_s = 4;
    f.nodes = 0.3;
    f.share = 0.2;
    s.faults.push_back(f);
  }
  SocketRun run = Play(s);
  ExpectKept(run.record, Late(run.record));
  std::set<std::string> seen;
  for (const Event& e : run.record.events) {
    if (e.kind == EventKind::kReply) seen.insert(e.text);
  }
  for (const char* how :
       {"served", "error", "not_started", "reset", "spoilt", "cut", "endless", "reset_early"}) {
    EXPECT_EQ(seen.count(how), 1u) << how;
  }
}

// The same day with the counter spoken to as Redis is: counted there, and quotas hold by it.
TEST(SocketRun, CountsThroughRedisCommands) {
  scenario::Scenario s = Short("calm", 0.25, 60);
  s.counter.redis = true;
  SocketRun run = Play(s);
  ExpectKept(run.record, Late(run.record));
  std::map<std::string, double> sums, totals;
  size_t answered = 0;
  for (const Event& e : run.record.events) {
    if (e.kind != EventKind::kCount || !e.flag) continue;
    ++answered;
    EXPECT_EQ(e.text.rfind("ivygw:", 0), 0u) << e.text;
    sums[e.text] += e.units;
    totals[e.text] = e.work;
  }
  EXPECT_GT(answered, 100u);
  for (const auto& [name, sum] : sums) EXPECT_NEAR(totals[name], sum, 1e-3) << name;
}

// A machine that vanishes says nothing: what is out there hangs, and new connections never come up.
TEST(SocketRun, AVanishedMachineIsSilentNotRefusing) {
  scenario::Scenario s = Short("calm", 0.35, 60);
  scenario::Fault f;
  f.kind = scenario::FaultKind::kVanish;
  f.at_s = 1;
  f.nodes = 0.3;
  s.faults.push_back(f);
  SocketRun run = Play(s);
  ExpectKept(run.record, Late(run.record));
  std::set<int> gone;
  int after = 0;
  for (const Event& e : run.record.events) {
    if (e.kind == EventKind::kNodeDown) {
      EXPECT_EQ(e.text, "vanished");
      gone.insert(e.node);
    }
    if (e.kind == EventKind::kArrive && gone.count(e.node) != 0) ++after;
    if (e.kind == EventKind::kReply && gone.count(e.node) != 0) ADD_FAILURE() << "it answered";
  }
  EXPECT_EQ(gone.size(), 4u);
  EXPECT_EQ(after, 0);
}

TEST(SocketRun, SaysSoWhereNoGatewayGetsReady) {
  Folder folder;
  SocketOptions options;
  options.program = "/bin/false";
  options.directory = folder.path();
  options.lead_s = 0.5;
  try {
    PlaySockets(Short("calm", 0.1, 10), 1, options);
    ADD_FAILURE() << "it played";
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find("was not ready"), std::string::npos) << error.what();
  }
}

// Out of descriptors: too few to begin with are named, and running out later voids the run and ends it as
// usual.
TEST(Rehearse, RunningOutOfDescriptorsIsItsOwnFault) {
  Folder folder;
  auto limited = [&](int limit, const std::string& more) {
    return rig::RunProgram(
        "/bin/sh", {"-c", "ulimit -n " + std::to_string(limit) +
                              "; exec " REHEARSE " calm --shorten 0.15 --out " + folder.path() + more});
  };
  rig::Ran few = limited(100, "");
  EXPECT_EQ(few.status, 2) << few.out;
  EXPECT_NE(few.out.find("descriptors at the least"), std::string::npos) << few.out;
  rig::Ran later = limited(240, " --rate 2000 --gateway-program /bin/false");
  EXPECT_EQ(later.status, 2) << later.out;
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "UBSan opens a pipe to look at an object's type, and there is no descriptor left for that";
#endif
  scenario::Scenario s = Short("calm", 0.15, 20);
  scenario::Stream crowd;  // more at once than there are descriptors
  crowd.plan = "enterprise";
  crowd.request_class = "quote";
  crowd.batch = 400;
  crowd.every_s = 1;
  crowd.at_s = 1;
  s.streams.push_back(crowd);
  pid_t pid = fork();
  if (pid == 0) {
    rlimit small{300, 300};
    setrlimit(RLIMIT_NOFILE, &small);
    SocketOptions options;
    options.program = IVYGW;
    options.directory = folder.path();
    options.lead_s = 4;
    SocketRun run = PlaySockets(s, 1, options);
    _exit(run.own_failures > 0 && run.most_descriptors <= 300 ? 0 : 9);
  }
  int status = 0;
  waitpid(pid, &status, 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

// Two at once on one machine: neither meets the other.
TEST(Rehearse, TwoRunAtOnceAndLeaveTheirReports) {
  Folder first, second;
  std::vector<std::string> common = {"calm", "--shorten", "0.15", "--rate", "40", "--out"};
  auto arguments = [&](const Folder& folder) {
    auto all = common;
    all.push_back(folder.path());
    return all;
  };
  rig::Ran one, two;
  std::thread other([&] { two = rig::RunProgram(REHEARSE, arguments(second)); });
  one = rig::RunProgram(REHEARSE, arguments(first));
  other.join();
  for (const auto& [ran, folder] : {std::pair(&one, &first), std::pair(&two, &second)}) {
    EXPECT_TRUE(ran->status == 0 || ran->status == 3)
        << ran->out;  // 3: the machine was too slow for its own load
    for (const char* file : {"record.jsonl", "report.json", "report.html", "n0.log", "n1.json"}) {
      EXPECT_TRUE(fs::exists(fs::path(folder->path()) / file)) << file;
    }
  }
  rig::Ran judged = rig::RunProgram(REHEARSE, {"--judge", first.path() + "/record.jsonl"});
  EXPECT_EQ(judged.status, one.status) << judged.out;
  EXPECT_NE(judged.out.find("rule one answer"), std::string::npos);
}

bool Gone(pid_t pid) { return kill(pid, 0) != 0; }

// Ctrl-C ends everything that was started, and keeps the record so far.
TEST(Rehearse, EndsEverythingOnCtrlC) {
  Folder folder;
  pid_t pid = fork();
  if (pid == 0) {
    int null = open("/dev/null", 1);
    dup2(null, 1);
    dup2(null, 2);
    std::string out = folder.path();
    execl(REHEARSE, REHEARSE, "calm", "--rate", "20", "--out", out.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  // Its gateways have said where they listen: they run.
  auto log = [&](const char* name) {
    std::ifstream in(folder.path() + "/" + name);
    return std::string(std::istreambuf_iterator<char>(in), {});
  };
  for (int i = 0; i < 6000 && (log("n0.log").empty() || log("n1.log").empty()); ++i) usleep(10000);
  std::vector<pid_t> gateways;
  std::string children = "/proc/" + std::to_string(pid) + "/task/" + std::to_string(pid) + "/children";
  std::ifstream in(children);
  for (pid_t child; in >> child;) gateways.push_back(child);
  EXPECT_EQ(gateways.size(), 2u);
  kill(pid, SIGINT);
  int status = 0;
  waitpid(pid, &status, 0);
  EXPECT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 130);
  for (pid_t child : gateways) EXPECT_TRUE(Gone(child));
  EXPECT_TRUE(fs::exists(folder.path() + "/record.jsonl"));
}

TEST(Rehearse, JudgesABrokenRecordWithOne) {
  Folder folder;
  std::string record = folder.path() + "/record.jsonl";
  rig::Ran ran = rig::RunProgram(REHEARSE, {"by-hand", "--virtual", "--out", folder.path()});
  ASSERT_EQ(ran.status, 0) << ran.out;
  std::ifstream in(record);
  std::string text, line;
  bool dropped = false;
  while (std::getline(in, line)) {
    if (!dropped && line.find("\"kind\":\"answer\"") != std::string::npos) {
      dropped = true;
      continue;
    }
    text += line + "\n";
  }
  std::ofstream(record) << text;
  rig::Ran judged = rig::RunProgram(REHEARSE, {"--judge", record});
  EXPECT_EQ(judged.status, 1);
  EXPECT_NE(judged.out.find("no answer"), std::string::npos) << judged.out;
}

TEST(Rehearse, SaysWhatIsWrongWithAScenario) {
  rig::TemporaryFile file("name = \"x\"\nduration_z = 3\n");
  rig::Ran ran = rig::RunProgram(REHEARSE, {file.path()});
  EXPECT_EQ(ran.status, 2);
  EXPECT_NE(ran.out.find(file.path() + ":"), std::string::npos) << ran.out;
  EXPECT_NE(rig::RunProgram(REHEARSE, {"no-such-scenario"}).out.find("no such scenario"), std::string::npos);
  EXPECT_EQ(rig::RunProgram(REHEARSE, {"ocr-morning", "--check"}).status, 0);
}

}  // namespace
}  // namespace ivygw::rehearsal
