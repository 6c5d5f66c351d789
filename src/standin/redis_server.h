// A stand-in of Redis 7 on sockets (RESP2), for what the shared engine asks of it: AUTH, SELECT, SCRIPT LOAD,
// EVAL and EVALSHA, with hashes and sorted sets inside of scripts, which run in Lua 5.1 as the server's do.
// One database that is told apart by nothing but its keys. Faults are set from outside, between calls. One
// thread.
#ifndef IVYGW_STANDIN_REDIS_SERVER_H_
#define IVYGW_STANDIN_REDIS_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include "standin/listener.h"

struct lua_State;

namespace ivygw::standin {

class RedisServer {
 public:
  explicit RedisServer(asio::io_context& io, std::string password = "");
  ~RedisServer();

  uint16_t port() const { return listener_->port(); }

  // What becomes of a script's call, by its number from 1 on: asked before it runs.
  struct Fate {
    enum What {
      kNormal,
      kError,       // turned away with `text`
      kLostBefore,  // the connection ends, and it did not run
      kLostAfter,   // the connection ends, and it ran
      kNoAnswer,    // it ran, and nothing is heard of that connection any more
    } what = kNormal;
    std::string text;
  };
  std::function<Fate(uint64_t number, const std::string& operation)> fate;
  std::string write_error;        // of each first write within a script: READONLY, OOM
  std::function<double()> clock;  // seconds; none: the machine's
  uint64_t calls() const { return calls_; }

  void ForgetScripts() { scripts_.clear(); }
  void Keep() { kept_ = data_; }      // what a replica has
  void FailOver() { data_ = kept_; }  // and that takes over: what came since is lost
  void Empty() { data_.clear(); }
  // All that is kept, one field or member a line, in the order of the keys; and back. Keys and fields must
  // have no blanks, values no line ends.
  std::string Dump() const;
  void Load(const std::string& dump);
  void Refuse();  // connections end, and none is taken
  void Accept() { listener_->Accept(); }
  void DropAll();  // connections end

 private:
  class Connection;
  struct Sorted {
    std::map<std::string, double> scores;
    std::set<std::pair<double, std::string>> order;
  };
  using Hash = std::map<std::string, std::string>;
  using Value = std::variant<Hash, Sorted>;
  // What a command answers.
  struct Said {
    enum Kind { kNil, kText, kNumber, kList, kError, kStatus } kind = kNil;
    std::string text;
    long long number = 0;
    std::vector<Said> list;
  };

  std::string Answer(const std::vector<std::string>& words, Connection* connection);
  std::string RunScript(const std::string& text, const std::vector<std::string>& words);
  Said Run(const std::vector<std::string>& words);
  Hash* HashAt(const std::string& key, bool make);
  Sorted* SortedAt(const std::string& key, bool make);
  void Tidy(const std::string& key);
  static int CallFromLua(lua_State* lua);
  static int ErrorFromLua(lua_State* lua);
  static void Push(lua_State* lua, const Said& said);
  static std::string Write(lua_State* lua, int at);
  static std::string NameOf(const std::string& script);

  const std::string password_;
  std::unique_ptr<Listener> listener_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::map<std::string, std::string> scripts_;
  std::map<std::string, Value> data_, kept_;
  std::string tag_;  // the first key of the script that runs
  lua_State* lua_ = nullptr;
  uint64_t calls_ = 0;
};

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_REDIS_SERVER_H_
