// What operators do to a running gateway, over loopback sockets: calls, figures, bans, drains, upgrades.
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "rig/site_rig.h"

namespace {

using namespace rig;  // NOLINT

// All that an operator's call is answered with, to the end of its connection.
std::string Told(int port, const std::string& call) {
  auto wire = Wire::To(port);
  wire->Write(call + "\n");
  while (wire->More()) {
  }
  return wire->unread;
}

std::map<std::string, long> Vars(int port) {
  std::string text = Told(port, "vars");
  EXPECT_EQ(text.substr(0, 4), "+OK\n");
  EXPECT_EQ(text.substr(text.size() - 3), "\n.\n");
  std::map<std::string, long> figures;
  std::istringstream lines(text.substr(4));
  for (std::string line; std::getline(lines, line) && line != ".";) {
    figures[line.substr(0, line.find('='))] = std::atol(line.c_str() + line.find('=') + 1);
  }
  return figures;
}

json WithAdmin() {
  json config = Config(0, 0);
  config["admin"] = "127.0.0.1:0";
  return config;
}

int Ready(const Process& gateway) {
  return Ask(*gateway.Connect(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
}

// Asked until it says so; an event that never comes fails the test.
template <typename Holds>
bool Comes(Holds holds) {
  for (int i = 0; i < kLimitS * 100; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

class Directory {
 public:
  Directory() {
    char name[] = "/tmp/ivygw-shared-XXXXXX";
    path = mkdtemp(name);
  }
  ~Directory() { std::filesystem::remove_all(path); }
  std::string path;
};

// A clients' listening socket, held as the platform holds it.
class HeldSocket {
 public:
  HeldSocket() {
    sockaddr_in at;
    fd = Loopback(&at, 0);
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
    EXPECT_EQ(listen(fd, 256), 0);
    socklen_t size = sizeof(at);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
  }
  ~HeldSocket() { close(fd); }
  int fd = -1, port = 0;
};

TEST(Operators, EachCallIsAnsweredAndEachFaultNamed) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}), WithAdmin());
  int admin = site.gateway->admin;
  EXPECT_EQ(Told(admin, "check"), "+OK\n");
  EXPECT_EQ(Told(admin, "check\r"), "+OK\n");
  EXPECT_EQ(Told(admin, "restart"), "-ERR no such call: restart\n");
  EXPECT_EQ(Told(admin, "set-down"), "-ERR set-down lacks the backend's id\n");
  EXPECT_EQ(Told(admin, "set-down s9"), "-ERR never listed: s9\n");
  EXPECT_EQ(Told(admin, "set-up s9"), "-ERR never listed: s9\n");
  EXPECT_EQ(Told(admin, "set-up s1"), "+OK\n") << "not banned, and listed";
  EXPECT_EQ(Told(admin, "drain-off"), "+OK\n") << "not drained";
  EXPECT_EQ(Told(admin, std::string(4000, 'x')), "-ERR the call is longer than 512 bytes\n");
  auto pieces = Wire::To(admin);
  for (char c : std::string("check\n")) pieces->Write(std::string(1, c));
  while (pieces->More()) {
  }
  EXPECT_EQ(pieces->unread, "+OK\n");
}

TEST(Operators, SilentCallersCrowdNobodyOut) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}), WithAdmin());
  std::vector<std::unique_ptr<Wire>> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(Wire::To(site.gateway->admin));
    if (i % 2 == 0) silent.back()->Write("va");
  }
  EXPECT_EQ(Told(site.gateway->admin, "check"), "+OK\n");
  EXPECT_FALSE(silent.front()->Open()) << "the longest silent made room";
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
}

