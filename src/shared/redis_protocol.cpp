#include "shared/redis_protocol.h"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace ivygw::shared {
namespace {

// Times are microseconds of the server's clock, revisions whole numbers under 2^53, both exact in a double.
// <tag>:m  form, generation g, revision r      <tag>:e  entries, "version value" by key    <tag>:l  ends of
// leases by key <tag>:k  keys in order                       <tag>:w:<space>  keys by version <tag>:g:<space>
// keys that went <tag>:f  by space, the revision up to which those that went are forgotten
constexpr std::string_view kScript = R"lua(
local tag, op = KEYS[1], ARGV[1]
local M, E, L, K, F = tag .. ':m', tag .. ':e', tag .. ':l', tag .. ':k', tag .. ':f'
local time = redis.call('TIME')
local now = tonumber(time[1]) * 1000000 + tonumber(time[2])
local made = redis.call('HMGET', M, 'form', 'g', 'r')
if made[1] and tonumber(made[1]) > 1 then return {'newer', made[1]} end
local g, r = made[2] or '', tonumber(made[3] or '0')

local function text(n) return string.format('%.0f', n) end
local function space(key)
  local at = string.find(key, '/', 1, true)
  return at and string.sub(key, 1, at - 1) or key
end
local function stored(key)
  local raw = redis.call('HGET', E, key)
  if not raw then return nil end
  local at = string.find(raw, ' ', 1, true)
  local ends = redis.call('ZSCORE', L, key)
  return string.sub(raw, 1, at - 1), string.sub(raw, at + 1), ends and tonumber(ends) - now
end

local out = {'ok', g, text(r)}
local function tell(key)
  local version, value, left = stored(key)
  if not version then return true end
  if left and left <= 0 then return false end
  out[#out + 1] = key
  out[#out + 1] = version
  out[#out + 1] = value
  out[#out + 1] = left and text(left) or '-'
  return true
end

if op == 'get' then
  tell(ARGV[3])
  return out
end
if op == 'range' then
  local from, to = '-', '+'
  if ARGV[3] ~= '' then from, to = '[' .. ARGV[3], '(' .. ARGV[3] .. '\255' end
  local keys = redis.call('ZRANGEBYLEX', K, from, to, 'LIMIT', 0, tonumber(ARGV[4]))
  for i = 1, #keys do tell(keys[i]) end
  return out
end
if op == 'since' then
  local since = tonumber(ARGV[4])
  local forgotten = tonumber(redis.call('HGET', F, ARGV[3]) or '0')
  if since < forgotten or since > r then return {'part', g, text(r)} end
  local written = redis.call('ZRANGEBYSCORE', tag .. ':w:' .. ARGV[3], '(' .. ARGV[4], '+inf', 'LIMIT', 0, tonumber(ARGV[5]))
  local gone = redis.call('ZRANGEBYSCORE', tag .. ':g:' .. ARGV[3], '(' .. ARGV[4], '+inf')
  for i = 1, #written do tell(written[i]) end
  -- Leases that have ended since, which nobody's write has taken out yet.
  local lapsed = redis.call('ZRANGEBYSCORE', L, '-inf', text(now), 'LIMIT', 0, 10000)
  for i = 1, #lapsed do
    if space(lapsed[i]) == ARGV[3] then gone[#gone + 1] = lapsed[i] end
  end
  out[#out + 1] = 'gone'
  for i = 1, #gone do out[#out + 1] = gone[i] end
  return out
end

local function keep() redis.call('HSET', M, 'form', '1', 'g', g, 'r', text(r)) end
local function forget(key, revision)
  local of = space(key)
  redis.call('HDEL', E, key)
  redis.call('ZREM', L, key)
  redis.call('ZREM', K, key)
  redis.call('ZREM', tag .. ':w:' .. of, key)
  local went = tag .. ':g:' .. of
  redis.call('ZADD', went, text(revision), key)
  if redis.call('ZCARD', went) > 10000 then
    local first = redis.call('ZRANGE', went, 0, 0, 'WITHSCORES')
    redis.call('HSET', F, of, first[2])
    redis.call('ZREMRANGEBYRANK', went, 0, 0)
  end
end

local changes = 0
if op == 'commit' then
  -- Conditions first: one that does not hold leaves all as it was.
  local at, conditions = 5, tonumber(ARGV[4])
  for i = 1, conditions do
    local version, _, left = stored(ARGV[at])
    if not version or (left and left <= 0) then version = '0' end
    if version ~= ARGV[at + 1] then return {'conflict', g, text(r), ARGV[at]} end
    at = at + 2
  end
  changes = tonumber(ARGV[at])
  if changes == 0 then return out end
  if g == '' then g = ARGV[2] .. '.' .. text(now) end  -- never one that was before
  local ended = redis.call('ZRANGEBYSCORE', L, '-inf', text(now), 'LIMIT', 0, 1000)
  for i = 1, #ended do
    r = r + 1
    forget(ended[i], r)
  end
  r = math.max(r, tonumber(ARGV[3]))
  at = at + 1
  for i = 1, changes do
    local key, what, value, lease = ARGV[at], ARGV[at + 1], ARGV[at + 2], ARGV[at + 3]
    at = at + 4
    local version, _, left = stored(key)
    if left and left <= 0 then version = nil end
    if what == 'renew' then
      if version then redis.call('ZADD', L, text(now + tonumber(lease)), key) end
    else
      r = r + 1
      if what == 'remove' then
        if version then forget(key, r) end
      else
        redis.call('HSET', E, key, text(r) .. ' ' .. value)
        redis.call('ZADD', K, 0, key)
        redis.call('ZADD', tag .. ':w:' .. space(key), text(r), key)
        redis.call('ZREM', tag .. ':g:' .. space(key), key)
        if lease == '-' then redis.call('ZREM', L, key) else redis.call('ZADD', L, text(now + tonumber(lease)), key) end
      end
    end
  end
  keep()
  return {'ok', g, text(r)}
end
return redis.error_reply('IVYGW no such call')
)lua";

std::string Micros(double seconds) {
  return std::to_string(static_cast<long long>(std::llround(std::max(seconds * 1e6, 1.0))));
}

bool Begins(std::string_view text, std::string_view with) { return text.substr(0, with.size()) == with; }

std::string_view Part(const redisReply& array, size_t i) {
  return {array.element[i]->str, array.element[i]->len};
}

std::optional<uint64_t> Number(std::string_view text) {
  uint64_t n = 0;
  if (text.empty() || text.size() > 18) return std::nullopt;
  for (char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    n = n * 10 + static_cast<uint64_t>(c - '0');
  }
  return n;
}

}  // namespace

std::string_view RedisScript() { return kScript; }

std::string RedisCommand(const std::vector<std::string_view>& words) {
  std::string text = "*" + std::to_string(words.size()) + "\r\n";
  for (std::string_view word : words)
    text.append("$").append(std::to_string(word.size())).append("\r\n").append(word).append("\r\n");
  return text;
}

std::string RedisCall(const Call& call, std::string_view sha, const std::string& prefix,
                      const std::string& generation) {
  std::string tag = prefix + ":{fleet}";
  std::vector<std::string> made;  // words that live here
  made.reserve(8 + 2 * call.batch.conditions.size() + 4 * call.batch.changes.size());
  std::vector<std::string_view> words;
  auto add = [&](std::string word) { words.push_back(made.emplace_back(std::move(word))); };
  words = {sha.empty() ? "EVAL" : "EVALSHA", sha.empty() ? kScript : sha, "1", tag};
  switch (call.kind) {
    case CallKind::kGet: words.insert(words.end(), {"get", generation, call.key}); break;
    case CallKind::kRange:
      words.insert(words.end(), {"range", generation, call.key});
      add(std::to_string(kMostEntries + 1));
      break;
    case CallKind::kChanges:
      words.insert(words.end(), {"since", generation, call.key});
      add(std::to_string(call.since));
      add(std::to_string(kMostEntries + 1));
      break;
    case CallKind::kCommit:
      words.insert(words.end(), {"commit", generation});
      add(std::to_string(call.batch.at_least));
      add(std::to_string(call.batch.conditions.size()));
      for (const Condition& c : call.batch.conditions) {
        words.push_back(c.key);
        add(std::to_string(c.version));
      }
      add(std::to_string(call.batch.changes.size()));
      for (const Change& c : call.batch.changes) {
        words.push_back(c.key);
        words.push_back(c.renew ? "renew" : c.value ? "put" : "remove");
        words.push_back(c.value ? std::string_view(*c.value) : std::string_view());
        add(c.lease_s ? Micros(*c.lease_s) : "-");
      }
      break;
  }
  return RedisCommand(words);
}

Reply RedisFault(std::string_view error, bool writes) {
  struct Known {
    const char* begins;
    Fault fault;
  };
  // Each is told before the script has changed anything: it looks at all that it reads before it writes, and
  // the server turns a first write away whole.
  static constexpr Known kKnown[] = {
      {"READONLY", Fault::kReadOnly},
      {"MISCONF", Fault::kReadOnly},
      {"NOREPLICAS", Fault::kBusy},
      {"LOADING", Fault::kBusy},
      {"BUSY", Fault::kBusy},
      {"TRYAGAIN", Fault::kBusy},
      {"OOM", Fault::kFull},
      {"MOVED", Fault::kMoved},
      {"ASK", Fault::kMoved},
      {"CLUSTERDOWN", Fault::kBusy},
      {"MASTERDOWN", Fault::kUnreachable},
      {"NOAUTH", Fault::kUnreachable},
      {"NOPERM", Fault::kUnreachable},
      {"WRONGPASS", Fault::kUnreachable},
      {"NOSCRIPT", Fault::kBusy},
  };
  for (const Known& k : kKnown) {
    if (Begins(error, k.begins)) return NotDone(k.fault, std::string(error));
  }
  if (Begins(error, "WRONGTYPE"))
    return writes ? MaybeDone(Fault::kBroken, std::string(error))
                  : NotDone(Fault::kBroken, std::string(error));
  return writes ? MaybeDone(Fault::kUnreachable, std::string(error))
                : NotDone(Fault::kUnreachable, std::string(error));
}

std::optional<Reply> RedisAnswer(const redisReply& reply, const Call& call) {
  bool writes = call.kind == CallKind::kCommit && !call.batch.changes.empty();
  if (reply.type == REDIS_REPLY_ERROR) return RedisFault({reply.str, reply.len}, writes);
  if (reply.type != REDIS_REPLY_ARRAY || reply.elements < 2) return std::nullopt;
  for (size_t i = 0; i < reply.elements; ++i) {
    if (reply.element[i]->type != REDIS_REPLY_STRING) return std::nullopt;
  }
  std::string_view word = Part(reply, 0);
  if (word == "newer")
    return NotDone(Fault::kNewer, "its form " + std::string(Part(reply, 1)) + " is newer than " +
                                      std::to_string(kRedisForm));
  if (reply.elements < 3) return std::nullopt;
  std::optional<uint64_t> revision = Number(Part(reply, 2));
  if (!revision) return std::nullopt;
  Reply told;
  told.outcome = Outcome::kDone;
  told.fault = Fault::kNone;
  told.generation = std::string(Part(reply, 1));
  told.revision = *revision;
  if (word == "conflict") {
    if (reply.elements != 4 || call.kind != CallKind::kCommit) return std::nullopt;
    told.outcome = Outcome::kNotDone;
    told.fault = Fault::kConflict;
    told.why = std::string(Part(reply, 3));
    return told;
  }
  if (word == "part" && call.kind == CallKind::kChanges) {
    told.whole = false;
    return told;
  }
  if (word != "ok") return std::nullopt;
  size_t i = 3;
  for (; i + 4 <= reply.elements; i += 4) {
    if (call.kind == CallKind::kChanges && Part(reply, i) == "gone") break;
    Entry entry{std::string(Part(reply, i)), std::string(Part(reply, i + 2)), 0, std::nullopt};
    std::optional<uint64_t> version = Number(Part(reply, i + 1));
    if (!version) return std::nullopt;
    entry.version = *version;
    if (std::string_view left = Part(reply, i + 3); left != "-") {
      std::optional<uint64_t> micros = Number(left);
      if (!micros) return std::nullopt;
      entry.lease_left_s = static_cast<double>(*micros) * 1e-6;
    }
    told.entries.push_back(std::move(entry));
  }
  if (call.kind == CallKind::kChanges) {
    if (i >= reply.elements || Part(reply, i) != "gone") return std::nullopt;
    for (++i; i < reply.elements; ++i) told.gone.push_back(std::string(Part(reply, i)));
    std::sort(told.gone.begin(), told.gone.end());
  }
  if (i != reply.elements) return std::nullopt;
  if (told.entries.size() > kMostEntries) return NotDone(Fault::kBad, "over 20000 entries");
  return told;
}

}  // namespace ivygw::shared
