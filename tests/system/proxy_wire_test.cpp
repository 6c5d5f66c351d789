// The proxy's requests against backends that go wrong at the level of bytes: answers cut, split, doubled,
// glued, late, of others, garbage, resets, ends and silence, at every offset, by seeds. All is the running
// code (the proxy's exchanges, the links, the server of clients) over real sockets of one process. What
// clients and backends saw must agree in the end.
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/message_reader.h"
#include "proxy/exchanges.h"
#include "system/proxy_rig.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // after all others: it names new anew
// clang-format on

using namespace ivygw;

namespace {

constexpr int kSeeds = 2000;
constexpr int kRequestsOfAClient = 3;
constexpr int kDeadlineMs = 40;
constexpr int kSilentOneIn = 40;  // of the actions, so that few deadlines are waited for
constexpr int kMaxAttempts = 2;

const char* const kConfiguration =
    R"({"upsert_items":{"route_table":[{"name":"r","host_name":"h","path_prefix":"/repeat/","route_type":"idempotent",)"
    R"("timeout_ms":5000,"target_latency_ms":1000,"target_service":"s","max_attempts":2,"config_version":"00000001"},)"
    R"({"name":"o","host_name":"h","path_prefix":"/once/","route_type":"non_idempotent",)"
    R"("timeout_ms":5000,"target_latency_ms":1000,"target_service":"s","max_attempts":2,"config_version":"00000001"}],)"
    R"("service_table":[{"name":"s","health_path":"/h","config_version":"00000001"}]}})";

// Of one that is passed on in parts.
std::string LongBodyOf(const std::string& id) { return std::string(150000, 'l') + id; }
std::string BodyOf(const std::string& id) { return "the answer to " + id; }

enum class Action {
  kServe,
  kSplit,
  kServeAndFinish,
  kServeThenFinish,
  kServeThenReset,
  kCutAndFinish,
  kCutAndReset,
  kDoubled,
  kExtraBytes,
  kSecondLate,
  kOtherId,
  kNoId,
  kNoSeal,
  kEncoded,
  kFailure,
  kPromise,
  kNotExecuted,
  kNotExecutedNoId,
  kMisdirected,
  kInterim,
  kGarbage,
  kResetUnread,
  kFinishUnanswered,
  kSilence,
  kStrangersRefusal,
  kLong,
  kLongCut,
  kLongExtra,
  kLongOther,
};
constexpr int kActions = static_cast<int>(Action::kLongOther) + 1;

// What backends have seen of each request, by its id.
struct Seen {
  int arrivals = 0;
  int may_run = 0;   // arrivals that were not turned away
  std::string body;  // of the success that a backend gave; empty: none
};
struct Ledger {
  std::map<std::string, Seen> seen;
  std::string broken;  // the first rule that was
  int served = 0, refused = 0, unknown = 0, closed = 0;

  void Check(bool holds, const std::string& rule) {
    if (!holds && broken.empty()) broken = rule;
  }
};

class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(tcp::socket socket, std::mt19937* dice, Action first, size_t offset, Ledger* ledger)
      : socket_(std::move(socket)),
        reader_(kLongestBody),
        dice_(dice),
        action_(first),
        offset_(offset),
        ledger_(ledger) {}

