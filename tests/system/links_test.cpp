// Connections between processes over loopback: what peers that read nothing make a process hold.
#include "transport/links.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "messages/codec.h"
#include "rig/run_until.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;

namespace {

constexpr size_t kMebibyte = size_t{1} << 20;
constexpr size_t kLimit = 40 * kMebibyte;
constexpr int kPeers = 8;
constexpr double kBound = 10;  // s

messages::Push LongPush() {
  messages::Push push;
  push.items.push_back({"key", 1, false, std::string(kMebibyte, 'x')});
  return push;
}

// A process that others dial, and one of those who reads.
struct World {
  World() {
    tcp::acceptor any(io, {asio::ip::make_address("127.0.0.1"), 0});
    address = any.local_endpoint();
    any.close();
    host.Listen(address);
  }
  ~World() {
    for (const auto& peer : silent) peer->close();
    reader.reset();
    io.restart();
    io.run_for(std::chrono::milliseconds(10));
  }
  bool RunUntil(const std::function<bool()>& condition) { return ivygw::RunUntil(io, condition, kBound); }
  // Says who it is, and then reads nothing.
  void AddSilentPeer() {
    silent.push_back(std::make_unique<tcp::socket>(io));
    tcp::socket& socket = *silent.back();
    socket.open(address.protocol());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(address);
    asio::write(socket, asio::buffer(messages::Encode(messages::Hello{})));
  }
  void AddReader() {
    transport::Dialer::Events events;
    events.up = [this] { reader->Send(messages::Hello{}); };
    events.message = [this](const messages::Message&) { ++received; };
    events.down = [this] { reader_lost = true; };
    reader = std::make_unique<transport::Dialer>(io, &reader_memory, address, std::move(events));
  }

  asio::io_context io{1};
  transport::LinkMemory memory{kLimit}, reader_memory{transport::LinkMemory::kUnlimited};
  std::vector<uint64_t> up;
  int ended = 0, received = 0;
  bool reader_lost = false;
  transport::Host host{io,
                       &memory,
                       {[this](uint64_t peer, const messages::Hello&) { up.push_back(peer); },
                        [](uint64_t, const messages::Message&) {}, [this](uint64_t) { ++ended; }}};
  tcp::endpoint address;
  std::vector<std::unique_ptr<tcp::socket>> silent;
  std::unique_ptr<transport::Dialer> reader;
};

}  // namespace

TEST_GROUP(PeerLinks){};

// Guards against peers that read nothing and fill a process's memory: each held up to 64 MiB, and nothing
// bounded them together.
TEST(PeerLinks, WhatPeersLeaveUnreadStaysWithinTheLimitAndOthersAreServed) {
  World world;
  for (int i = 0; i < kPeers; ++i) world.AddSilentPeer();
  world.AddReader();
  CHECK(world.RunUntil([&] { return world.up.size() == kPeers + 1; }));
  const messages::Push push = LongPush();
  size_t most_used = 0;
  int sent = 0;
  // 12 messages to each of 8 peers are 96 MiB, over twice the limit.
  for (; sent < 12; ++sent) {
    for (uint64_t peer : world.up) world.host.Send(peer, push);
    most_used = std::max(most_used, world.memory.used());
    CHECK(world.RunUntil([&] { return world.received > sent; }));
  }
  CHECK(most_used <= kLimit);
  CHECK(world.RunUntil([&] { return world.ended >= kPeers / 2; }));
  CHECK(!world.reader_lost);
  LONGS_EQUAL(sent, world.received);
}

TEST(PeerLinks, AnIdleConnectionHoldsNoLongBuffers) {
  World world;
  world.AddReader();
  CHECK(world.RunUntil([&] { return world.up.size() == 1; }));
  world.host.Send(world.up.front(), LongPush());
  world.reader->Send(LongPush());
  CHECK(world.RunUntil([&] { return world.received == 1 && world.memory.used() < 16 * 1024; }));
  CHECK(world.reader_memory.used() < 16 * 1024);
}
