#include "standin/redis_server.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <limits>
#include <lua.hpp>
#include <sstream>
#include <utility>

#include "standin/counter_servers.h"

namespace ivygw::standin {
namespace {

// What a line of a dump begins with.
constexpr char kHashKind[] = "hash", kSortedKind[] = "sorted";

std::string Upper(std::string text) {
  for (char& c : text) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  return text;
}
std::string Bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}
std::string Error(const std::string& text) { return "-" + text + "\r\n"; }
std::string Score(double score) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.17g", score);
  return text;
}
double Bound(const std::string& text, bool* open) {
  *open = !text.empty() && text[0] == '(';
  std::string number = *open ? text.substr(1) : text;
  if (number == "-inf") return -std::numeric_limits<double>::infinity();
  if (number == "+inf") return std::numeric_limits<double>::infinity();
  return std::strtod(number.c_str(), nullptr);
}

constexpr CallLimits kLimits{512, 2 << 20, 8 << 20};
constexpr const char* kWrites[] = {"HSET", "HDEL", "ZADD", "ZREM", "ZREMRANGEBYRANK"};

}  // namespace

class RedisServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(RedisServer* server, tcp::socket socket) : server_(server), socket_(std::move(socket)) {}
  void Start() { Read(); }
  void Close() {
    if (std::exchange(closed_, true)) return;
    ResetConnection(socket_);
    auto self = shared_from_this();
    server_->connections_.erase(self);
  }
  bool authorised = false, mute = false;

 private:
  void Read() {
    ReadSome(socket_, kMostRead, [self = shared_from_this(), this](error_code error, std::string_view bytes) {
      if (closed_) return;
      if (error) return Close();
      unread_.append(bytes);
      std::vector<std::vector<std::string>> calls;
      if (!ReadCalls(&unread_, &calls, kLimits)) return Close();
      for (const auto& words : calls) {
        std::string text = server_->Answer(words, this);
        if (closed_) return;
        if (!mute) unsent_ += text;
      }
      Write();
      Read();
    });
  }
  void Write() {
    if (writing_ || unsent_.empty()) return;
    writing_ = true;
    sending_.swap(unsent_);
    unsent_.clear();
    WriteAll(socket_, sending_, [self = shared_from_this(), this](error_code error) {
      writing_ = false;
      if (closed_) return;
      if (error) return Close();
      Write();
    });
  }
  RedisServer* server_;
  tcp::socket socket_;
  std::string unread_, unsent_, sending_;
  bool writing_ = false, closed_ = false;
};

RedisServer::RedisServer(asio::io_context& io, std::string password) : password_(std::move(password)) {
  listener_ = std::make_unique<Listener>(io, [this](tcp::socket socket) {
    auto connection = std::make_shared<Connection>(this, std::move(socket));
    connections_.insert(connection);
    connection->authorised = password_.empty();
    connection->Start();
  });
  lua_ = luaL_newstate();
  luaL_openlibs(lua_);
  // A script reaches nothing of the machine.
  for (const char* name : {"io", "os", "package", "require", "dofile", "loadfile", "debug"}) {
    lua_pushnil(lua_);
    lua_setglobal(lua_, name);
  }
  lua_newtable(lua_);
  lua_pushlightuserdata(lua_, this);
  lua_pushcclosure(lua_, CallFromLua, 1);
  lua_setfield(lua_, -2, "call");
  lua_pushcfunction(lua_, ErrorFromLua);
  lua_setfield(lua_, -2, "error_reply");
  lua_setglobal(lua_, "redis");
}

RedisServer::~RedisServer() {
  DropAll();
  lua_close(lua_);
}

void RedisServer::DropAll() {
  auto connections = connections_;
  for (const auto& connection : connections) connection->Close();
}

void RedisServer::Refuse() {
  listener_->Refuse();
  DropAll();
}

std::string RedisServer::NameOf(const std::string& script) {
  char text[41];
  size_t a = std::hash<std::string>()(script), b = std::hash<std::string>()(script + "2");
  std::snprintf(text, sizeof(text), "%016zx%016zx%08zx", a, b, script.size());
  return text;
}

