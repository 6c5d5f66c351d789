// How calls to the shared engine are written for Redis 7 and Valkey, and what their answers mean. Pure; one
// thread.
//
// Each call is one run of one script (EVALSHA): it runs whole or not at all, under the server's own clock,
// and many ride on one write. All keys begin with one hash tag, so that a cluster keeps them on one server.
// WATCH with MULTI and EXEC would take two ways there and back for each batch, and a connection for each that
// is under way.
#ifndef IVYGW_SHARED_REDIS_PROTOCOL_H_
#define IVYGW_SHARED_REDIS_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shared/engine.h"

struct redisReply;

namespace ivygw::shared {

inline constexpr int kRedisForm = 1;  // of the entries there; a higher one is left alone

// The script, in Lua 5.1.
std::string_view RedisScript();

// An array of bulk strings.
std::string RedisCommand(const std::vector<std::string_view>& words);

// `sha`: what SCRIPT LOAD told; empty: the script goes along (EVAL). `generation`: drawn by the caller, taken
// where the store is new. The call is sound.
std::string RedisCall(const Call& call, std::string_view sha, const std::string& prefix,
                      const std::string& generation);

// An error as the server words it. `writes`: a commit with changes; what is not known to mean that nothing
// was done may have been done.
Reply RedisFault(std::string_view error, bool writes);
inline bool IsNoScript(std::string_view error) { return error.substr(0, 8) == "NOSCRIPT"; }
// None: no answer to such a call; what it did is not known, and the connection is of no further use.
std::optional<Reply> RedisAnswer(const redisReply& reply, const Call& call);

}  // namespace ivygw::shared

#endif  // IVYGW_SHARED_REDIS_PROTOCOL_H_
