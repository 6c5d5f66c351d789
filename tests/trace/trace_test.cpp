// The flight recorder alone: records there and back, what is hidden, the bound on disk, every kind of damage,
// and a replay that finds the first difference.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "core/driver.h"
#include "rig/policy_site.h"
#include "trace/recorder.h"
#include "trace/replay.h"
#include "trace/segments.h"

namespace ivygw::trace {
namespace {

using core::Effects;
using core::Event;

std::vector<Event> EachEvent() {
  core::RequestArrived arrival{7,   "order-77", 1,    2,    0x1b4d65521, 2.5, 3, 0.75,
                               0.5, true,       true, true, 0.125,       1,   2};
  core::ListedBackend listed;
  listed.backend = {9, micadock::BackendState::kDraining, 1, 2, 3, 0.5, 1700000000.25};
  listed.address = 4;
  return {arrival,
          core::ClientDisconnected{1},
          core::ConnectionOpened{2},
          core::RequestWritten{3},
          core::ResponseReceived{4, micadock::Result::kError, 1.5, true},
          core::ConnectionLost{5},
          core::ConnectionStale{6},
          core::BackendListUpdated{micadock::ListKind::kDelta, {listed, listed}},
          core::DiscoveryFailed{},
          core::CounterCallWritten{7},
          core::CounterResponseReceived{8, micadock::Result::kFull, 12.25},
          core::CounterCallLost{9},
          core::TimerExpired{},
          core::ShutdownRequested{},
          core::BackendBanChanged{10, true},
          core::DrainChanged{true},
          core::BodyDiscarded{11},
          core::BodyCompleted{12},
          core::ResponseStarted{13},
          core::LearnedStateRestored{
              {{{9, 1.5, 0.25, 3, 0.1, 17.5}, {10, 1, 0, 4, 0, 0}}, {0.5, 0.25}, {1, 2}, 0.75, 3.5}},
          core::IntentResolved{14, 2, true},
          core::RequestWithdrawn{15},
          core::FleetSizeChanged{16, false},
          core::QuotaShareGranted{17, 0.25, 2.5}};
}
Effects EachEffect() {
  return {core::RegisterRequest{1, 2},
          core::SendResponse{1, 2, 429, 0.5, 3},
          core::ReleaseRequest{4},
          core::OpenConnection{5, 6},
          core::WriteRequest{7, 8, 1, 0.25, true},
          core::CloseConnection{9},
          core::CallCounter{1, 0xdeadbeef, 2, 3},
          core::CancelCounterCall{4},
          core::Log{"text"},
          core::SubscribeToDiscovery{},
          core::DisableClientKeepAlive{},
          core::CloseIdleClientConnections{},
          core::StopIfIdle{},
          core::Stop{},
          core::EnableClientKeepAlive{},
          core::StartResponse{1, 2, 3},
          core::AbortResponse{4, 5},
          core::RecordIntent{6, 1, 7},
          core::RecordAttemptEnd{8, 2, true}};
}

TEST(Codec, EachEventAndEffectComesBack) {
  ASSERT_EQ(EachEvent().size(), std::variant_size_v<Event>);
  ASSERT_EQ(EachEffect().size(), std::variant_size_v<core::Effect>);
  CounterNames names, again;
  std::string bytes, effects = EncodeEffects(EachEffect(), &names);
  EncodeTurn(1.5, nullptr, effects, &bytes);
  for (const Event& event : EachEvent()) EncodeTurn(2.5, &event, "", &bytes);
  std::vector<Turn> turns = DecodeTurns(bytes);
  ASSERT_EQ(turns.size(), 1 + EachEvent().size());
  EXPECT_TRUE(turns[0].start);
  EXPECT_EQ(turns[0].now, 1.5);
  EXPECT_EQ(EncodeEffects(DecodeEffects(turns[0].effects), &again), effects);
  for (size_t i = 0; i < EachEvent().size(); ++i) {
    EXPECT_FALSE(turns[i + 1].start);
    EXPECT_EQ(turns[i + 1].event.index(), i);
    EXPECT_EQ(Text(turns[i + 1].event), Text(EachEvent()[i]));
    std::string there, here;
    EncodeTurn(0, &turns[i + 1].event, "", &there);
    EncodeTurn(0, &EachEvent()[i], "", &here);
    EXPECT_EQ(there, here) << Text(EachEvent()[i]);
  }
}

TEST(Codec, NamesNoCustomerAndTellsThemApart) {
  Mask mask, other;
  Event event = EachEvent()[0];
  auto masked = std::get<core::RequestArrived>(Masked(event, mask));
  EXPECT_EQ(masked.customer, mask.Customer(0x1b4d65521));
  EXPECT_NE(masked.customer, 0x1b4d65521u);
  EXPECT_NE(masked.customer, mask.Customer(0x1b4d65520));
  EXPECT_NE(masked.customer, other.Customer(0x1b4d65521)) << "each trace has a key of its own";
  EXPECT_EQ(masked.id.find("order"), std::string::npos);
  EXPECT_EQ(masked.units, 2.5);
  CounterNames names;
  std::string effects = EncodeEffects({core::CallCounter{1, 0xdeadbeef, 2, 3}}, &names);
  EXPECT_EQ(std::get<core::CallCounter>(DecodeEffects(effects)[0]).name, 1u) << "the first name that was met";
}

// Every cut and every changed byte of a record is refused or read as another sound one; none harms.
TEST(Codec, NoBytesHarm) {
  std::string bytes;
  CounterNames names;
  for (const Event& event : EachEvent()) EncodeTurn(2.5, &event, EncodeEffects(EachEffect(), &names), &bytes);
  int refused = 0;
  for (size_t cut = 1; cut < bytes.size(); cut += 7) {
    try {
      DecodeTurns(std::string_view(bytes).substr(0, cut));
    } catch (const TraceError&) {
      ++refused;
    }
  }
  std::mt19937_64 random(1);
  for (int i = 0; i < 20000; ++i) {
    std::string spoilt = bytes;
    spoilt[random() % spoilt.size()] = static_cast<char>(random());
    try {
      for (const Turn& turn : DecodeTurns(spoilt)) DecodeEffects(turn.effects);
    } catch (const TraceError&) {
      ++refused;
    }
  }
  EXPECT_GT(refused, 1000);
}

// Found by fuzz_trace: an array that claims four thousand million parts.
TEST(Codec, AClaimedLengthFillsNoMemory) {
  EXPECT_THROW(DecodeTurns(std::string("\xdd\xff\xff\xff\xff", 5)), TraceError);
  EXPECT_THROW(DecodeEffects(std::string("\xdd\xff\xff\xff\xff", 5)), TraceError);
  EXPECT_THROW(DecodeTurns(std::string("\x96\xde\xfc\x13\xff\x03\xff", 7)), TraceError);
}

class Segments : public testing::Test {
 protected:
  Segments() {
    char folder[] = "/tmp/ivygw-trace-XXXXXX";
    EXPECT_NE(mkdtemp(folder), nullptr);
    folder_ = folder;
    file = folder_ + "/t";
  }
  ~Segments() override { std::filesystem::remove_all(folder_); }
  static std::string Slurp(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  }
  static void Spill(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary) << bytes;
  }
  void Write(int chunks, size_t size, const TraceLimits& limits = {}) {
    SegmentWriter writer(file, 42, limits);
    for (int i = 0; i < chunks; ++i)
      EXPECT_TRUE(writer.Append(std::string(size, static_cast<char>('a' + i % 26))));
  }
  std::string folder_, file;
};

TEST_F(Segments, AreBoundedAndTheOldestGoFirst) {
  TraceLimits limits;
  limits.segment_bytes = 1000;
  limits.segments = 3;
  Write(20, 400, limits);  // two in a segment
  TraceFile trace = ReadTrace(file);
  EXPECT_EQ(trace.first_segment, 8u);
  EXPECT_EQ(trace.chunks.size(), 6u);
  EXPECT_EQ(trace.fault, "");
  EXPECT_EQ(trace.chunks.back()[0], 'a' + 19);
  uint64_t bytes = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder_)) bytes += entry.file_size();
  EXPECT_LE(bytes, limits.segment_bytes * limits.segments);
  Write(1, 10);  // another trace of this name begins anew
  trace = ReadTrace(file);
  EXPECT_EQ(trace.first_segment, 1u);
  EXPECT_EQ(trace.chunks.size(), 1u);
}