std::string RedisServer::Answer(const std::vector<std::string>& words, Connection* connection) {
  std::string name = Upper(words.empty() ? "" : words[0]);
  if (name == "AUTH" && words.size() >= 2) {
    if (words.back() != password_)
      return Error("WRONGPASS invalid username-password pair or user is disabled.");
    connection->authorised = true;
    return "+OK\r\n";
  }
  if (!connection->authorised) return Error("NOAUTH Authentication required.");
  if (name == "SELECT") return "+OK\r\n";
  if (name == "SCRIPT" && words.size() == 3 && Upper(words[1]) == "LOAD") {
    scripts_[NameOf(words[2])] = words[2];
    return Bulk(NameOf(words[2]));
  }
  if ((name != "EVAL" && name != "EVALSHA") || words.size() < 4)
    return Error("ERR unknown command '" + name + "'");
  Fate f;
  if (fate)
    f = fate(++calls_, words.size() > 4 ? words[4] : "");
  else
    ++calls_;
  if (f.what == Fate::kError) return Error(f.text);
  if (f.what == Fate::kLostBefore) {
    connection->Close();
    return "";
  }
  std::string text = words[1];
  if (name == "EVALSHA") {
    auto it = scripts_.find(words[1]);
    if (it == scripts_.end()) return Error("NOSCRIPT No matching script. Please use EVAL.");
    text = it->second;
  } else {
    scripts_[NameOf(text)] = text;
  }
  std::string answer = RunScript(text, words);
  if (f.what == Fate::kLostAfter) connection->Close();
  if (f.what == Fate::kNoAnswer) connection->mute = true;
  return answer;
}

std::string RedisServer::RunScript(const std::string& text, const std::vector<std::string>& words) {
  size_t keys = static_cast<size_t>(std::atoi(words[2].c_str()));
  if (words.size() < 3 + keys) return Error("ERR Number of keys can't be greater than number of args");
  tag_ = keys > 0 ? words[3] : "";
  auto table = [&](const char* name, size_t from, size_t to) {
    lua_newtable(lua_);
    for (size_t i = from; i < to; ++i) {
      lua_pushlstring(lua_, words[i].data(), words[i].size());
      lua_rawseti(lua_, -2, static_cast<int>(i - from + 1));
    }
    lua_setglobal(lua_, name);
  };
  table("KEYS", 3, 3 + keys);
  table("ARGV", 3 + keys, words.size());
  std::string answer;
  if (luaL_loadbuffer(lua_, text.data(), text.size(), "@user_script") != 0) {
    answer = Error(std::string("ERR Error compiling script: ") + lua_tostring(lua_, -1));
  } else if (lua_pcall(lua_, 0, 1, 0) != 0) {
    if (lua_istable(lua_, -1)) {
      lua_getfield(lua_, -1, "err");
      answer = Error(std::string(lua_tostring(lua_, -1)) + " script: stand-in, on @user_script:1.");
      lua_pop(lua_, 1);
    } else {
      answer = Error(std::string("ERR ") + lua_tostring(lua_, -1));
    }
  } else {
    answer = Write(lua_, -1);
  }
  lua_pop(lua_, 1);
  return answer;
}

// A value that a script returns, as the server writes it: a table's parts up to the first nil.
std::string RedisServer::Write(lua_State* lua, int at) {
  switch (lua_type(lua, at)) {
    case LUA_TSTRING: {
      size_t size = 0;
      const char* text = lua_tolstring(lua, at, &size);
      return Bulk(std::string(text, size));
    }
    case LUA_TNUMBER: return ":" + std::to_string(static_cast<long long>(lua_tonumber(lua, at))) + "\r\n";
    case LUA_TBOOLEAN: return lua_toboolean(lua, at) ? ":1\r\n" : "$-1\r\n";
    case LUA_TTABLE: break;
    default: return "$-1\r\n";
  }
  lua_pushvalue(lua, at);
  for (const auto& [field, sign] : {std::pair{"err", "-"}, std::pair{"ok", "+"}}) {
    lua_getfield(lua, -1, field);
    std::string text = lua_isstring(lua, -1) ? sign + std::string(lua_tostring(lua, -1)) + "\r\n" : "";
    lua_pop(lua, 1);
    if (!text.empty()) return lua_pop(lua, 1), text;
  }
  std::string parts;
  int n = 0;
  for (;;) {
    lua_rawgeti(lua, -1, n + 1);
    if (lua_isnil(lua, -1)) break;
    parts += Write(lua, -1);
    lua_pop(lua, 1);
    ++n;
  }
  lua_pop(lua, 2);
  return "*" + std::to_string(n) + "\r\n" + parts;
}