  void Read() {
    auto self = shared_from_this();
    ReadSome(socket_, kMostRead, [self, this](error_code error, std::string_view bytes) {
      if (error) return;
      reader_.Add(bytes);
      if (reader_.Parse(&body_, kLongestBody))
        return ledger_->Check(false, "unasked: bytes that are no request");
      if (reader_.done()) Arrived();
      if (socket_.is_open()) Read();
    });
  }
  void Close() {
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void Arrived() {
    std::string id(View(reader_.head()["Attempt-Id"]));
    ledger_->Check(!doubt_, "doubt: a request on a connection in doubt");
    ledger_->Check(reader_.unread() == 0, "unasked: more than one request at once");
    Seen& seen = ledger_->seen[id];
    ++seen.arrivals;
    ++seen.may_run;
    bool once = View(reader_.head().target()).find("/once/") == 0;
    ledger_->Check(!once || seen.may_run == 1, "twice: " + id);
    ledger_->Check(seen.arrivals <= kMaxAttempts, "budget: too many arrivals of " + id);
    reader_.Next();
    body_.clear();
    Act(id, &seen);
    previous_ = id;
    do {
      action_ = static_cast<Action>((*dice_)() % kActions);
    } while (action_ == Action::kSilence && (*dice_)() % kSilentOneIn != 0);
    offset_ = (*dice_)();
  }

  static std::string Text(const char* status, const std::string& id, const std::string& more,
                          const std::string& body) {
    std::string text = "HTTP/1.1 ";
    text += status;
    text += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more;
    if (!id.empty()) text += "Attempt-Id: " + id + "\r\n";
    return text + "\r\n" + body;
  }
  void Send(const std::string& text) {
    error_code ignored;
    asio::write(socket_, asio::buffer(text), ignored);
  }
  void Finish() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  void Reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }
  // What the system doesn't take at once, too.
  void SendLong(std::string text, std::function<void()> then) {
    auto held = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*held),
                      [self = shared_from_this(), held, then = std::move(then)](error_code error, size_t) {
                        if (!error) then();
                      });
  }
  void Later(std::string text) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), text = std::move(text)] { self->Send(text); });
  }

  void Act(const std::string& id, Seen* seen) {
    const std::string good = Text("200 OK", id, "Server-Seal: s\r\n", BodyOf(id));
    const std::string other = "of-another";
    size_t cut = offset_ % good.size();
    bool first = previous_.empty();
    auto served = [&] { seen->body = BodyOf(id); };
    auto doubted = [this](const std::string& text) {
      doubt_ = true;
      Send(text);
    };
    auto turned_away = [&](const std::string& text) {
      --seen->may_run;
      Send(text);
    };
    switch (action_) {
      case Action::kServe: served(); return Send(good);
      case Action::kSplit:
        served();
        Send(good.substr(0, cut));
        return Later(good.substr(cut));
      case Action::kServeAndFinish:
        served();
        doubt_ = true;
        Send(Text("200 OK", id, "Server-Seal: s\r\nConnection: close\r\n", BodyOf(id)));
        return Finish();
      case Action::kServeThenFinish:
        served();
        Send(good);
        return Finish();
      case Action::kServeThenReset:
        served();
        Send(good);
        return Reset();
      case Action::kCutAndFinish: doubted(good.substr(0, cut)); return Finish();
      case Action::kCutAndReset: doubted(good.substr(0, cut)); return Reset();
      case Action::kDoubled: served(); return doubted(good + good);
      case Action::kExtraBytes: served(); return doubted(good + good.substr(0, cut + 1));
      case Action::kSecondLate:
        served();
        Send(good);
        return Later(good);
      case Action::kOtherId: return doubted(Text("200 OK", other, "Server-Seal: s\r\n", BodyOf(other)));
      case Action::kNoId: return doubted(Text("200 OK", "", "Server-Seal: s\r\n", BodyOf(other)));
      case Action::kNoSeal: return doubted(Text("200 OK", id, "", BodyOf(other)));
      case Action::kEncoded:
        return doubted(Text("200 OK", id, "Server-Seal: s\r\nContent-Encoding: br\r\n", BodyOf(other)));
      case Action::kFailure: return Send(Text("500 Internal Server Error", id, "", "failed"));
      case Action::kPromise: return Send(Text("503 Service Unavailable", id, "", "no proof"));
      case Action::kNotExecuted:
        return turned_away(Text("503 Service Unavailable", id, "Not-Executed: 1\r\n", "full"));
      case Action::kNotExecutedNoId: {
        if (!first)
          return doubted(Text("503 Service Unavailable", "", "Not-Executed: 1\r\n", "may be another's"));
        return turned_away(Text("400 Bad Request", "", "Not-Executed: 1\r\n", "no id"));
      }
      case Action::kMisdirected: doubt_ = true; return turned_away(Text("421 Misdirected", id, "", "gone"));
      case Action::kInterim: served(); return Send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good);
      case Action::kGarbage:
        return doubted(std::string(1 + cut, static_cast<char>(1 + offset_ % 250)) + "\r\n\r\n");
      case Action::kResetUnread: return Reset();
      case Action::kFinishUnanswered: return Finish();
      case Action::kSilence: doubt_ = true; return;
      case Action::kLong:
        seen->body = LongBodyOf(id);
        return SendLong(Text("200 OK", id, "Server-Seal: s\r\n", seen->body), [] {});
      case Action::kLongCut: {
        doubt_ = true;
        std::string text = Text("200 OK", id, "Server-Seal: s\r\n", LongBodyOf(id));
        text.resize(offset_ * 7919 % text.size());
        return SendLong(text, [self = shared_from_this(), finish = offset_ % 2 == 0] {
          finish ? self->Finish() : self->Reset();
        });
      }
      case Action::kLongExtra:  // what is after the end may leave later than the end
        seen->body = LongBodyOf(id);
        return SendLong(Text("200 OK", id, "Server-Seal: s\r\n", seen->body) + good, [] {});
      case Action::kLongOther:
        doubt_ = true;
        return SendLong(Text("200 OK", other, "Server-Seal: s\r\n", LongBodyOf(other)), [] {});
      case Action::kStrangersRefusal: {
        // Of an earlier request, where there is one; else an own answer.
        if (first) {
          served();
          return Send(good);
        }
        return doubted(Text("421 Misdirected", offset_ % 2 ? "" : previous_, "", "of the one before"));
      }
    }
  }

  tcp::socket socket_;
  MessageReader<true> reader_;
  std::mt19937* dice_;
  Action action_;
  size_t offset_;
  Ledger* ledger_;
  std::string body_, previous_;
  bool doubt_ = false;
};

