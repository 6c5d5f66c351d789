// Whole core machines (registry and store) in one event loop, over loopback and with real disks: what they
// answer to calls at their doors, and what a gateway's copy is told. Nothing sleeps: the loop runs until a
// condition holds, or a bound has passed.
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config_store/store.h"
#include "control_client/core_connections.h"
#include "discovery/table_cache.h"
#include "messages/codec.h"
#include "registry/registry.h"
#include "rig/run_until.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using discovery::Table;

namespace {

constexpr int kFirstPort = 7400, kDoorPort = 7402;
constexpr double kBound = 15;  // s, for what should come soon

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Addresses of loopback that no other process of these tests uses.
std::string Address(int machine) {
  int process = static_cast<int>(getpid());
  return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(process % 250) + "." +
         std::to_string(machine);
}

std::string Route(const std::string& name, const std::string& version, int timeout_ms) {
  return R"({"name":")" + name + R"(","host_name":"h.example","path_prefix":"/)" + name +
         R"(/","route_type":"idempotent","timeout_ms":)" + std::to_string(timeout_ms) +
         R"(,"target_service":"s1","config_version":")" + version + "\"}";
}
std::string Call(const std::string& route) {
  return R"({"upsert_items":{"route_table":[)" + route +
         R"(],"service_table":[{"name":"s1","health_path":"/h","config_version":"00000001"}]}})";
}
std::string Beat(const std::string& state, int sequence) {
  return R"({"target_service":"s1","address":"10.0.0.9:80","zone":"z","slot_count":2,"oper_state":")" +
         state + R"(","warmup_left_ms":0,"call_sequence":)" + std::to_string(sequence) + "}";
}

struct Reply {
  int status = 0;  // 0: none came
  std::string body;
  double took = 0;  // s
};

struct World {
  World() {
    char name[] = "/tmp/ivygw_cores.XXXXXX";
    folder = mkdtemp(name);
  }
  ~World() {
    gateway.reset();
    for (int machine = 1; machine <= 4; ++machine) Stop(machine);
    RunFor(0.01);
    std::filesystem::remove_all(folder);
  }
  bool RunUntil(const std::function<bool()>& condition, double bound = kBound) {
    return ivygw::RunUntil(io, condition, bound);
  }
  void RunFor(double seconds) {
    RunUntil([] { return false; }, seconds);
  }

  process::Settings SettingsOf(int machine, bool initial_boot) const {
    process::Settings settings;
    settings.node = "m" + std::to_string(machine);
    settings.ip = Address(machine);
    settings.zone = "z";
    settings.control_plane = Address(machine) + ":" + std::to_string(kDoorPort);
    settings.first_port = kFirstPort;
    for (int seed = 1; seed <= 3; ++seed)
      settings.seeds.push_back(Address(seed) + ":" + std::to_string(kDoorPort));
    settings.initial_boot = initial_boot;
    settings.data_directory = folder + "/" + settings.node;
    return settings;
  }
  void Start(int machine, bool initial_boot = false) {
    process::Settings settings = SettingsOf(machine, initial_boot);
    std::filesystem::create_directories(settings.data_directory);
    stores[machine] = std::make_unique<config_store::Store>(io, settings);
    registries[machine] = std::make_unique<registry::Registry>(io, settings);
  }
  void Stop(int machine) {
    if (registries.count(machine) == 0) return;
    registries.at(machine)->Stop([] {});
    RunFor(0.02);  // the door's connections hold memory of the registry until they have ended
    registries.erase(machine);
    stores.erase(machine);
  }
  void Wipe(int machine) { std::filesystem::remove_all(SettingsOf(machine, false).data_directory); }
  void StartThree() {
    for (int machine : {1, 2, 3}) Start(machine, true);
    for (int machine : {1, 2, 3}) CHECK(RunUntil([&] { return HasQuorumContact(machine); }));
  }
  bool HasQuorumContact(int machine) {
    return stores.at(machine)->node().HasQuorumContact() && registries.at(machine)->node().HasQuorumContact();
  }
  // Whether that machine goes by these members, in both tables.
  bool HasMembers(int machine, std::vector<int> members) {
    for (const replicated_table::CoreNode* node :
         {&stores.at(machine)->node(), &registries.at(machine)->node()}) {
      const auto& held = node->replica().membership().members;
      if (held.size() != members.size()) return false;
      for (size_t i = 0; i < members.size(); ++i) {
        if (held[i].address != Address(members[i])) return false;
      }
    }
    return true;
  }