TEST_F(Segments, WhatHasNoRoomIsDroppedAndCounted) {
  TraceLimits limits;
  limits.waiting_bytes = 100;
  {
    SegmentWriter writer(file, 42, limits);
    EXPECT_FALSE(writer.Append(std::string(101, 'x')));
    EXPECT_EQ(writer.dropped(), 1u);
    EXPECT_TRUE(writer.Append(std::string(99, 'x')));
  }
  TraceFile trace = ReadTrace(file);
  EXPECT_TRUE(trace.chunks.empty()) << "what follows the gap cannot be played";
  EXPECT_NE(trace.fault.find("chunks were dropped here"), std::string::npos) << trace.fault;
}

TEST_F(Segments, ATornTailLeavesWhatIsWhole) {
  Write(3, 100);
  std::string name = file + ".000001", bytes = Slurp(name);
  for (size_t cut : {1u, 50u, 104u}) {
    Spill(name, bytes.substr(0, bytes.size() - cut));
    TraceFile trace = ReadTrace(file);
    EXPECT_EQ(trace.chunks.size(), 2u) << cut;
    EXPECT_TRUE(trace.torn) << cut;
    EXPECT_NE(trace.fault.find(name + ": byte "), std::string::npos) << trace.fault;
  }
}

TEST_F(Segments, DamageIsOneClearErrorAndWhatIsBeforeItIsRead) {
  Write(3, 100);
  std::string name = file + ".000001", bytes = Slurp(name);
  std::string spoilt = bytes;
  spoilt[bytes.size() - 150] ^= 1;  // in the second chunk
  Spill(name, spoilt);
  TraceFile trace = ReadTrace(file);
  EXPECT_EQ(trace.chunks.size(), 1u);
  EXPECT_FALSE(trace.torn);
  EXPECT_NE(trace.fault.find("damaged"), std::string::npos);

  spoilt = bytes;
  spoilt[8] = 9;  // the version
  Spill(name, spoilt);
  try {
    ReadTrace(file);
    FAIL() << "a trace of another version was read";
  } catch (const TraceError& error) {
    EXPECT_EQ(std::string(error.what()),
              name + ": a trace of version 9, and this program reads version " + std::to_string(kVersion));
  }
  Spill(name, "not a trace of any kind, and long enough");
  EXPECT_THROW(ReadTrace(file), TraceError);
  EXPECT_THROW(ReadTrace(file + "-else"), TraceError);
}

