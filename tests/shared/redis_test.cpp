// The engine over Redis against the model in memory, and each way in which the server and the way there can
// fail. The stand-in runs the engine's own script.
#include <functional>
#include <optional>

#include "shared/redis_engine.h"
#include "shared/redis_protocol.h"
#include "shared/store_compare.h"
#include "standin/redis_server.h"
#include "standin/relay.h"

namespace ivygw::shared {
namespace {

using standin::RedisServer;
using Fate = RedisServer::Fate;

// A server and an engine on one loop.
struct Pair {
  explicit Pair(const std::string& password = "", const std::string& told = "",
                std::optional<uint16_t> port = {})
      : server(io, password) {
    options.address = {asio::ip::address_v4::loopback(), port.value_or(server.port())};
    options.password = told.empty() ? password : told;
    options.generation = "drawn";
    options.silence_s = 0.3;
    engine = std::make_unique<RedisEngine>(io, options);
  }
  Reply Take(const Call& call) {
    std::optional<Reply> reply;
    engine->Ask(call, [&](const Reply& r) { reply = r; });
    while (!reply) io.run_one();
    return *reply;
  }
  // Asked again until it is done: connections come up anew.
  Reply InTheEnd(const Call& call) {
    for (;;) {
      Reply reply = Take(call);
      if (reply.outcome != Outcome::kNotDone || reply.fault != Fault::kUnreachable) return reply;
      asio::steady_timer wait(io, std::chrono::milliseconds(5));
      bool over = false;
      wait.async_wait([&](error_code) { over = true; });
      while (!over) io.run_one();
    }
  }
  asio::io_context io;
  RedisServer server;
  RedisOptions options;
  std::unique_ptr<RedisEngine> engine;
};
Batch One(const std::string& key, const std::string& value) { return {{}, {Put(key, value)}, 0}; }

TEST(RedisEngine, AnswersAsTheModelDoes) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Pair p;
    double now = 1000;
    p.server.clock = [&now] { return now; };
    CompareWithModel(seed, &now, [&](const Call& call) { return p.Take(call); });
  }
}

TEST(RedisEngine, ManyCallsRideOnOneConnection) {
  Pair p;
  int answers = 0;
  for (int i = 0; i < 500; ++i) {
    p.engine->Ask(Commit(One("a/" + std::to_string(i), "x")), [&, i](const Reply& r) {
      EXPECT_TRUE(r.done()) << r.why;
      EXPECT_EQ(r.revision, static_cast<uint64_t>(i + 1)) << "in their order";
      ++answers;
    });
  }
  while (answers < 500) p.io.run_one();
  EXPECT_EQ(p.Take(Range("a/")).entries.size(), 500u);
}

TEST(RedisEngine, BytesOfAnyKindComeBack) {
  Pair p;
  std::string all;
  for (int c = 0; c < 256; ++c) all += static_cast<char>(c);
  ASSERT_TRUE(p.Take(Commit(One("a/ \r\n", all + " $1\r\n" + all))).done());
  Reply r = p.Take(Get("a/ \r\n"));
  ASSERT_EQ(r.entries.size(), 1u);
  EXPECT_EQ(r.entries[0].value, all + " $1\r\n" + all);
}

TEST(RedisEngine, EachErrorOfTheServerIsOneOutcome) {
  struct {
    const char* error;
    Fault fault;
    Outcome outcome;
  } cases[] = {
      {"READONLY You can't write against a read only replica.", Fault::kReadOnly, Outcome::kNotDone},
      {"LOADING Redis is loading the dataset in memory", Fault::kBusy, Outcome::kNotDone},
      {"OOM command not allowed when used memory > 'maxmemory'.", Fault::kFull, Outcome::kNotDone},
      {"MOVED 3999 127.0.0.1:6381", Fault::kMoved, Outcome::kNotDone},
      {"CLUSTERDOWN The cluster is down", Fault::kBusy, Outcome::kNotDone},
      {"BUSY Redis is busy running a script.", Fault::kBusy, Outcome::kNotDone},
      {"NOREPLICAS Not enough good replicas to write.", Fault::kBusy, Outcome::kNotDone},
      {"MISCONF Redis is configured to save RDB snapshots", Fault::kReadOnly, Outcome::kNotDone},
      {"ERR something that nobody foresaw", Fault::kUnreachable, Outcome::kMaybeDone},
  };
  for (const auto& c : cases) {
    Pair p;
    ASSERT_TRUE(p.Take(Commit(One("a/1", "x"))).done());
    p.server.fate = [&](uint64_t, const std::string&) { return Fate{Fate::kError, c.error}; };
    Reply r = p.Take(Commit(One("a/1", "y")));
    EXPECT_EQ(r.fault, c.fault) << c.error;
    EXPECT_EQ(r.outcome, c.outcome) << c.error;
    p.server.fate = nullptr;
    EXPECT_EQ(p.InTheEnd(Get("a/1")).entries.at(0).value, "x");
  }
}