  Reply Ask(int machine, const std::string& call, const std::string& body) {
    Reply reply;
    double began = Now();
    tcp::socket socket(io);
    std::string request =
        "POST /ivygw/rpc?call=" + call +
        " HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    std::string text;
    bool ended = false;
    tcp::endpoint door(asio::ip::make_address(Address(machine)), kDoorPort);
    socket.async_connect(door, [&](error_code error) {
      if (error) return void(ended = true);
      asio::async_write(socket, asio::buffer(request), [&](error_code failed, size_t) {
        if (failed) return void(ended = true);
        asio::async_read(socket, asio::dynamic_buffer(text), [&](error_code, size_t) { ended = true; });
      });
    });
    bool answered = RunUntil([&] { return ended; }, 3);
    reply.took = Now() - began;
    if (!answered) {
      socket.close();
      RunUntil([&] { return ended; });
    }
    if (text.size() > 12) reply.status = std::atoi(text.c_str() + 9);
    if (size_t end = text.find("\r\n\r\n"); end != std::string::npos) reply.body = text.substr(end + 4);
    return reply;
  }
  Reply Modify(int machine, const std::string& body) { return Ask(machine, "configuration.modify", body); }
  Reply Show(int machine) { return Ask(machine, "configuration.show", ""); }
  Reply Tell(int machine, const std::string& state, int sequence) {
    return Ask(machine, "backends.heartbeat&of=b1", Beat(state, sequence));
  }
  // As callers do: until an answer is clear.
  Reply ModifyUntilClear(int machine, const std::string& body) {
    Reply reply;
    RunUntil([&] {
      reply = Modify(machine, body);
      return reply.status != 503;
    });
    return reply;
  }

  // A gateway's copies of both tables, which live on while its connections come and go.
  struct Gateway {
    Gateway() {
      journal.Attach([this](const discovery::ItemChange& event) {
        uint64_t& version = versions[event.item.key];
        if (event.item.version < version) went_back = true;
        version = event.item.version;
        live[event.item.key] = !event.item.dropped;
      });
    }
    void Connect(World* world) {
      process::Settings settings = world->SettingsOf(9, false);
      control_client::CoreConnections::Events events;
      events.push = [this](Table table, const std::string&, const messages::Push& push) {
        CopyOf(table).OnPush(Now(), push);
        journal.Run();
      };
      events.state = [this](Table table, const std::string&, const messages::CoreStatus& state) {
        CopyOf(table).OnStatus(Now(), state);
        ends += state.list_revision > 0;
        journal.Run();
      };
      events.grants = [](const std::string&, const messages::QuotaGrants&) {};
      events.registry = [](const std::string&, bool) {};
      events.digests = [this](Table table) { return CopyOf(table).digests(); };
      subscribers = std::make_unique<control_client::CoreConnections>(world->io, settings, std::move(events));
    }
    discovery::TableCache& CopyOf(Table table) {
      return table == Table::kBackends ? backends : configuration;
    }
    discovery::Journal<discovery::ItemChange> journal;
    discovery::TableCache configuration{Table::kConfiguration, &journal},
        backends{Table::kBackends, &journal};
    std::map<std::string, uint64_t> versions;
    std::map<std::string, bool> live;
    std::unique_ptr<control_client::CoreConnections> subscribers;
    bool went_back = false;
    int ends = 0;  // lists
  };

  std::string folder;
  asio::io_context io{1};
  std::map<int, std::unique_ptr<config_store::Store>> stores;
  std::map<int, std::unique_ptr<registry::Registry>> registries;
  std::unique_ptr<Gateway> gateway;
};

}  // namespace