void RedisServer::Push(lua_State* lua, const Said& said) {
  switch (said.kind) {
    case Said::kNil: return lua_pushboolean(lua, 0);
    case Said::kText: return void(lua_pushlstring(lua, said.text.data(), said.text.size()));
    case Said::kNumber: return lua_pushnumber(lua, static_cast<double>(said.number));
    case Said::kStatus:
    case Said::kError:
      lua_newtable(lua);
      lua_pushlstring(lua, said.text.data(), said.text.size());
      return lua_setfield(lua, -2, said.kind == Said::kError ? "err" : "ok");
    case Said::kList: break;
  }
  lua_newtable(lua);
  for (size_t i = 0; i < said.list.size(); ++i) {
    Push(lua, said.list[i]);
    lua_rawseti(lua, -2, static_cast<int>(i + 1));
  }
}

int RedisServer::ErrorFromLua(lua_State* lua) {
  lua_newtable(lua);
  lua_pushvalue(lua, 1);
  lua_setfield(lua, -2, "err");
  return 1;
}

// Nothing with a destructor may be alive where Lua's error leaves this function.
int RedisServer::CallFromLua(lua_State* lua) {
  auto* self = static_cast<RedisServer*>(lua_touserdata(lua, lua_upvalueindex(1)));
  bool failed = false;
  {
    std::vector<std::string> words;
    for (int i = 1; i <= lua_gettop(lua); ++i) {
      if (lua_type(lua, i) == LUA_TNUMBER) {
        double n = lua_tonumber(lua, i);
        words.push_back(n == std::floor(n) && std::fabs(n) < 1e15 ? std::to_string(static_cast<long long>(n))
                                                                  : Score(n));
      } else {
        size_t size = 0;
        const char* text = lua_tolstring(lua, i, &size);
        words.push_back(text == nullptr ? "" : std::string(text, size));
      }
    }
    Said said = self->Run(words);
    failed = said.kind == Said::kError;
    Push(lua, said);
  }
  return failed ? lua_error(lua) : 1;
}

std::string RedisServer::Dump() const {
  std::string dump;
  auto append = [&dump](const char* kind, const std::string& key, const std::string& field,
                        const std::string& value) {
    dump.append(kind).append(" ").append(key).append(" ").append(field).append(" = ").append(value).append(
        "\n");
  };
  for (const auto& [key, value] : data_) {
    if (const auto* hash = std::get_if<Hash>(&value)) {
      for (const auto& [field, text] : *hash) append(kHashKind, key, field, text);
    } else {
      for (const auto& [member, score] : std::get<Sorted>(value).scores) {
        append(kSortedKind, key, member, std::to_string(score));
      }
    }
  }
  return dump;
}

void RedisServer::Load(const std::string& dump) {
  data_.clear();
  std::istringstream lines(dump);
  for (std::string kind, key, field, equals, value; lines >> kind >> key >> field >> equals;) {
    lines.ignore(1);
    std::getline(lines, value);
    if (kind == kHashKind) {
      (*HashAt(key, true))[field] = value;
    } else {
      Sorted& sorted = *SortedAt(key, true);
      sorted.scores[field] = std::stod(value);
      sorted.order.emplace(std::stod(value), field);
    }
  }
}

RedisServer::Hash* RedisServer::HashAt(const std::string& key, bool make) {
  auto it = data_.find(key);
  if (it == data_.end()) {
    if (!make) return nullptr;
    it = data_.emplace(key, Hash()).first;
  }
  return std::get_if<Hash>(&it->second);
}
RedisServer::Sorted* RedisServer::SortedAt(const std::string& key, bool make) {
  auto it = data_.find(key);
  if (it == data_.end()) {
    if (!make) return nullptr;
    it = data_.emplace(key, Sorted()).first;
  }
  return std::get_if<Sorted>(&it->second);
}
void RedisServer::Tidy(const std::string& key) {
  auto it = data_.find(key);
  if (it == data_.end()) return;
  bool empty = std::visit(
      [](const auto& v) {
        if constexpr (std::is_same_v<std::decay_t<decltype(v)>, Hash>)
          return v.empty();
        else
          return v.scores.empty();
      },
      it->second);
  if (empty) data_.erase(it);
}

