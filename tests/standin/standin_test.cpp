// The stand-ins by themselves: what they read from outside, and how an address goes down and comes back.
#include <gtest/gtest.h>

#include <string>

#include "emulator/random.h"
#include "standin/asio_scheduler.h"
#include "standin/counter_servers.h"
#include "standin/http_peer.h"
#include "standin/listener.h"

namespace ivygw::standin {
namespace {

using Calls = std::vector<std::vector<std::string>>;

TEST(ReadCalls, TakesWholeCallsHoweverTheyAreCut) {
  std::string text =
      "*4\r\n$5\r\nTALLY\r\n$1\r\na\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n*1\r\n$4\r\nPING\r\n*2\r\n$1\r\nx\r\n$"
      "0\r\n\r\n";
  Calls want = {{"TALLY", "a", "-2.5", "4000"}, {"PING"}, {"x", ""}};
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    std::string bytes = text.substr(0, cut);
    Calls calls;
    ASSERT_TRUE(ReadCalls(&bytes, &calls)) << cut;
    bytes += text.substr(cut);
    ASSERT_TRUE(ReadCalls(&bytes, &calls)) << cut;
    EXPECT_EQ(calls, want) << cut;
    EXPECT_TRUE(bytes.empty());
  }
}

TEST(ReadCalls, RefusesWhatIsNoCall) {
  for (std::string bad :
       {"PING\r\n", "*99\r\n", "*-1\r\n", "*1\r\n+OK\r\n", "*1\r\n$-1\r\n", "*1\r\n$99999\r\n", "*x\r\n",
        "*1\r\n$1\r\nab\r\n", "*11111111111111111111111111111111111111"}) {
    Calls calls;
    EXPECT_FALSE(ReadCalls(&bad, &calls)) << bad;
  }
}

// Whatever comes, it ends, and keeps no more than it may.
TEST(ReadCalls, OutlivesNoise) {
  emulator::Random random(5);
  std::string sound = "*4\r\n$5\r\nTALLY\r\n$1\r\na\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n";
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = sound + sound;
    for (uint64_t n = random.Below(6); n > 0; --n)
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    bytes.resize(random.Below(bytes.size() + 1));
    size_t before = bytes.size();
    Calls calls;
    ReadCalls(&bytes, &calls);
    EXPECT_LE(bytes.size(), before);
    for (const auto& call : calls) EXPECT_LE(call.size(), 16u);
  }
}

// One turn of connecting to the listener, by the system's word; empty where nothing comes within the wait.
std::string Connect(uint16_t port, double wait_s) {
  asio::io_context io(1);
  tcp::socket socket(io);
  asio::steady_timer timer(io);
  std::string result;
  timer.expires_after(Seconds(wait_s));
  timer.async_wait([&](error_code) { CloseNow(socket); });
  socket.async_connect({asio::ip::address_v4::loopback(), port}, [&](error_code error) {
    result = error == asio::error::operation_aborted ? "" : error ? error.message() : "connected";
    timer.cancel();
  });
  io.run();
  return result;
}

TEST(Listener, RefusesIsSilentAndComesBackOnOnePort) {
  asio::io_context io(1);
  int taken = 0;
  Listener listener(io, [&](tcp::socket) { ++taken; });
  uint16_t port = listener.port();
  EXPECT_EQ(Connect(port, 10), "connected");
  listener.Refuse();
  EXPECT_EQ(Connect(port, 10), "Connection refused");
  listener.FallSilent();
  io.poll();
  EXPECT_EQ(Connect(port, 0.3), "") << "it never comes up, and is not refused";
  listener.Accept();
  EXPECT_EQ(Connect(port, 10), "connected");
  EXPECT_EQ(listener.port(), port);
  while (taken < 1) io.run_one();
  EXPECT_GE(taken, 1);
}

TEST(AsioScheduler, RunsInOrderOfTimeAndOfAsking) {
  asio::io_context io(1);
  AsioScheduler scheduler(io, 0);
  std::string order;
  scheduler.At(0.02, [&] { order += "c"; });
  scheduler.At(0.01, [&] {
    order += "a";
    scheduler.At(0, [&] { order += "b"; });
  });
  scheduler.At(0.02, [&] { order += "d"; });
  io.run();
  EXPECT_EQ(order, "abcd");
  EXPECT_GE(scheduler.Now(), 0.02);
}

}  // namespace
}  // namespace ivygw::standin
