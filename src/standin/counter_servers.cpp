#include "standin/counter_servers.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <deque>

namespace ivygw::standin {

using emulator::CounterReply;
using emulator::CounterResult;

namespace {

constexpr int kMostConnections = 32;  // of one gateway; further ones are reset

// A line "<mark><number>\r\n" at `at`; 1: read, 0: not whole yet, -1: no such line.
int ReadLength(const std::string& bytes, size_t* at, char mark, size_t most, size_t* value) {
  size_t end = bytes.find("\r\n", *at);
  if (end == std::string::npos) return bytes.size() - *at > 32 ? -1 : 0;
  if (bytes[*at] != mark) return -1;
  const char* first = bytes.data() + *at + 1;
  auto [stop, bad] = std::from_chars(first, bytes.data() + end, *value);
  if (bad != std::errc() || stop != bytes.data() + end || *value > most) return -1;
  *at = end + 2;
  return 1;
}

bool ReadDouble(const std::string& text, double* value) {
  auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return bad == std::errc() && end == text.data() + text.size() && std::isfinite(*value);
}

}  // namespace

bool ReadCalls(std::string* bytes, std::vector<std::vector<std::string>>* calls, const CallLimits& limits) {
  size_t taken = 0;
  while (taken < bytes->size()) {
    size_t at = taken, words = 0;
    int state = ReadLength(*bytes, &at, '*', limits.words, &words);
    if (state < 0) return false;
    if (state == 0) break;
    std::vector<std::string> call;
    for (size_t i = 0; i < words && state > 0; ++i) {
      size_t size = 0;
      state = ReadLength(*bytes, &at, '$', limits.word, &size);
      if (state < 0) return false;
      if (state == 0) break;
      if (bytes->size() < at + size + 2) {
        state = 0;
        break;
      }
      if (bytes->compare(at + size, 2, "\r\n") != 0) return false;
      call.push_back(bytes->substr(at, size));
      at += size + 2;
    }
    if (state == 0) break;
    calls->push_back(std::move(call));
    taken = at;
  }
  bytes->erase(0, taken);
  return bytes->size() <= limits.bytes;
}

class CounterServers::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(CounterServers* owner, int gateway, tcp::socket socket)
      : owner_(owner), gateway_(gateway), socket_(std::move(socket)) {
    ++owner_->open_[static_cast<size_t>(gateway_)];
  }

  void Read() {
    socket_.async_read_some(asio::buffer(part_),
                            [self = shared_from_this(), this](error_code error, size_t n) {
                              if (closed_) return;
                              if (error) return Close();
                              in_.append(part_, n);
                              std::vector<std::vector<std::string>> calls;
                              bool sound = ReadCalls(&in_, &calls);
                              for (const auto& call : calls) Take(call);
                              if (!sound) return Close();
                              if (!closed_) Read();
                            });
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    ResetConnection(socket_);
    --owner_->open_[static_cast<size_t>(gateway_)];
    owner_->connections_.erase(shared_from_this());
  }
  void Detach() {
    closed_ = true;
    ResetConnection(socket_);
  }

 private:
  struct Slot {
    bool ready = false;
    std::string text;
  };

  // Answers come in the order of the calls, however long the first takes.
  void Take(const std::vector<std::string>& call) {
    auto slot = std::make_shared<Slot>();
    slots_.push_back(slot);
    auto now = [&](const std::string& text) {
      slot->ready = true;
      slot->text = text;
      Flush();
    };
    if (call.empty()) return now("-ERR empty call\r\n");
    if (call[0] == "PING") return now("+PONG\r\n");
    if (call[0] == "CLIENT" || call[0] == "SELECT") return now("+OK\r\n");
    if (call[0] == "AUTH") return now(call.back() == "wrong" ? "-WRONGPASS invalid password\r\n" : "+OK\r\n");
    if (call[0] == "MULTI" || call[0] == "INCRBYFLOAT" || call[0] == "PEXPIRE" || call[0] == "EXEC") {
      return Transact(call, slot);
    }
    double amount = 0, life_ms = 0;
    if (call[0] != "TALLY" || call.size() != 4) return now("-ERR no such call\r\n");
    if (call[1].empty() || call[1].size() > 64) return now("-ERR a name has 1 to 64 bytes\r\n");
    if (!ReadDouble(call[2], &amount) || std::fabs(amount) > 1e9)
      return now("-ERR the amount is no number\r\n");
    if (!ReadDouble(call[3], &life_ms) || life_ms < 1) return now("-ERR the life is no number\r\n");
    Count(call[1], amount, life_ms / 1000, slot, "-BUSY\r\n", [](const std::string& total) { return total; });
  }