TEST_GROUP(CoreMachines){};

TEST(CoreMachines, AnOrderIsConfirmedOnceAndReadBackAtEveryCore) {
  World world;
  world.StartThree();
  CHECK_EQUAL(503, world.Show(1).status);  // nothing stands yet
  CHECK_EQUAL(200, world.ModifyUntilClear(1, Call(Route("r1", "00000007", 100))).status);
  Reply conflict = world.Modify(2, Call(Route("r1", "00000007", 200)));
  CHECK_EQUAL(409, conflict.status);
  CHECK(conflict.body.find("route_table/r1") != std::string::npos);
  CHECK_EQUAL(200, world.ModifyUntilClear(3, Call(Route("r1", "00000007", 100))).status);  // the first again
  Reply invalid = world.Modify(
      3, R"({"upsert_items":{"route_table":[)" + Route("r2", "00000008", 100) +
             R"(]},"remove_items":{"service_table":[{"name":"s1","config_version":"00000009"}]}})");
  CHECK_EQUAL(400, invalid.status);
  CHECK(invalid.body.find("target_service") != std::string::npos);
  for (int machine : {1, 2, 3}) {
    Reply shown = world.Show(machine);
    CHECK_EQUAL(200, shown.status);
    CHECK(shown.body.find("\"timeout_ms\":100") != std::string::npos);
    CHECK(shown.body.find("r2") == std::string::npos);
  }
}

TEST(CoreMachines, ACoreThatRestartsOrWasWipedIsAMemberAgainAndHoldsWhatWasConfirmed) {
  World world;
  world.StartThree();
  CHECK_EQUAL(200, world.ModifyUntilClear(1, Call(Route("r1", "00000007", 100))).status);
  world.Stop(3);
  CHECK_EQUAL(200, world.ModifyUntilClear(2, Call(Route("r1", "00000008", 101))).status);
  world.Start(3);
  CHECK(world.RunUntil([&] { return world.HasQuorumContact(3); }));
  CHECK(world.Show(3).body.find("\"timeout_ms\":101") != std::string::npos);
  uint64_t epoch = world.stores.at(1)->node().replica().membership().epoch;
  world.Stop(3);
  world.Wipe(3);
  world.Start(3);
  CHECK(world.RunUntil([&] {
    return world.HasQuorumContact(3) && world.stores.at(3)->node().replica().IsMember() &&
           world.registries.at(3)->node().replica().IsMember();
  }));
  CHECK(world.stores.at(3)->node().replica().membership().epoch > epoch);
  CHECK(world.HasMembers(3, {1, 2, 3}));
  // It counts: another may go now.
  world.Stop(1);
  CHECK(world.Show(3).body.find("\"timeout_ms\":101") != std::string::npos);
  CHECK_EQUAL(200, world.ModifyUntilClear(3, Call(Route("r1", "00000009", 102))).status);
}

// A change whose body is still coming when the machine is told to end: it is decided and answered, then the
// two roles end, and a second SIGTERM doesn't cut that short.
TEST(CoreMachines, ACallInHandIsAnsweredBeforeAPlannedEnd) {
  World world;
  world.StartThree();
  std::string body = Call(Route("r1", "00000007", 100));
  std::string head =
      "POST /ivygw/rpc?call=configuration.modify HTTP/1.1\r\nHost: control\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
  tcp::socket socket(world.io);
  socket.connect({asio::ip::make_address(Address(1)), kDoorPort});
  asio::write(socket, asio::buffer(head + body.substr(0, 20)));
  world.RunFor(0.1);
  bool registry_ended = false, store_ended = false;
  world.registries.at(1)->Stop([&] { registry_ended = true; });
  world.registries.at(1)->Stop([] { FAIL("told twice"); });
  world.RunFor(0.15);
  CHECK_FALSE(registry_ended);
  asio::write(socket, asio::buffer(body.substr(20)));
  world.RunFor(0.001);
  world.stores.at(1)->Stop([&] { store_ended = true; });
  std::string text;
  bool closed = false;
  asio::async_read(socket, asio::dynamic_buffer(text), [&](error_code, size_t) { closed = true; });
  CHECK(world.RunUntil([&] { return registry_ended && store_ended && closed; }, 3));
  CHECK_EQUAL(std::string("HTTP/1.1 200"), text.substr(0, 12));
  CHECK(text.find("Connection: close") != std::string::npos);
  CHECK(world.Show(2).body.find("r1") != std::string::npos);
}

