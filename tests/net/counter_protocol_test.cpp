// Both ways to a counter: what is written, what each answer means, and the client among servers that fail.
#include "net/counter_protocol.h"

#include <gtest/gtest.h>
#include <hiredis/hiredis.h>

#include <memory>
#include <vector>

#include "net/counter_client.h"
#include "rig/counter_calls.h"
#include "rig/gateway_rig.h"

namespace ivygw {
namespace {

using What = CounterReading::What;

CounterAccess RedisAccess() {
  CounterAccess access;
  access.kind = CounterKind::kRedis;
  return access;
}

// What comes of the answers in `text`, in turn, for one call.
CounterReading Reading(const CounterProtocol& protocol, const std::string& text) {
  std::unique_ptr<redisReader, void (*)(redisReader*)> reader(redisReaderCreate(), &redisReaderFree);
  redisReaderFeed(reader.get(), text.data(), text.size());
  CounterCallState state;
  for (;;) {
    void* raw = nullptr;
    if (redisReaderGetReply(reader.get(), &raw) != REDIS_OK || raw == nullptr) return {What::kMore, -1};
    std::unique_ptr<void, void (*)(void*)> reply(raw, &freeReplyObject);
    CounterReading reading = protocol.Read(*static_cast<redisReply*>(raw), &state);
    if (reading.what != What::kMore) return reading;
  }
}

TEST(CounterProtocol, WritesThePlatformsCall) {
  auto tally = MakeCounterProtocol({});
  EXPECT_EQ(tally->Call("abc", -2.5, 4000),
            "*4\r\n$5\r\nTALLY\r\n$3\r\nabc\r\n$9\r\n-2.500000\r\n$4\r\n4000\r\n");
  EXPECT_EQ(tally->Greeting(), "");
  EXPECT_EQ(Reading(*tally, "$4\r\n12.5\r\n").total, 12.5);
  EXPECT_EQ(Reading(*tally, "-BUSY\r\n").what, What::kNotAdded);
  EXPECT_EQ(Reading(*tally, "-ERR no\r\n").what, What::kNotAdded);
  for (const char* odd :
       {"+OK\r\n", "$3\r\nabc\r\n", "$3\r\nnan\r\n", "$-1\r\n", ":5\r\n", "*1\r\n$1\r\n5\r\n"}) {
    EXPECT_EQ(Reading(*tally, odd).what, What::kSpoilt) << odd;
  }
}

TEST(CounterProtocol, WritesOneTransactionForRedis) {
  CounterAccess access = RedisAccess();
  access.prefix = "ivygw:";
  access.username = "gw";
  access.password = "secret";
  access.database = 3;
  auto redis = MakeCounterProtocol(access);
  EXPECT_EQ(redis->Call("abc", 2.5, 4000),
            "*1\r\n$5\r\nMULTI\r\n"
            "*3\r\n$11\r\nINCRBYFLOAT\r\n$9\r\nivygw:abc\r\n$8\r\n2.500000\r\n"
            "*4\r\n$7\r\nPEXPIRE\r\n$9\r\nivygw:abc\r\n$4\r\n4000\r\n$2\r\nNX\r\n"
            "*1\r\n$4\r\nEXEC\r\n");
  EXPECT_EQ(redis->Greeting(),
            "*3\r\n$4\r\nAUTH\r\n$2\r\ngw\r\n$6\r\nsecret\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n3\r\n");
  EXPECT_EQ(redis->greeting_answers(), 2u);
}

// Each way in which a transaction can end maps to one of: added, not added, may have been added.
TEST(CounterProtocol, ReadsWhatATransactionCameTo) {
  auto redis = MakeCounterProtocol(RedisAccess());
  std::string queued = "+OK\r\n+QUEUED\r\n+QUEUED\r\n";
  CounterReading good = Reading(*redis, queued + "*2\r\n$4\r\n12.5\r\n:1\r\n");
  EXPECT_EQ(good.what, What::kTotal);
  EXPECT_EQ(good.total, 12.5);
  EXPECT_EQ(Reading(*redis, queued + "*2\r\n$4\r\n12.5\r\n:0\r\n").what, What::kTotal)
      << "the name had a life";
  for (const std::string& none :
       {queued + "-EXECABORT discarded\r\n", queued + "*-1\r\n", queued + "-READONLY replica\r\n",
        std::string("+OK\r\n-OOM full\r\n+QUEUED\r\n-EXECABORT discarded\r\n"),
        std::string("-LOADING\r\n-LOADING\r\n-LOADING\r\n-LOADING\r\n"),
        std::string("-NOAUTH\r\n-NOAUTH\r\n-NOAUTH\r\n-ERR EXEC without MULTI\r\n"),
        queued + "*2\r\n-WRONGTYPE no number\r\n:1\r\n"}) {
    EXPECT_EQ(Reading(*redis, none).what, What::kNotAdded) << none;
  }
  // MULTI was not taken, and what followed ran by itself: added, though EXEC is an error.
  CounterReading alone = Reading(*redis, "-LOADING\r\n$1\r\n7\r\n:1\r\n-ERR EXEC without MULTI\r\n");
  EXPECT_EQ(alone.what, What::kTotal);
  EXPECT_EQ(alone.total, 7);
  for (const std::string& odd :
       {std::string("+QUEUED\r\n"), std::string("+OK\r\n$1\r\n7\r\n"), std::string("$1\r\n7\r\n"),
        queued + "*1\r\n$1\r\n7\r\n", queued + "*2\r\n$3\r\nabc\r\n:1\r\n", queued + "+OK\r\n",
        queued + "*2\r\n:7\r\n:1\r\n"}) {
    EXPECT_EQ(Reading(*redis, odd).what, What::kSpoilt) << odd;
  }
}

// The client against a server that answers each whole command by `answer(words)`.
struct RedisSite {
  using Answer = std::function<std::string(const std::vector<std::string>&)>;
  explicit RedisSite(Answer answer)
      : server([answer](rig::Wire& wire) {
          std::string text;
          for (;;) {
            std::vector<std::string> words;
            size_t at = 0;
            auto line = [&](std::string* out) {
              size_t end;
              while ((end = wire.unread.find("\r\n", at)) == std::string::npos) {
                if (!wire.More()) return false;
              }
              *out = wire.unread.substr(at, end - at);
              at = end + 2;
              return true;
            };
            std::string head, size, word;
            if (!line(&head)) return;
            for (int i = 0; i < std::atoi(head.c_str() + 1); ++i) {
              if (!line(&size) || !line(&word)) return;
              words.push_back(word);
            }
            wire.unread.erase(0, at);
            std::string said = answer(words);
            if (said == "close") return;
            wire.Write(said);
          }
        }) {}
  micadock::CountAnswer Call(double amount, const CounterAccess& access) {
    CounterCalls calls(server.port(), 5, access);
    calls.client.Start();
    calls.Call(42, amount, 4);
    calls.Until([&] { return !calls.answers.empty(); });
    return calls.answers.empty() ? micadock::CountAnswer{} : calls.answers[0];
  }
  rig::Server server;
};

TEST(RedisCounter, AddsThroughATransactionAfterItsGreeting) {
  std::vector<std::string> seen;
  std::mutex mutex;
  RedisSite site([&](const std::vector<std::string>& words) -> std::string {
    std::lock_guard lock(mutex);
    seen.push_back(words[0]);
    if (words[0] == "EXEC") return "*2\r\n$1\r\n9\r\n:1\r\n";
    return words[0] == "INCRBYFLOAT" || words[0] == "PEXPIRE" ? "+QUEUED\r\n" : "+OK\r\n";
  });
  CounterAccess access = RedisAccess();
  access.password = "secret";
  access.database = 1;
  micadock::CountAnswer answer = site.Call(2, access);
  EXPECT_EQ(answer.result, micadock::Result::kOk);
  EXPECT_EQ(answer.total, 9);
  EXPECT_EQ(answer.name, 42u);
  std::lock_guard lock(mutex);
  EXPECT_EQ(seen, (std::vector<std::string>{"AUTH", "SELECT", "MULTI", "INCRBYFLOAT", "PEXPIRE", "EXEC"}));
}

TEST(RedisCounter, TellsNotAddedFromMayHaveBeen) {
  auto until = [](const char* word, const char* instead) {
    return [=](const std::vector<std::string>& words) -> std::string {
      if (words[0] == word) return instead;
      return words[0] == "MULTI" ? "+OK\r\n" : "+QUEUED\r\n";
    };
  };
  RedisSite aborted(until("EXEC", "-EXECABORT discarded\r\n")), cut(until("EXEC", "close")),
      noise(until("EXEC", "+WHAT\r\n"));
  EXPECT_EQ(aborted.Call(2, RedisAccess()).result, micadock::Result::kFull);
  EXPECT_EQ(cut.Call(2, RedisAccess()).result, micadock::Result::kTimeout) << "it may have run";
  EXPECT_EQ(noise.Call(2, RedisAccess()).result, micadock::Result::kTimeout);
}

TEST(RedisCounter, WrongCredentialsAddNothing) {
  RedisSite site([](const std::vector<std::string>& words) -> std::string {
    return words[0] == "AUTH" ? "-WRONGPASS\r\n" : "close";
  });
  CounterAccess access = RedisAccess();
  access.password = "wrong";
  EXPECT_NE(site.Call(2, access).result, micadock::Result::kOk);
}

}  // namespace
}  // namespace ivygw
