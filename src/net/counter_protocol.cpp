#include "net/counter_protocol.h"

#include <hiredis/hiredis.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <initializer_list>

namespace ivygw {
namespace {

using What = CounterReading::What;

std::string Words(std::initializer_list<std::string_view> words) {
  std::string text = "*" + std::to_string(words.size()) + "\r\n";
  for (std::string_view word : words) {
    text += "$" + std::to_string(word.size()) + "\r\n";
    text.append(word).append("\r\n");
  }
  return text;
}

std::string Decimal(double amount) {
  char text[64];
  int n = std::snprintf(text, sizeof(text), "%.6f", amount);
  return {text, static_cast<size_t>(n)};
}

CounterReading Total(const redisReply& reply) {
  if (reply.type != REDIS_REPLY_STRING) return {What::kSpoilt, 0};
  double total = 0;
  const char* end = reply.str + reply.len;
  auto [at, bad] = std::from_chars(reply.str, end, total);
  if (bad != std::errc() || at != end || !std::isfinite(total)) return {What::kSpoilt, 0};
  return {What::kTotal, total};
}

bool Status(const redisReply& reply, std::string_view text) {
  return reply.type == REDIS_REPLY_STATUS && std::string_view(reply.str, reply.len) == text;
}

class Tally : public CounterProtocol {
 public:
  explicit Tally(std::string prefix) : prefix_(std::move(prefix)) {}
  std::string Call(std::string_view name, double amount, int keep_ms) const override {
    return Words({"TALLY", prefix_ + std::string(name), Decimal(amount), std::to_string(keep_ms)});
  }
  CounterReading Read(const redisReply& reply, CounterCallState*) const override {
    if (reply.type == REDIS_REPLY_ERROR) return {What::kNotAdded, 0};  // -BUSY and -ERR
    return Total(reply);
  }

 private:
  const std::string prefix_;
};

class Redis : public CounterProtocol {
 public:
  explicit Redis(const CounterAccess& access) : access_(access) {}

  std::string Greeting() const override {
    std::string text;
    if (!access_.username.empty()) {
      text += Words({"AUTH", access_.username, access_.password});
    } else if (!access_.password.empty()) {
      text += Words({"AUTH", access_.password});
    }
    if (access_.database != 0) text += Words({"SELECT", std::to_string(access_.database)});
    return text;
  }
  size_t greeting_answers() const override {
    return (access_.username.empty() && access_.password.empty() ? 0u : 1u) +
           (access_.database != 0 ? 1u : 0u);
  }
  std::string Call(std::string_view name, double amount, int keep_ms) const override {
    std::string key = access_.prefix + std::string(name);
    return Words({"MULTI"}) + Words({"INCRBYFLOAT", key, Decimal(amount)}) +
           Words({"PEXPIRE", key, std::to_string(keep_ms), "NX"}) + Words({"EXEC"});
  }
  // An error while queueing makes EXEC discard all of it, so its own answer tells. Only where MULTI was not
  // taken (a server that just finished loading, say) does what follows run by itself, and answer so.
  CounterReading Read(const redisReply& reply, CounterCallState* state) const override {
    bool error = reply.type == REDIS_REPLY_ERROR;
    switch (state->turn++) {
      case 0:
        state->begun = Status(reply, "OK");
        return {error || state->begun ? What::kMore : What::kSpoilt, 0};
      case 1: {
        CounterReading alone = Total(reply);
        state->added = !state->begun && alone.what == What::kTotal;
        state->total = alone.total;
        bool sound = error || state->added || (state->begun && Status(reply, "QUEUED"));
        return {sound ? What::kMore : What::kSpoilt, 0};
      }
      case 2: {
        bool sound = error || (state->begun ? Status(reply, "QUEUED") : reply.type == REDIS_REPLY_INTEGER);
        return {sound ? What::kMore : What::kSpoilt, 0};
      }
      default:
        if (state->added) return {What::kTotal, state->total};
        if (error || reply.type == REDIS_REPLY_NIL) return {What::kNotAdded, 0};  // -EXECABORT and its like
        if (reply.type != REDIS_REPLY_ARRAY || reply.elements != 2) return {What::kSpoilt, 0};
        if (reply.element[0]->type == REDIS_REPLY_ERROR)
          return {What::kNotAdded, 0};  // the name holds no number
        return Total(*reply.element[0]);
    }
  }

 private:
  const CounterAccess access_;
};

}  // namespace

std::unique_ptr<CounterProtocol> MakeCounterProtocol(const CounterAccess& access) {
  if (access.kind == CounterKind::kRedis) return std::make_unique<Redis>(access);
  return std::make_unique<Tally>(access.prefix);
}

}  // namespace ivygw