// Callers that never finish a call, or never read their answer, don't hold up the end.
TEST(CoreMachines, ACallThatDoesntComeDoesntHoldUpAPlannedEnd) {
  World world;
  world.StartThree();
  tcp::socket socket(world.io);
  socket.connect({asio::ip::make_address(Address(1)), kDoorPort});
  asio::write(
      socket,
      asio::buffer(std::string(
          "POST /ivygw/rpc?call=configuration.modify HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{")));
  world.RunFor(0.1);
  bool ended = false;
  double began = Now();
  world.registries.at(1)->Stop([&] { ended = true; });
  CHECK(world.RunUntil([&] { return ended; }, 4));
  CHECK(Now() - began < 3);
}

// Guards against calls whose bodies never end and fill the registry's memory: each held up to 33 MiB, and
// nothing bounded them together.
TEST(CoreMachines, CallsThatAreNotWholeStayWithinTheRegistrysMemory) {
  World world;
  world.StartThree();
  const size_t length = size_t{12} << 20;
  const std::string head =
      "POST /ivygw/rpc?call=configuration.modify HTTP/1.1\r\nHost: control\r\nContent-Length: " +
      std::to_string(length) + "\r\n\r\n";
  const std::string sent = head + std::string(length - 1, ' ');
  struct Caller {
    tcp::socket socket;
    std::string answer;
    bool refused = false;
  };
  std::vector<std::shared_ptr<Caller>> callers;
  for (int i = 0; i < 8; ++i) {
    auto caller = std::make_shared<Caller>(Caller{tcp::socket(world.io), "", false});
    caller->socket.connect({asio::ip::make_address(Address(1)), kDoorPort});
    asio::async_write(caller->socket, asio::buffer(sent), [caller](error_code, size_t) {});
    asio::async_read_until(
        caller->socket, asio::dynamic_buffer(caller->answer), "\r\n\r\n",
        [caller](error_code, size_t) { caller->refused = caller->answer.find(" 503 ") == 8; });
    callers.push_back(caller);
  }
  auto refused = [&] {
    return std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller->refused; });
  };
  CHECK(world.RunUntil([&] { return refused() >= 6; }));  // 32 MiB hold two of them
  CHECK_EQUAL(200, world.Tell(1, "ready", 1).status);
  for (const auto& caller : callers) caller->socket.close();
  std::string too_long = Call(Route("r1", "00000007", 100)) + std::string(size_t{17} << 20, ' ');
  CHECK_EQUAL(413, world.Modify(1, too_long).status);
  CHECK_EQUAL(200, world.ModifyUntilClear(1, Call(Route("r1", "00000007", 100))).status);
}

namespace {

// Somebody at a core's internal port, who sends a part of a frame and keeps the connection alive with a byte
// now and then.
class PeerWithAPartOfAFrame : public std::enable_shared_from_this<PeerWithAPartOfAFrame> {
 public:
  PeerWithAPartOfAFrame(asio::io_context& io, std::string sent)
      : sent_(std::move(sent)), socket_(io), timer_(io) {}
  void Start(const std::string& address) {
    socket_.connect({asio::ip::make_address(address), kFirstPort});
    asio::async_write(socket_, asio::buffer(sent_), [self = shared_from_this()](error_code error, size_t) {
      if (!error) self->SendOneByte();
    });
    asio::async_read(socket_, asio::dynamic_buffer(received_),
                     [self = shared_from_this()](error_code, size_t) { self->closed_ = true; });
  }
  void Stop() {
    timer_.cancel();
    socket_.close();
  }
  bool closed() const { return closed_; }