TEST_F(Segments, AMissingSegmentInTheMiddleIsNamed) {
  TraceLimits limits;
  limits.segment_bytes = 500;
  Write(3, 400, limits);
  std::filesystem::remove(file + ".000002");
  TraceFile trace = ReadTrace(file);
  EXPECT_EQ(trace.chunks.size(), 1u);
  EXPECT_EQ(trace.fault, file + ".000003: byte 0: the segment before it is missing");
}

// A driver on no sockets: what the core asks for comes about at once or is left to time.
struct Port {
  double now = 1000;
  std::mt19937_64 random{5};
  core::Driver<Port>* driver = nullptr;
  double Now() { return now; }
  void AfterTurn() {}
  void Execute(core::OpenConnection& e) {
    if (random() % 8 != 0) driver->Dispatch(core::ConnectionOpened{e.connection});
  }
  void Execute(core::WriteRequest& e) {
    if (e.reused && random() % 8 == 0) return driver->Dispatch(core::ConnectionStale{e.connection});
    driver->Dispatch(core::RequestWritten{e.connection});
    const micadock::Result results[] = {micadock::Result::kOk, micadock::Result::kError,
                                        micadock::Result::kFull};
    if (random() % 16 != 0)
      driver->Dispatch(
          core::ResponseReceived{e.connection, results[random() % 8 < 6 ? 0 : 1 + random() % 2], 1, true});
  }
  void Execute(core::CallCounter& e) {
    driver->Dispatch(core::CounterCallWritten{e.call});
    if (random() % 4 != 0)
      driver->Dispatch(core::CounterResponseReceived{e.call, micadock::Result::kOk, e.amount + 1});
  }
  template <typename Other>
  void Execute(Other&) {}
};