// Every figure against what scripted clients and backends saw.
TEST(Operators, FiguresAreWhatClientsAndBackendsSaw) {
  std::atomic<int> mode{0};
  Event held, go;
  Backend backend([&](const Message&, Wire& wire) -> std::string {
    switch (mode.load()) {
      case 1: return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
      case 2: return "";  // a reset
      case 3:
        held.Add();
        go.Wait();
        return Ok("x");
      case 4: held.Add(); return wire.Ended(), "";
      default: return Ok("x");
    }
  });
  Site site(json::array({Entry("s1", backend.port())}), WithAdmin());
  int admin = site.gateway->admin;
  std::map<std::string, long> none = Vars(admin);
  for (const char* figure :
       {"success.quote", "busy.quote", "failure.quote", "success.save-scenario", "busy.send-lead",
        "failure.send-lead", "backend_calls", "inflight", "hosts_down"}) {
    ASSERT_EQ(none.count(figure), 1u) << figure;
    EXPECT_EQ(none[figure], 0) << figure;
  }
  EXPECT_EQ(none["hosts_listed"], 1);
  std::map<std::string, long> seen;
  auto ask = [&](const std::string& cls, const std::string& request) {
    int status = Ask(*site.gateway->Connect(), request).status();
    ++seen[(status == 200 ? "success." : status == 429 || status == 503 ? "busy." : "failure.") + cls];
  };
  for (int i = 0; i < 5; ++i) ask("send-lead", Request("send-lead"));
  for (int i = 0; i < 3; ++i) ask("quote", Request("quote"));
  mode = 1;
  ask("send-lead", Request("send-lead"));
  mode = 2;
  ask("send-lead", Request("send-lead"));
  mode = 0;
  ask("quote",
      "POST /quote HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");  // bad input, its class is known
  mode = 3;
  auto waiting = site.gateway->Connect();
  waiting->Write(Request("quote"));
  ASSERT_TRUE(held.Wait());
  EXPECT_EQ(Vars(admin)["inflight"], 1);
  go.Add();
  ++seen[waiting->Read().status() == 200 ? "success.quote" : "failure.quote"];
  mode = 4;
  auto leaving = site.gateway->Connect();
  leaving->Write(Request("quote"));
  ASSERT_TRUE(held.Wait(2));
  leaving->Close();  // abandoned: not counted
  EXPECT_TRUE(Comes([&] { return Vars(admin)["inflight"] == 0; }));
  mode = 0;
  for (int i = 0; i < 60; ++i) ask("save-scenario", Request("save-scenario"));  // past the quota
  EXPECT_GT(seen["busy.save-scenario"], 0);
  std::map<std::string, long> figures = Vars(admin);
  for (const char* cls : {"quote", "save-scenario", "send-lead"}) {
    for (const char* outcome : {"success.", "busy.", "failure."}) {
      EXPECT_EQ(figures[outcome + std::string(cls)], seen[outcome + std::string(cls)]) << outcome << cls;
    }
  }
  EXPECT_EQ(figures["backend_calls"], backend.requests.count());
  site.gateway->Reload("{");
  EXPECT_TRUE(Comes([&] { return Vars(admin)["reloads_failed"] == 1; }));
}

TEST(Operators, ABannedBackendGetsNothingWhateverDiscoverySays) {
  Backend one(Says(Ok("one"))), two(Says(Ok("two")));
  json both = json::array({Entry("s1", one.port()), Entry("s2", two.port())});
  Site site(both, WithAdmin());
  int admin = site.gateway->admin;
  auto client = site.gateway->Connect();
  EXPECT_EQ(Told(admin, "set-down s1"), "+OK\n");
  EXPECT_EQ(Told(admin, "set-down s1"), "+OK\n");
  EXPECT_EQ(Vars(admin)["hosts_down"], 1);
  EXPECT_EQ(Vars(admin)["hosts_listed"], 2);
  json fresh = both;
  fresh[0]["since_ms"] = 1;
  for (const json& list : {both, fresh, json::array({both[1]}), both}) {
    site.discovery.Set(list);
    EXPECT_TRUE(site.discovery.Told());
    for (int i = 0; i < 5; ++i) EXPECT_EQ(Ask(*client, Request("quote")).body, "two");
  }
  EXPECT_EQ(one.requests.count(), 0);
  EXPECT_EQ(Told(admin, "set-down s2"), "+OK\n") << "all of them";
  EXPECT_EQ(Ask(*client, Request("quote")).status(), 503) << "refused at once";
  EXPECT_EQ(Told(admin, "set-up s2"), "+OK\n");
  EXPECT_EQ(Told(admin, "set-up s1"), "+OK\n") << "a single call back";
  EXPECT_EQ(Vars(admin)["hosts_down"], 0);
  EXPECT_TRUE(
      Comes([&] { return Ask(*client, Request("quote")).status() == 200 && one.requests.count() > 0; }));
}