 private:
  void SendOneByte() {
    timer_.expires_after(std::chrono::milliseconds(200));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled) return;
      asio::async_write(self->socket_, asio::buffer(" ", 1), [self](error_code error, size_t) {
        if (!error) self->SendOneByte();
      });
    });
  }
  const std::string sent_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string received_;
  bool closed_ = false;
};

std::string PartOfAFrame(uint32_t length, size_t sent) {
  std::string frame;
  for (int shift : {24, 16, 8, 0}) frame += static_cast<char>(length >> shift);
  return frame + std::string(sent, ' ');
}

}  // namespace

// Guards against frames of peers that never end and fill a core's memory: each connection held up to 32 MiB,
// and nothing bounded them together.
TEST(CoreMachines, FramesThatAreNotWholeStayWithinTheMemory) {
  World world;
  world.StartThree();
  messages::Hello hello;
  hello.role = "proxy";
  std::string sent = messages::Encode(hello) + PartOfAFrame(uint32_t{30} << 20, size_t{12} << 20);
  std::vector<std::shared_ptr<PeerWithAPartOfAFrame>> peers;
  for (int i = 0; i < 8; ++i) {
    peers.push_back(std::make_shared<PeerWithAPartOfAFrame>(world.io, sent));
    peers.back()->Start(Address(1));
  }
  auto closed = [&] {
    return std::count_if(peers.begin(), peers.end(), [](const auto& peer) { return peer->closed(); });
  };
  CHECK(world.RunUntil([&] { return closed() >= 3; }, 5));  // a quarter of 256 MB holds five of them
  CHECK_EQUAL(200, world.ModifyUntilClear(1, Call(Route("r1", "00000007", 100))).status);
  CHECK(world.HasQuorumContact(1));
  for (const auto& peer : peers) peer->Stop();
}

// Guards against long frames of whoever connects to a core's internal port: 32 MiB before it said who it is.
TEST(CoreMachines, APeerThatHasNotSaidWhoItIsSendsNoLongFrame) {
  World world;
  world.StartThree();
  auto peer = std::make_shared<PeerWithAPartOfAFrame>(world.io, PartOfAFrame(uint32_t{1} << 20, 1000));
  peer->Start(Address(1));
  CHECK(world.RunUntil([&] { return peer->closed(); }, 5));
}

TEST(CoreMachines, AFourthCoreTakesThePlaceOfOneThatIsGone) {
  World world;
  world.StartThree();
  world.Start(4);
  CHECK(world.RunUntil([&] { return world.HasQuorumContact(4); }));
  CHECK(!world.stores.at(4)->node().replica().IsMember());
  CHECK_EQUAL(200, world.ModifyUntilClear(4, Call(Route("r1", "00000007", 100))).status);  // it takes calls
  world.Stop(2);
  CHECK(world.RunUntil([&] { return world.HasMembers(1, {1, 3, 4}) && world.HasMembers(4, {1, 3, 4}); }));
  world.Stop(1);
  CHECK(world.RunUntil([&] { return world.Show(4).status == 200; }));
  // The one that was replaced holds nothing to be true, and stands by.
  world.Start(1);
  world.Start(2);
  CHECK(world.RunUntil([&] { return world.HasQuorumContact(2) && world.HasMembers(2, {1, 3, 4}); }));
  CHECK(!world.stores.at(2)->node().replica().IsMember());
}