TEST(RedisEngine, AFirstWriteThatIsTurnedAwayLeavesAllAsItWas) {
  Pair p;
  ASSERT_TRUE(p.Take(Commit(One("a/1", "x"))).done());
  p.server.write_error = "READONLY You can't write against a read only replica.";
  Reply r = p.Take(Commit({{}, {Put("a/1", "y"), Put("a/2", "y")}, 0}));
  EXPECT_EQ(r.outcome, Outcome::kNotDone);
  EXPECT_EQ(r.fault, Fault::kReadOnly);
  p.server.write_error.clear();
  EXPECT_EQ(p.InTheEnd(Range("a/")).entries.size(), 1u);
}

TEST(RedisEngine, AServerThatForgotTheScriptIsToldItAgain) {
  Pair p;
  ASSERT_TRUE(p.Take(Commit(One("a/1", "x"))).done());
  p.server.ForgetScripts();
  int done = 0;
  for (int i = 0; i < 20; ++i) {
    p.engine->Ask(Commit(One("a/" + std::to_string(i), "y")), [&](const Reply& r) { done += r.done(); });
  }
  while (done < 20) p.io.run_one();
  EXPECT_EQ(p.Take(Range("a/")).entries.size(), 20u);
}

// The nth call of each kind fails in each way: what may have been done is never told as not done.
TEST(RedisEngine, TheNthCallLost) {
  for (Fate::What what : {Fate::kLostBefore, Fate::kLostAfter, Fate::kNoAnswer}) {
    for (uint64_t n = 1; n <= 6; ++n) {
      for (bool writes : {true, false}) {
        Pair p;
        p.server.fate = [&](uint64_t number, const std::string&) {
          return Fate{number == n ? what : Fate::kNormal, ""};
        };
        for (uint64_t i = 1; i <= 6; ++i) {
          std::string key = "a/" + std::to_string(i);
          Reply r = writes ? p.InTheEnd(Commit(One(key, "x"))) : p.InTheEnd(Get(key));
          if (i != n) {
            EXPECT_TRUE(r.done()) << r.why;
          } else if (writes) {
            EXPECT_EQ(r.outcome, Outcome::kMaybeDone) << n;
          }
        }
        p.server.fate = nullptr;
        size_t kept = p.InTheEnd(Range("a/")).entries.size();
        EXPECT_EQ(kept, !writes ? 0u : what == Fate::kLostBefore ? 5u : 6u);
      }
    }
  }
}

TEST(RedisEngine, WhatWasNotWrittenIsNotDone) {
  Pair p("", "", 1);  // nothing listens there
  Reply r = p.Take(Commit(One("a/1", "x")));
  EXPECT_EQ(r.outcome, Outcome::kNotDone);
  EXPECT_EQ(r.fault, Fault::kUnreachable);
}

TEST(RedisEngine, WrongPasswordsAreToldAsSuch) {
  Pair right("secret"), wrong("secret", "guess");
  EXPECT_TRUE(right.Take(Commit(One("a/1", "x"))).done());
  Reply r = wrong.Take(Commit(One("a/1", "x")));
  EXPECT_EQ(r.outcome, Outcome::kNotDone);
  EXPECT_NE(r.why.find("WRONGPASS"), std::string::npos) << r.why;
}

TEST(RedisEngine, AFailOverThatLostWritesIsSeen) {
  Pair p;
  Watermark mark;
  mark.See(p.Take(Commit(One("a/1", "x"))));
  p.server.Keep();
  mark.See(p.Take(Commit(One("a/2", "x"))));
  p.server.FailOver();
  Reply r = p.Take(Get("a/2"));
  EXPECT_EQ(mark.See(r), Watermark::Seen::kLost);
  EXPECT_TRUE(r.entries.empty());
  Batch again = One("a/2", "y");
  again.at_least = mark.highest();
  EXPECT_GT(p.Take(Commit(again)).revision, mark.highest());
}