TEST(Operators, DrainEmptiesTheGatewayAndBack) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}), WithAdmin());
  int admin = site.gateway->admin;
  auto busy = site.gateway->Connect(), idle = site.gateway->Connect();
  EXPECT_EQ(Ask(*busy, Request("quote")).status(), 200);
  EXPECT_EQ(Ask(*idle, Request("quote")).status(), 200);
  EXPECT_EQ(Told(admin, "drain-on"), "+OK\n");
  EXPECT_EQ(Told(admin, "drain-on"), "+OK\n");
  EXPECT_EQ(Ready(*site.gateway), 503);
  EXPECT_EQ(Told(admin, "check"), "+OK\n") << "the process still takes who comes";
  Message last = Ask(*busy, Request("quote"));
  EXPECT_EQ(last.status(), 200);
  EXPECT_EQ(last.Header("Connection"), "close");
  EXPECT_TRUE(busy->Ended());
  EXPECT_TRUE(idle->Ended()) << "with no request on it it is closed a little later";
  Message late = Ask(*site.gateway->Connect(), Request("quote"));
  EXPECT_EQ(late.status(), 200) << "who comes late is served";
  EXPECT_EQ(Told(admin, "drain-off"), "+OK\n");
  EXPECT_EQ(Ready(*site.gateway), 200);
  auto again = site.gateway->Connect();
  EXPECT_EQ(Ask(*again, Request("quote")).Header("Connection"), "");
  EXPECT_EQ(Ask(*again, Request("quote")).status(), 200) << "kept";
}

// A gateway on a socket that is held for it, with s1 banned, and further processes of it.
class Upgrade : public testing::Test {
 protected:
  Upgrade() { EXPECT_EQ(Told(site.gateway->admin, "set-down s1"), "+OK\n"); }
  json Listening() const {
    json config = WithAdmin();
    config["listen"] = "127.0.0.1:" + std::to_string(socket.port);
    return config;
  }
  std::unique_ptr<Process> Another() {
    json config = Listening();
    config["discovery"] = "127.0.0.1:" + std::to_string(site.discovery.port());
    config["counter"] = "127.0.0.1:" + std::to_string(site.counter.port());
    auto fresh = std::make_unique<Process>(config, IVYGW, 0, environment, socket.fd);
    EXPECT_NE(fresh->admin, 0) << fresh->line;
    EXPECT_TRUE(Comes([&] { return Told(fresh->admin, "check") == "+OK\n"; }));
    return fresh;
  }
  HeldSocket socket;
  Directory shared;
  const std::map<std::string, std::string> environment = {{"LB_LISTEN_FD", "3"}, {"TMPDIR", shared.path}};
  Backend one{Says(Ok("one"))}, two{Says(Ok("two"))};
  Site site{json::array({Entry("s1", one.port()), Entry("s2", two.port())}),
            Listening(),
            IVYGW,
            0,
            environment,
            socket.fd};
};

// Two processes on one socket under requests; the old one gets SIGTERM when the new one says yes.
TEST_F(Upgrade, AnUpgradeLosesNoRequestAndKeepsWhatWasSaid) {
  std::atomic<bool> stop{false};
  std::atomic<int> served{0}, wrong{0}, unanswered{0}, banned{0};
  std::thread clients([&] {
    std::unique_ptr<Wire> wire;
    while (!stop) {
      bool fresh = wire == nullptr;
      if (fresh) wire = Wire::To(socket.port);
      Message answer = Ask(*wire, Request("quote"));
      // A kept connection may be closed as the request crosses; on a fresh one an answer is owed.
      if (answer.status() == 0) unanswered += fresh;
      served += answer.status() == 200;
      wrong += answer.status() != 200 && answer.status() != 429 && answer.status() != 0;
      banned += answer.body == "one";
      if (answer.status() == 0 || answer.Header("Connection") == "close") wire.reset();
    }
  });
  for (int upgrade = 0; upgrade < 3; ++upgrade) {
    auto fresh = Another();
    EXPECT_EQ(Vars(fresh->admin)["hosts_down"], 1) << "the ban holds over the upgrade";
    if (upgrade == 1) {  // a word to either binds both
      EXPECT_EQ(Told(fresh->admin, "drain-on"), "+OK\n");
      EXPECT_TRUE(Comes([&] { return Ready(*site.gateway) == 503; }));
      EXPECT_EQ(Told(site.gateway->admin, "drain-off"), "+OK\n");
      EXPECT_TRUE(Comes([&] { return Ready(*site.gateway) == 200; }));
    }
    site.gateway->Signal(SIGTERM);
    EXPECT_EQ(site.gateway->Exit(), 0);
    EXPECT_EQ(Ready(*fresh), 200) << "the gateway was never away";
    site.gateway = std::move(fresh);
    int before = served;
    EXPECT_TRUE(Comes([&] { return served > before + 3 || wrong > 0; }));
  }
  EXPECT_EQ(Told(site.gateway->admin, "set-up s1"), "+OK\n");
  stop = true;
  clients.join();
  EXPECT_EQ(unanswered, 0);
  EXPECT_EQ(wrong, 0);
  EXPECT_EQ(banned, 0);
  EXPECT_GT(served, 0);
}