// NOLINTNEXTLINE(readability-function-size): to be split with its package, as docs/ROADMAP.md lists.
RedisServer::Said RedisServer::Run(const std::vector<std::string>& words) {
  auto text = [](std::string t) { return Said{Said::kText, std::move(t), 0, {}}; };
  auto number = [](long long n) { return Said{Said::kNumber, "", n, {}}; };
  auto error = [](std::string t) { return Said{Said::kError, std::move(t), 0, {}}; };
  std::string name = Upper(words.empty() ? "" : words[0]);
  Said list{Said::kList, "", 0, {}};
  if (name == "TIME") {
    double now = 0;
    if (clock) {
      now = clock();
    } else {
      timespec at{};
      clock_gettime(CLOCK_REALTIME, &at);
      now = static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
    }
    long long micros = std::llround(now * 1e6);
    list.list = {text(std::to_string(micros / 1000000)), text(std::to_string(micros % 1000000))};
    return list;
  }
  if (words.size() < 2) return error("ERR wrong number of arguments");
  const std::string& key = words[1];
  if (tag_.empty() || key.compare(0, tag_.size(), tag_) != 0)
    return error("ERR a key outside of the script's hash tag: " + key);
  bool writes = std::find(std::begin(kWrites), std::end(kWrites), name) != std::end(kWrites);
  if (writes && !write_error.empty()) return error(write_error);
  bool hash = name[0] == 'H';
  bool adds = name == "HSET" || name == "ZADD";
  Hash* h = hash ? HashAt(key, adds) : nullptr;
  Sorted* z = hash ? nullptr : SortedAt(key, adds);
  if (data_.count(key) != 0 && (hash ? h == nullptr : z == nullptr)) {
    return error("WRONGTYPE Operation against a key holding the wrong kind of value");
  }
  if (name == "HGET") {
    if (h == nullptr || h->count(words[2]) == 0) return {};
    return text(h->at(words[2]));
  }
  if (name == "HMGET") {
    for (size_t i = 2; i < words.size(); ++i)
      list.list.push_back(h != nullptr && h->count(words[i]) != 0 ? text(h->at(words[i])) : Said{});
    return list;
  }
  if (name == "HSET") {
    long long fresh = 0;
    for (size_t i = 2; i + 1 < words.size(); i += 2) {
      fresh += h->count(words[i]) == 0;
      (*h)[words[i]] = words[i + 1];
    }
    return number(fresh);
  }
  if (name == "HDEL") {
    long long gone = h != nullptr ? static_cast<long long>(h->erase(words[2])) : 0;
    Tidy(key);
    return number(gone);
  }
  auto take = [&](const std::string& member) {
    auto it = z->scores.find(member);
    if (it == z->scores.end()) return false;
    z->order.erase({it->second, member});
    z->scores.erase(it);
    return true;
  };
  if (name == "ZADD") {
    double score = std::strtod(words[2].c_str(), nullptr);
    bool fresh = !take(words[3]);
    z->scores[words[3]] = score;
    z->order.insert({score, words[3]});
    return number(fresh);
  }
  if (name == "ZREM") {
    bool gone = z != nullptr && take(words[2]);
    Tidy(key);
    return number(gone);
  }
  if (name == "ZSCORE") {
    if (z == nullptr || z->scores.count(words[2]) == 0) return {};
    return text(Score(z->scores.at(words[2])));
  }
  if (name == "ZCARD") return number(z == nullptr ? 0 : static_cast<long long>(z->scores.size()));
  long long most = std::numeric_limits<long long>::max();
  if (words.size() >= 7 && Upper(words[4]) == "LIMIT") most = std::atoll(words[6].c_str());
  if (name == "ZRANGEBYLEX") {
    bool all = words[2] == "-";
    std::string from = all ? "" : words[2].substr(1), to = words[3] == "+" ? "" : words[3].substr(1);
    if (z == nullptr) return list;
    for (auto it = z->scores.lower_bound(from); it != z->scores.end() && (all || it->first < to); ++it) {
      if (static_cast<long long>(list.list.size()) >= most) break;
      list.list.push_back(text(it->first));
    }
    return list;
  }
  if (name == "ZRANGEBYSCORE") {
    bool open_from = false, open_to = false;
    double from = Bound(words[2], &open_from), to = Bound(words[3], &open_to);
    if (z == nullptr) return list;
    for (const auto& [score, member] : z->order) {
      if (score < from || (open_from && score == from)) continue;
      if (score > to || (open_to && score == to) || static_cast<long long>(list.list.size()) >= most) break;
      list.list.push_back(text(member));
    }
    return list;
  }
  if (name == "ZRANGE" && words[2] == "0" && words[3] == "0") {
    if (z == nullptr || z->order.empty()) return list;
    list.list = {text(z->order.begin()->second), text(Score(z->order.begin()->first))};
    return list;
  }
  if (name == "ZREMRANGEBYRANK" && words[2] == "0" && words[3] == "0") {
    if (z != nullptr && !z->order.empty()) take(std::string(z->order.begin()->second));
    Tidy(key);
    return number(1);
  }
  return error("ERR unknown command '" + name + "'");
}

}  // namespace ivygw::standin