TEST(CoreMachines, OneThatIsAloneAnswersWithinASecondThatItTakesNothing) {
  World world;
  world.StartThree();
  CHECK_EQUAL(200, world.ModifyUntilClear(1, Call(Route("r1", "00000007", 100))).status);
  CHECK(world.RunUntil([&] { return world.Tell(1, "ready", 1).status == 200; }));
  world.gateway = std::make_unique<World::Gateway>();
  world.gateway->Connect(&world);
  CHECK(world.RunUntil([&] { return world.gateway->configuration.complete(); }));
  world.Stop(2);
  world.Stop(3);
  // Whenever the others went: a caller is never left waiting, and nothing is served from what this core alone
  // knows.
  for (int round = 0; round < 12; ++round) {
    for (const Reply& reply : {world.Modify(1, Call(Route("r1", "00000009", 100))), world.Show(1),
                               world.Tell(1, "draining", 10 + round)}) {
      CHECK_EQUAL(503, reply.status);
      CHECK(reply.took < 1);
    }
  }
  CHECK(!world.HasQuorumContact(1));
  CHECK_EQUAL(7u, world.gateway->versions["route_table/r1"]);  // no gateway is shown what isn't decided
  CHECK_EQUAL(503, world.Tell(1, "ready", 100).status);
  world.Start(2);
  CHECK(world.RunUntil([&] { return world.Show(1).status == 200; }));
  CHECK(world.RunUntil([&] { return world.Tell(1, "draining", 101).status == 200; }));
}

TEST(CoreMachines, AGatewayIsReadyByOneListAndNeverGoesBackWhateverItIsConnectedTo) {
  World world;
  world.StartThree();
  CHECK_EQUAL(200, world.ModifyUntilClear(1, Call(Route("r1", "00000007", 100))).status);
  CHECK(world.RunUntil([&] { return world.Tell(2, "ready", 1).status == 200; }));
  world.gateway = std::make_unique<World::Gateway>();
  World::Gateway& gateway = *world.gateway;
  gateway.Connect(&world);
  CHECK(world.RunUntil([&] { return gateway.configuration.complete() && gateway.backends.complete(); }));
  CHECK_EQUAL(7u, gateway.versions["route_table/r1"]);
  CHECK(world.RunUntil([&] { return gateway.live["backend/b1"]; }, 1));
  CHECK_EQUAL(200, world.ModifyUntilClear(3, Call(Route("r1", "00000009", 100))).status);
  CHECK(world.RunUntil([&] { return gateway.versions["route_table/r1"] == 9; }, 1));
  CHECK_EQUAL(200, world.Tell(3, "draining", 5).status);
  CHECK(world.RunUntil([&] { return gateway.versions["backend/b1"] == 5; }, 1));

  gateway.subscribers.reset();
  for (int machine : {1, 2, 3}) {
    world.Stop(machine);
    if (machine == 1) world.Wipe(machine);
  }
  for (int machine : {1, 2, 3}) world.Start(machine);
  gateway.ends = 0;
  gateway.Connect(&world);
  CHECK(world.RunUntil(
      [&] { return gateway.ends > 0 && world.HasQuorumContact(1) && world.HasQuorumContact(2); }));
  CHECK_EQUAL(200, world.ModifyUntilClear(1, Call(Route("r1", "0000000c", 100))).status);
  CHECK(world.RunUntil([&] { return gateway.versions["route_table/r1"] == 12; }, 2));
  CHECK_EQUAL(5u, gateway.versions["backend/b1"]);
  CHECK(!gateway.went_back);
}

TEST(CoreMachines, ACoreOutOfContactGivesNoList) {
  World world;
  world.StartThree();
  CHECK_EQUAL(200, world.ModifyUntilClear(1, Call(Route("r1", "00000007", 100))).status);
  world.Stop(2);
  world.Stop(3);
  CHECK(world.RunUntil([&] { return !world.HasQuorumContact(1) && world.Show(1).status == 503; }));
  world.gateway = std::make_unique<World::Gateway>();
  World::Gateway& gateway = *world.gateway;
  gateway.Connect(&world);
  world.RunFor(1.5);
  CHECK(!gateway.configuration.complete());
  CHECK(gateway.versions.empty());
  world.Start(3);
  CHECK(world.RunUntil([&] { return gateway.configuration.complete() && gateway.backends.complete(); }));
  CHECK_EQUAL(7u, gateway.versions["route_table/r1"]);
}