// Either process of an upgrade may die at once: the other serves, and what was said holds.
TEST_F(Upgrade, EitherProcessOfAnUpgradeMayBeKilled) {
  auto serves = [&] {
    for (int i = 0; i < 4; ++i) {
      Message answer = Ask(*Wire::To(socket.port), Request("quote"));
      EXPECT_EQ(answer.status(), 200);
      EXPECT_EQ(answer.body, "two");
    }
  };
  {  // the new one, after its yes
    auto fresh = Another();
    fresh->Signal(SIGKILL);
    EXPECT_EQ(fresh->Exit(), -SIGKILL);
  }
  serves();
  auto fresh = Another();
  site.gateway->Signal(SIGKILL);  // the old one, without a word
  EXPECT_EQ(site.gateway->Exit(), -SIGKILL);
  site.gateway = std::move(fresh);
  serves();
  EXPECT_EQ(one.requests.count(), 0);
  EXPECT_EQ(Told(site.gateway->admin, "set-up s1"), "+OK\n");
  EXPECT_TRUE(Comes([&] {
    return Ask(*Wire::To(socket.port), Request("quote")).status() == 200 && one.requests.count() > 0;
  }));
}

// A file of the directory that is torn or of another form: one line in the log, and the gateway serves.
TEST(Operators, SpoiltFilesOfTheSharedDirectoryChangeNothing) {
  HeldSocket socket;
  Directory shared;
  std::map<std::string, std::string> environment = {{"LB_LISTEN_FD", "3"}, {"TMPDIR", shared.path}};
  std::string torn = "{\"version\":1,\"gateway\":\"n0\"";
  std::ofstream(shared.path + "/ivygw-n0-learned.json") << torn;
  Backend one(Says(Ok("one")));
  json config = WithAdmin();
  config["listen"] = "127.0.0.1:" + std::to_string(socket.port);
  Site site(json::array({Entry("s1", one.port())}), config, IVYGW, 0, environment, socket.fd);
  EXPECT_TRUE(Comes([&] { return Told(site.gateway->admin, "check") == "+OK\n"; }));
  std::ofstream(shared.path + "/ivygw-n0-operators.json") << torn;
  EXPECT_EQ(Ask(*Wire::To(socket.port), Request("quote")).status(), 200);
  EXPECT_EQ(Told(site.gateway->admin, "set-down s1"), "+OK\n") << "written anew";
  EXPECT_TRUE(std::filesystem::exists(shared.path + "/ivygw-n0-operators.json.bad"));
  site.gateway->Signal(SIGTERM);
  EXPECT_EQ(site.gateway->Exit(), 0);
  EXPECT_NE(site.gateway->rest.find("learned anew"), std::string::npos);
}

// A new process that has no list yet takes nobody from the shared socket, and says so.
TEST(Operators, AnInheritedSocketIsLeftToOthersUntilThisProcessCanServe) {
  HeldSocket socket;
  Directory shared;
  std::map<std::string, std::string> environment = {{"LB_LISTEN_FD", "3"}, {"TMPDIR", shared.path}};
  Backend backend(Says(Ok("x")));
  Discovery late;
  late.Silence(true);
  late.Set(json::array({Entry("s1", backend.port())}));
  Counter counter{[](const std::string&, double) { return Bulk("0"); }};
  json config = Config(late.port(), counter.port());
  config["listen"] = "127.0.0.1:" + std::to_string(socket.port);
  config["admin"] = "127.0.0.1:0";
  Process gateway(config, IVYGW, 0, environment, socket.fd);
  EXPECT_EQ(Told(gateway.admin, "check"), "-ERR it takes no clients\n");
  auto waiting = Wire::To(socket.port);
  waiting->Write(Request("quote"));
  late.Silence(false);
  EXPECT_EQ(waiting->Read().status(), 200);
  EXPECT_EQ(Told(gateway.admin, "check"), "+OK\n");
}

TEST(Operators, AnInheritedDescriptorThatIsNoSuchSocketIsOneClearError) {
  HeldSocket socket;
  json config = Config(1, 1);
  auto line = [&](int fd, const std::string& named) {
    Process process(config, IVYGW, 0, {{"LB_LISTEN_FD", named}}, fd);
    EXPECT_EQ(process.Exit(), 1);
    return process.line;
  };
  EXPECT_EQ(line(socket.fd, "3"),
            "ivygw: LB_LISTEN_FD=3 does not listen on the address in the configuration");
  EXPECT_EQ(line(-1, "3"), "ivygw: LB_LISTEN_FD=3 is no listening socket");
  EXPECT_EQ(line(1, "3"), "ivygw: LB_LISTEN_FD=3 is no listening socket");
  EXPECT_EQ(line(socket.fd, "three"), "ivygw: LB_LISTEN_FD is no descriptor: three");
}

}  // namespace