class Replayed : public testing::Test {
 protected:
  Replayed() {
    settings.policy = micadock::Site();
    settings.policy.count_timeout_s = 0.02;
    settings.policy.plans[0].rate = 40;
    settings.policy.plans[0].burst = 80;
    settings.connections = {2, 0.2, 0.5, 50};
    settings.has_counter = true;
    Port port;
    CounterNames names;
    Mask mask;
    core::Driver<Port> driver(&port, settings, [&](double now, const Event* event, const Effects& effects) {
      std::string bytes, told = EncodeEffects(effects, &names);
      Event masked = event != nullptr ? Masked(*event, mask) : Event();
      EncodeTurn(now, event != nullptr ? &masked : nullptr, told, &bytes);
      turns.push_back(DecodeTurns(bytes).at(0));
    });
    port.driver = &driver;
    core::BackendListUpdated list;
    for (uint32_t id = 1; id <= 3; ++id) {
      core::ListedBackend l;
      l.backend.id = id;
      l.backend.weight = 1;
      l.address = id;
      list.entries.push_back(l);
    }
    driver.Dispatch(list);
    for (uint64_t client = 1; client <= 400; ++client) {
      port.now += 0.01;
      driver.Dispatch(core::TimerExpired{});
      driver.Dispatch(core::RequestArrived{client, "r" + std::to_string(client),
                                           static_cast<int>(port.random() % 3), 0, port.random() % 200, 1, 3,
                                           0.5});
      if (port.random() % 16 == 0) driver.Dispatch(core::ClientDisconnected{client});
    }
    served = std::count_if(turns.begin(), turns.end(), [](const Turn& t) {
      for (const core::Effect& e : DecodeEffects(t.effects)) {
        if (auto* a = std::get_if<core::SendResponse>(&e)) return a->status == 200;
      }
      return false;
    });
  }
  core::CoreSettings settings;
  std::vector<Turn> turns;
  long served = 0;
};

TEST_F(Replayed, WithNoDifferenceThoughCustomersAreHidden) {
  ASSERT_GT(served, 50);
  Replay replay(settings);
  auto difference = replay.Play(turns);
  EXPECT_FALSE(difference) << difference->event << ": " << difference->recorded << " / "
                           << difference->replayed;
  EXPECT_EQ(replay.turns(), turns.size());
}

TEST_F(Replayed, TellsTheFirstEffectThatDiffers) {
  // Another grace, patience or number of tries: what the module and the books do from there on differs.
  core::CoreSettings other = settings;
  other.policy.try_limit = 1;
  Replay replay(other);
  auto difference = replay.Play(turns);
  ASSERT_TRUE(difference);
  EXPECT_NE(difference->recorded, difference->replayed);
  EXPECT_NE(difference->request, 0u);
  EXPECT_NE(difference->state.find("request " + std::to_string(difference->request)), std::string::npos);

  // One effect changed in the middle: that one, and none before it.
  std::vector<Turn> spoilt = turns;
  size_t at = 0;
  for (size_t i = turns.size() / 2; at == 0; ++i) {
    Effects effects = DecodeEffects(turns[i].effects);
    for (core::Effect& e : effects) {
      if (auto* answer = std::get_if<core::SendResponse>(&e)) {
        answer->status = 599;
        at = i;
      }
    }
    CounterNames names;
    if (at != 0) spoilt[i].effects = EncodeEffects(effects, &names);
  }
  Replay again(settings);
  difference = again.Play(spoilt);
  ASSERT_TRUE(difference);
  EXPECT_EQ(difference->turn, at);
  EXPECT_NE(difference->recorded.find(" 599 "), std::string::npos) << difference->recorded;
}

TEST_F(Replayed, StopsAtATimeAndDescribesWhatIsHeld) {
  Replay replay(settings);
  replay.Play(turns, [](size_t, double at_s, const Turn&, const Effects&) { return at_s < 2; });
  EXPECT_NEAR(replay.at_s(), 2, 0.02);
  EXPECT_NE(replay.DescribeAll().find(" requests held, "), std::string::npos);
  EXPECT_EQ(replay.Describe(999999), "request 999999 is not held");
}

TEST_F(Replayed, AWithoutItsBeginningIsRefused) {
  Replay replay(settings);
  turns.erase(turns.begin());
  EXPECT_THROW(replay.Play(turns), TraceError);
}

}  // namespace
}  // namespace ivygw::trace