class Backend {
 public:
  Backend(asio::io_context& io, std::mt19937* dice, Action first, size_t offset, Ledger* ledger)
      : acceptor_(io, Loopback()), dice_(dice), first_(first), offset_(offset), ledger_(ledger) {
    Accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  void Close() {
    acceptor_.close();
    for (auto& connection : connections_) connection->Close();
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      Prepare(socket);
      bool resets = ++accepted_ % 13 == 0;  // beyond its connections
      auto connection =
          std::make_shared<BackendConnection>(std::move(socket), dice_, first_, offset_, ledger_);
      resets ? connection->Close() : connection->Read();
      connections_.push_back(std::move(connection));
      Accept();
    });
  }
  tcp::acceptor acceptor_;
  std::mt19937* dice_;
  const Action first_;
  const size_t offset_;
  Ledger* ledger_;
  size_t accepted_ = 0;
  std::vector<std::shared_ptr<BackendConnection>> connections_;
};

// Asks one request after the other, on one connection as long as that is kept.
class Client {
 public:
  Client(asio::io_context& io, tcp::endpoint proxy, std::string name, unsigned ways, Ledger* ledger)
      : io_(io), proxy_(proxy), name_(std::move(name)), ways_(ways), ledger_(ledger) {
    Ask();
  }
  bool done() const { return done_; }

 private:
  void Ask() {
    if (asked_ == kRequestsOfAClient) {
      done_ = true;
      socket_.reset();
      return;
    }
    id_ = name_ + "-" + std::to_string(++asked_);
    bool once = ways_ >> asked_ & 1, post = ways_ >> (asked_ + 4) & 1;
    std::string body = post ? std::string(2000, 'b') : "";
    text_ = std::string(post ? "POST" : "GET") + (once ? " /once/x" : " /repeat/x") +
            " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id_ +
            "\r\nDeadline-Remaining: " + std::to_string(kDeadlineMs) + "\r\n";
    if (post) text_ += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text_ += "\r\n" + body;
    if (!socket_) {
      socket_ = std::make_unique<tcp::socket>(io_);
      socket_->connect(proxy_);
      Prepare(*socket_);
      reader_ = std::make_unique<MessageReader<false>>(kLongestBody);
    } else {
      reader_->Next();
    }
    body_.clear();
    error_code ignored;
    asio::write(*socket_, asio::buffer(text_), ignored);
    Read();
  }
  void Read() {
    ReadSome(*socket_, kMostRead, [this](error_code error, std::string_view bytes) {
      if (error) return Closed();
      reader_->Add(bytes);
      ledger_->Check(!reader_->Parse(&body_, kLongestBody), "mixed: bytes that are no answer to " + id_);
      if (!ledger_->broken.empty()) {
        done_ = true;
        return;
      }
      reader_->done() ? Answered() : Read();
    });
  }
  void Closed() {
    ++ledger_->closed;
    socket_.reset();
    Ask();
  }
  void Answered() {
    unsigned status = reader_->head().result_int();
    ledger_->Check(reader_->unread() == 0, "mixed: more than the answer to " + id_);
    if (status == 200) {
      ++ledger_->served;
      ledger_->Check(body_ == ledger_->seen[id_].body, "mixed: not the body that a backend gave to " + id_);
      ledger_->Check(View(reader_->head()["Attempt-Id"]) == id_, "mixed: another's id for " + id_);
    } else if (status == 503 || status == 429 || status == 408 || status == 421) {
      ++ledger_->refused;
      promised_.insert(id_);
    } else {
      ++ledger_->unknown;
    }
    if (!reader_->keep_alive()) socket_.reset();
    Ask();
  }