TEST(RedisEngine, AnEmptyServerIsAnotherStore) {
  Pair p;
  Watermark mark;
  mark.See(p.Take(Commit(One("a/1", "x"))));
  p.server.Empty();
  EXPECT_EQ(mark.See(p.Take(Get("a/1"))), Watermark::Seen::kLost);
}

// Another looks again only when the store has been made anew, by the same caller as before and above all its
// revisions.
TEST(RedisEngine, AStoreMadeAnewIsNeverTakenForTheOneBefore) {
  Pair p;
  Watermark mark, other;
  Reply first = p.Take(Commit(One("a/1", "x")));
  mark.See(first), other.See(first);
  p.server.Empty();
  Batch again = One("a/1", "x");
  again.at_least = mark.highest();
  Reply second = p.Take(Commit(again));
  EXPECT_EQ(other.See(second), Watermark::Seen::kLost);
}

TEST(RedisEngine, AnEndedLeaseIsToldOfThoughNobodyWrites) {
  Pair p;
  double now = 10;
  p.server.clock = [&now] { return now; };
  Reply put = p.Take(Commit({{}, {Put("a/1", "x", 1.0)}, 0}));
  now = 12;
  EXPECT_EQ(p.Take(ChangesSince("a", put.revision)).gone, std::vector<std::string>{"a/1"});
  EXPECT_TRUE(p.Take(Range("a/")).entries.empty());
}

TEST(RedisEngine, TooManyThatWaitAreNotDone) {
  Pair p;
  int busy = 0, others = 0;
  for (int i = 0; i < 5000; ++i) {
    p.engine->Ask(Get("a/1"), [&](const Reply& r) { ++(r.fault == Fault::kBusy ? busy : others); });
  }
  while (busy + others < 5000) p.io.run_one();
  EXPECT_EQ(busy, 5000 - 4096);
}

TEST(RedisEngine, NothingIsToldAfterItsEnd) {
  Pair p;
  int told = 0;
  for (int i = 0; i < 10; ++i) p.engine->Ask(Get("a/1"), [&](const Reply&) { ++told; });
  p.io.poll();
  int before = told;
  p.engine.reset();
  p.io.restart();
  p.io.poll();
  EXPECT_EQ(told, before);
}

// What comes back as bytes is read as an answer or refused; nothing harms.
TEST(RedisProtocol, AnswersThatAreNone) {
  Pair p;
  p.server.fate = [](uint64_t n, const std::string&) { return n == 2 ? Fate{Fate::kError, ""} : Fate{}; };
  ASSERT_TRUE(p.Take(Commit(One("a/1", "x"))).done());
  Reply r = p.Take(Commit(One("a/2", "x")));
  EXPECT_EQ(r.outcome, Outcome::kMaybeDone);
}

// The relay's faults on the way to the server.
TEST(Relay, EachFaultIsOneOutcome) {
  Pair p;
  standin::Relay relay(p.io, p.options.address);
  p.options.address = relay.address();
  p.engine = std::make_unique<RedisEngine>(p.io, p.options);
  ASSERT_TRUE(p.Take(Commit(One("a/1", "x"))).done());
  relay.back.swallows = true;  // one way only: it is done, and nobody hears
  EXPECT_EQ(p.Take(Commit(One("a/2", "x"))).outcome, Outcome::kMaybeDone);
  relay.Mend();
  EXPECT_EQ(p.InTheEnd(Range("a/")).entries.size(), 2u);
  relay.there.swallows = true;
  EXPECT_EQ(p.Take(Commit(One("a/3", "x"))).outcome, Outcome::kMaybeDone);
  relay.Mend();
  EXPECT_EQ(p.InTheEnd(Range("a/")).entries.size(), 2u) << "and it was not";
  relay.ResetAll();
  relay.back.reset_after = 60;  // within the answer to the greeting
  EXPECT_FALSE(p.Take(Commit(One("a/4", "x"))).done());
  relay.Mend();
  relay.there.stall_after = 40;
  relay.ResetAll();
  EXPECT_FALSE(p.Take(Get("a/1")).done());
  relay.Mend();
  relay.ResetAll();
  relay.Cut();
  EXPECT_EQ(p.Take(Commit(One("a/5", "x"))).outcome, Outcome::kNotDone);
  relay.Mend();
  relay.there.delay_s = 0.02;
  EXPECT_TRUE(p.InTheEnd(Commit(One("a/6", "x"))).done());
}

}  // namespace
}  // namespace ivygw::shared