  // Commands between MULTI and EXEC run together; one that can't be queued makes EXEC discard them all.
  void Transact(const std::vector<std::string>& call, const std::shared_ptr<Slot>& slot) {
    auto now = [&](const std::string& text) {
      slot->ready = true;
      slot->text = text;
      Flush();
    };
    if (call[0] == "MULTI") {
      queued_.clear();
      in_transaction_ = true;
      spoilt_ = false;
      return now("+OK\r\n");
    }
    if (call[0] != "EXEC") {
      bool sound = in_transaction_ && call.size() >= 3;
      if (!sound) spoilt_ = true;
      if (sound) queued_.push_back(call);
      return now(sound ? "+QUEUED\r\n" : "-ERR only in a transaction here\r\n");
    }
    if (!std::exchange(in_transaction_, false)) return now("-ERR EXEC without MULTI\r\n");
    double amount = 0, life_ms = 0;
    bool sound = !spoilt_ && queued_.size() == 2 && queued_[0][0] == "INCRBYFLOAT" &&
                 queued_[1][0] == "PEXPIRE" && queued_[0][1] == queued_[1][1] && queued_[1].back() == "NX";
    if (!sound || !ReadDouble(queued_[0][2], &amount) || !ReadDouble(queued_[1][2], &life_ms)) {
      return now("-EXECABORT Transaction discarded because of previous errors.\r\n");
    }
    Count(queued_[0][1], amount, life_ms / 1000, slot, "-EXECABORT out of room\r\n",
          [](const std::string& total) { return "*2\r\n" + total + ":1\r\n"; });
  }

  void Count(const std::string& name, double amount, double life_s, const std::shared_ptr<Slot>& slot,
             const char* busy, std::string (*whole)(const std::string&)) {
    CounterReply reply = owner_->world_->Count(gateway_, name, amount, life_s);
    switch (reply.result) {
      case CounterResult::kSilent: return;  // this slot and those behind it stay unanswered
      case CounterResult::kRefused: return Close();
      case CounterResult::kBusy: slot->text = busy; break;
      case CounterResult::kTotal: {
        char text[40];
        int n = std::snprintf(text, sizeof(text), "%.9g", reply.total);
        slot->text = whole("$" + std::to_string(n) + "\r\n" + text + "\r\n");
        break;
      }
    }
    // One that was silent and speaks again cannot answer what it has forgotten: it starts anew.
    if (slots_.size() > 1 && slots_.front()->text.empty()) return Close();
    owner_->scheduler_->At(reply.at, [self = shared_from_this(), this, slot] {
      slot->ready = true;
      if (!closed_) Flush();
    });
  }

  void Flush() {
    while (!slots_.empty() && slots_.front()->ready) {
      out_ += slots_.front()->text;
      slots_.pop_front();
    }
    if (out_.empty() || writing_ || closed_) return;
    writing_ = true;
    going_.swap(out_);
    out_.clear();
    WriteAll(socket_, going_, [self = shared_from_this(), this](error_code error) {
      writing_ = false;
      if (closed_) return;
      if (error) return Close();
      Flush();
    });
  }

  CounterServers* owner_;
  const int gateway_;
  tcp::socket socket_;
  char part_[4096];
  std::string in_, out_, going_;
  std::deque<std::shared_ptr<Slot>> slots_;
  std::vector<std::vector<std::string>> queued_;  // since MULTI
  bool in_transaction_ = false, spoilt_ = false;
  bool writing_ = false, closed_ = false;
};

CounterServers::CounterServers(asio::io_context& io, AsioScheduler* scheduler, emulator::World* world,
                               int gateways)
    : scheduler_(scheduler), world_(world), open_(static_cast<size_t>(gateways)) {
  for (int g = 0; g < gateways; ++g) {
    listeners_.push_back(std::make_unique<Listener>(io, [this, g](tcp::socket socket) {
      if (open_[static_cast<size_t>(g)] >= kMostConnections) return ResetConnection(socket);
      auto connection = std::make_shared<Connection>(this, g, std::move(socket));
      connections_.insert(connection);
      connection->Read();
    }));
  }
}

CounterServers::~CounterServers() {
  for (const auto& connection : connections_) connection->Detach();
}

void CounterServers::Refuse(bool refuses) {
  if (refuses) {
    auto connections = connections_;
    for (const auto& connection : connections) connection->Close();
  }
  for (auto& listener : listeners_) refuses ? listener->Refuse() : listener->Accept();
}

}  // namespace ivygw::standin
