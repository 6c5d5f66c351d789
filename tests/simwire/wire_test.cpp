#include "simwire/wire.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

namespace micadock {
namespace {

std::string Hex(const char* text) {
  std::string out;
  int high = -1;
  for (const char* p = text; *p != '\0'; ++p) {
    int v = *p >= '0' && *p <= '9' ? *p - '0' : *p >= 'a' && *p <= 'f' ? *p - 'a' + 10 : -1;
    if (v < 0) continue;
    if (high < 0) {
      high = v;
    } else {
      out.push_back(static_cast<char>(high * 16 + v));
      high = -1;
    }
  }
  return out;
}

std::string Frame(const std::string& records, uint32_t count) {
  std::string out(16, '\0');
  uint32_t size = static_cast<uint32_t>(16 + records.size());
  double now = 18.5;
  std::memcpy(out.data(), &size, 4);
  std::memcpy(out.data() + 4, &now, 8);
  std::memcpy(out.data() + 12, &count, 4);
  return out + records;
}

std::string Wrong(const std::string& frame) {
  try {
    ParseBatch(frame);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}

TEST(Wire, EmptyBatch) {
  WireBatch batch = ParseBatch(Hex("10000000 508d976e12d32040 00000000"));
  EXPECT_NEAR(batch.now, 8.412, 1e-3);
  EXPECT_TRUE(batch.events.empty());
  ReplyWriter reply;
  EXPECT_EQ(reply.Finish(), Hex("04000000"));
}

TEST(Wire, BatchOfTwoInstancesAndItsReply) {
  WireBatch batch = ParseBatch(
      Hex("53000000 508d976e12d32040 03000000"
          "fc03 03000000 c4913a5d 00 0000 640ad2557c3bf091 b81e85eb51b8ce3f 00000040 00004040 0000803f 0100"
          "2404 03000000 4d00000000000000 1a04 05000000 192b6f0e"));
  ASSERT_EQ(batch.events.size(), 3u);
  const Request& r = std::get<Request>(batch.events[0].body);
  EXPECT_EQ(batch.events[0].instance, 3u);
  EXPECT_EQ(r.id, 0x5d3a91c4u);
  EXPECT_EQ(r.customer, 0x91f03b7c55d20a64ULL);
  EXPECT_NEAR(r.left_s, 0.24, 1e-9);
  EXPECT_EQ(r.units, 2);
  EXPECT_EQ(r.entries, 3);
  EXPECT_EQ(std::get<WireTick>(batch.events[1].body).tag, 77u);
  EXPECT_EQ(std::get<WireAbandoned>(batch.events[2].body).request, 0x0e6f2b19u);
  EXPECT_EQ(batch.events[2].instance, 5u);

  ReplyWriter reply;
  Action send;
  send.kind = ActionKind::kSend;
  send.request = 0x5d3a91c4;
  send.backend = 0x03124a07;
  send.seconds = 0.08;
  reply.Append(3, send);
  Action timer;
  timer.kind = ActionKind::kTimer;
  timer.seconds = 0.5;
  timer.tag = 77;
  reply.Append(3, timer);
  Action log;
  log.text = "two servers known";
  reply.Append(5, log);
  std::string expected =
      Hex("49000000 1a04 03000000 c4913a5d 074a1203 7b14ae47e17ab43f 0604 03000000 000000000000e03f"
          "4d00000000000000 fc03 05000000 1100 74776f2073657276657273206b6e6f776e");
  EXPECT_EQ(reply.Finish(), expected);
}

TEST(Wire, TableAndView) {
  WireBatch batch = ParseBatch(
      Frame(Hex("5604 00 02000000 00 01 0000 074a1203 0000 0000803f 0000000000000000"
                "00 01 0100 f211902c 0000 0000c03f 6666666666661840 f203 03000000 02 2900000000000000 00"),
            2));
  const WireTable& table = std::get<WireTable>(batch.events[0].body);
  ASSERT_EQ(table.entries.size(), 2u);
  EXPECT_EQ(table.entries[1].zone, 1);
  EXPECT_EQ(table.entries[1].state, BackendState::kReady);
  EXPECT_NEAR(table.entries[1].started_s, 6.1, 1e-9);
  EXPECT_EQ(table.entries[1].weight, 1.5);
  const WireView& view = std::get<WireView>(batch.events[1].body);
  EXPECT_EQ(view.kind, ListKind::kCached);
  EXPECT_EQ(view.version, 41u);
}

TEST(Wire, OutcomeTotalProbeAndMessage) {
  WireBatch batch = ParseBatch(
      Frame(Hex("1004 03000000 c4913a5d 5600 00 8b6ce7fba9f1923f 00 01 074a1203 0300 00"
                "4c04 03000000 22fdf675e09c613f 00001842 00 90f6890000000000"
                "2e04 03000000 c7bab88d06f0563f 00 f211902c 01 52b81e3f 3804 03000000 0200 0400 68692037"
                "0604 03000000 c4913a5d 00 074a1203 8b6ce7fba9f1823f 4204 03000000"),
            6));
  const Outcome& o = std::get<Outcome>(batch.events[0].body);
  EXPECT_TRUE(o.finished);
  EXPECT_EQ(o.true_units, 3);
  EXPECT_EQ(o.backend, 0x03124a07u);
  const CountAnswer& c = std::get<CountAnswer>(batch.events[1].body);
  EXPECT_EQ(c.total, 38);
  EXPECT_EQ(c.name, 0x89f690u);
  EXPECT_EQ(std::get<WireProbed>(batch.events[2].body).load.size(), 1u);
  EXPECT_EQ(std::get<WireMessage>(batch.events[3].body).bytes, "hi 7");
  EXPECT_EQ(std::get<WireBegun>(batch.events[4].body).request, 0x5d3a91c4u);
  EXPECT_TRUE(std::holds_alternative<WireExit>(batch.events[5].body));
}

TEST(Wire, ActionsMatchTheirExamples) {
  auto bytes = [](Action a) {
    ReplyWriter w;
    w.Append(3, a);
    return w.Finish().substr(4);
  };
  Action a;
  a.request = 0x5d3a91c4;
  a.kind = ActionKind::kCancel;
  EXPECT_EQ(bytes(a), Hex("2404 03000000 c4913a5d 00"));
  a.request = 0x0e6f2b19;
  a.kind = ActionKind::kRefuse;
  a.seconds = 0.25;
  EXPECT_EQ(bytes(a), Hex("2e04 03000000 192b6f0e 000000000000d03f"));
  a.kind = ActionKind::kFail;
  EXPECT_EQ(bytes(a), Hex("e803 03000000 192b6f0e"));
  a.kind = ActionKind::kCount;
  a.tag = 0x89f690;
  a.amount = 4;
  a.seconds = 3;
  EXPECT_EQ(bytes(a), Hex("4c04 03000000 90f6890000000000 00008040 0000000000000840"));
  a.kind = ActionKind::kSubscribe;
  EXPECT_EQ(bytes(a), Hex("1004 03000000 01"));
  ReplyWriter w;
  w.AppendBroken(3, "index out of range");
  EXPECT_EQ(w.Finish().substr(4), Hex("6004 03000000 1200 696e646578206f7574206f662072616e6765"));
}

TEST(Wire, EveryTruncationIsAPlainError) {
  std::string whole =
      Hex("53000000 508d976e12d32040 03000000"
          "fc03 03000000 c4913a5d 00 0000 640ad2557c3bf091 b81e85eb51b8ce3f 00000040 00004040 0000803f 0100"
          "2404 03000000 4d00000000000000 1a04 05000000 192b6f0e");
  for (size_t n = 0; n < whole.size(); ++n) {
    std::string cut = whole.substr(0, n);
    EXPECT_NE(Wrong(cut), "") << n;
    if (n < 16) continue;
    uint32_t size = static_cast<uint32_t>(n);
    std::memcpy(cut.data(), &size, 4);
    EXPECT_NE(Wrong(cut), "") << n;
  }
  EXPECT_EQ(Wrong(whole), "");
}

TEST(Wire, MalformedFramesAreNamed) {
  EXPECT_NE(Wrong(Frame(Hex("0f27 03000000 00000000"), 1)).find("unknown event code 9999"),
            std::string::npos);
  EXPECT_NE(Wrong(Frame(Hex("5604 10 00000000"), 1)).find("table number 16"), std::string::npos);
  EXPECT_NE(Wrong(Frame(Hex("5604 00 ffffffff"), 1)).find("fewer entries"), std::string::npos);
  EXPECT_NE(Wrong(Frame("", 5)).find("fewer records"), std::string::npos);
  EXPECT_NE(Wrong(Frame(Hex("1a04 05000000 192b6f0e 00"), 1)).find("after its last record"),
            std::string::npos);
  EXPECT_NE(Wrong(Frame(Hex("4c04 03000000 22fdf675e09c613f 00001842 07 90f6890000000000"), 1))
                .find("unknown outcome code 7"),
            std::string::npos);
  EXPECT_NE(Wrong(Frame(Hex("f203 03000000 09 2900000000000000 00"), 1)).find("view scope 9"),
            std::string::npos);
}

std::string GoodSettings() {
  return "me=0\npeers-total=3\nzone=2\nresolution-s=0.002\ndiscovery=pushed\nspecifics.units-top=4\n"
         "specifics.may-count=true\nspecifics.counter-timeout-s=0.03\nspecifics.counter-price=0.02\n"
         "prices.cross-zone=0.01\nlimits.cancel=true\nlimits.parallel-tries=false\nlimits.retry-after=false\n"
         "limits.max-retry-after-s=2.0\nlimits.try-limit=5\ninvariants.cold-from=0.21\n"
         "invariants.warm-after-s=16.0\ninvariants.tip-multiple=2.0\ninvariants.tip-after-s=1.0\n"
         "invariants.ask-within-s=10.0\nrequest-classes.count=1\nrequest-classes.0.aim-s=0.6\n"
         "request-classes.0.hard-limit-s=1.5\nrequest-classes.0.window-s=5\nrequest-classes.0.importance=3\n"
         "request-classes.0.late-share=0.2\nrequest-classes.0.effect=guarded\n"
         "request-classes.0.dedup-scope=cell\ntiers-of-service.count=1\ntiers-of-service.0.units-per-s=2.4\n"
         "tiers-of-service.0.store-size=13\ntiers-of-service.0.never-over-rate=0\n"
         "tiers-of-service.0.ceiling-burst=0\ntiers-of-service.0.cap-slack=0\n"
         "tiers-of-service.0.excess-worth=0.5\ntiers-of-service.0.over-cost=1.2\n"
         "tiers-of-service.0.value-factor=0.72\ntiers-of-service.0.parallel=2\n";
}

std::string SettingsWrong(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}

TEST(Settings, ReadsAndIgnoresUnknownKeys) {
  Settings s = ParseSettings(GoodSettings() + "new-thing.7=abc,def\n");
  EXPECT_EQ(s.gateways, 3);
  EXPECT_EQ(s.classes.at(0).effect, Effect::kGuarded);
  EXPECT_EQ(s.classes.at(0).scope, Scope::kCell);
  EXPECT_EQ(s.plans.at(0).rate, 2.4);
  EXPECT_EQ(s.plans.at(0).parallel, 2);
}

TEST(Settings, NamesWhatIsMissingOrUnreadable) {
  std::string good = GoodSettings();
  size_t at = 0;
  while (at < good.size()) {
    size_t end = good.find('\n', at) + 1;
    std::string line = good.substr(at, end - at), key = line.substr(0, line.find('='));
    std::string without = good.substr(0, at) + good.substr(end);
    EXPECT_EQ(SettingsWrong(without), "setting is missing: " + key);
    std::string spoilt = good.substr(0, at) + key + "=?\n" + good.substr(end);
    EXPECT_EQ(SettingsWrong(spoilt), "setting is unreadable: " + key + "=?");
    at = end;
  }
}

int RunHost(const std::string& input, std::string* errors) {
  std::string base = testing::TempDir() + "micadock_" + std::to_string(getpid());
  std::FILE* f = std::fopen((base + ".in").c_str(), "wb");
  std::fwrite(input.data(), 1, input.size(), f);
  std::fclose(f);
  std::string command =
      std::string(MICADOCK_SIMHOST) + " < " + base + ".in > " + base + ".out 2> " + base + ".err";
  int status = std::system(command.c_str());
  errors->assign(4096, '\0');
  f = std::fopen((base + ".err").c_str(), "rb");
  errors->resize(std::fread(errors->data(), 1, errors->size(), f));
  std::fclose(f);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Host, EndsCleanlyOrSaysWhatIsWrong) {
  std::string errors;
  std::string empty = Hex("10000000 508d976e12d32040 00000000");
  EXPECT_EQ(RunHost(empty, &errors), 0);
  EXPECT_EQ(errors, "");
  EXPECT_EQ(RunHost(empty + "ab", &errors), 1);
  EXPECT_NE(errors.find("frame length"), std::string::npos);
  EXPECT_EQ(RunHost(Hex("ffffffff 508d976e12d32040 00000000"), &errors), 1);
  EXPECT_NE(errors.find("too large"), std::string::npos);
  EXPECT_EQ(RunHost(Frame(Hex("f203 03000000 02 2900000000000000 00"), 1), &errors), 1);
  EXPECT_NE(errors.find("table 0, which was never sent"), std::string::npos);
  EXPECT_EQ(RunHost(Frame(Hex("e803 03000000 0000000000000000 03000000") + "a=b", 1), &errors), 1);
  EXPECT_NE(errors.find("setting is missing: me"), std::string::npos);
}

}  // namespace
}  // namespace micadock