 public:
  // In the end: what was promised not to run has not.
  void CheckPromises() {
    for (const std::string& id : promised_)
      ledger_->Check(ledger_->seen[id].may_run == 0, "refused: " + id + " may have run");
  }

 private:
  asio::io_context& io_;
  const tcp::endpoint proxy_;
  const std::string name_;
  const unsigned ways_;
  Ledger* ledger_;
  std::unique_ptr<tcp::socket> socket_;
  std::unique_ptr<MessageReader<false>> reader_;
  std::string id_, text_, body_;
  std::set<std::string> promised_;
  int asked_ = 0;
  bool done_ = false;
};

void Settle(asio::io_context& io) {
  for (int quiet = 0; quiet < 3; ++quiet) {
    io.restart();
    if (io.poll() > 0) quiet = 0;
  }
}

// Two clients through one proxy to two backends, whose first connections begin with the seed's action and
// offset.
Ledger Play(int seed) {
  bodies::BodyMemory memory{size_t{64} << 20};  // outlives callbacks that are still queued
  asio::io_context io;
  Ledger ledger;
  std::mt19937 dice(static_cast<unsigned>(seed));
  Action action = static_cast<Action>(seed % kActions);
  if (action == Action::kSilence && seed % kSilentOneIn != 0) action = Action::kServe;
  size_t offset = static_cast<size_t>(seed / kActions);
  Backend first(io, &dice, action, offset, &ledger), second(io, &dice, action, offset, &ledger);
  {
    ProxyRig proxy(io, &memory, static_cast<uint64_t>(seed), kConfiguration,
                   {first.address(), second.address()}, 4);
    Client one(io, proxy.front.local(), "a", dice(), &ledger),
        two(io, proxy.front.local(), "b", dice(), &ledger);
    while (ledger.broken.empty() && !(one.done() && two.done())) io.run_one_for(std::chrono::seconds(5));
    Settle(io);
    one.CheckPromises();
    two.CheckPromises();
    ledger.Check(proxy.exchanges.active_requests() == 0,
                 "answered once: a request is held that nobody waits for");
  }
  Settle(io);
  first.Close();
  second.Close();
  Settle(io);
  return ledger;
}

}  // namespace

TEST_GROUP(ProxyWire){};

TEST(ProxyWire, TwoThousandSeedsOfBackendsThatGoWrong) {
  Ledger all;
  for (int seed = 0; seed < kSeeds; ++seed) {
    Ledger ledger = Play(seed);
    if (!ledger.broken.empty()) FAIL(("broken: " + ledger.broken + ", seed " + std::to_string(seed)).c_str());
    all.served += ledger.served;
    all.refused += ledger.refused;
    all.unknown += ledger.unknown;
    all.closed += ledger.closed;
  }
  std::printf("%d seeds: %d served, %d refused, %d of unknown outcome, %d closed\n", kSeeds, all.served,
              all.refused, all.unknown, all.closed);
  CHECK(all.served > 0 && all.refused > 0 && all.unknown > 0);
}
