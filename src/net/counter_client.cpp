#include "net/counter_client.h"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>

namespace ivygw {

using micadock::Result;

namespace {

// A slow part of the counter holds up only what is written behind it on the same connection.
constexpr size_t kMostConnections = 8;
constexpr size_t kMostOut = 64;       // calls unanswered on a connection; beyond that nothing is added
constexpr size_t kMostUnread = 8192;  // bytes of an answer that is not whole
// Without a byte for so long while calls are out, a connection may be to a machine that is gone, which
// nothing tells (TCP keep-alive included). It is closed and opened anew.
constexpr auto kSilence = std::chrono::milliseconds(1000);  // at least, and twice what a call waits
constexpr auto kBackoffLeast = std::chrono::milliseconds(20), kBackoffMost = std::chrono::milliseconds(500);

struct FreeReply {
  void operator()(void* reply) const { freeReplyObject(reply); }
};
struct FreeReader {
  void operator()(redisReader* reader) const { redisReaderFree(reader); }
};

}  // namespace

class CounterClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(CounterClient* client)
      : client_(client), socket_(client->io_), timer_(client->io_), reader_(redisReaderCreate()) {}

  bool open() const { return open_; }
  size_t out() const { return calls_.size(); }
  bool Usable() { return open_ && (!calls_.empty() || !Stale(socket_)); }

  void Connect() {
    error_code error = Open(socket_, client_->address_);
    if (error) return asio::post(client_->io_, [self = shared_from_this(), this] { Close(true); });
    timer_.expires_after(client_->connect_timeout_);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled && !open_) Close(true);
    });
    socket_.async_connect(client_->address_, [self = shared_from_this(), this](error_code failed) {
      if (closed_) return;
      if (failed) return Close(true);
      open_ = true;
      timer_.cancel();
      client_->backoff_ = {};
      Read();
      // What waited past its time-out was told as never added, so it must not go out late.
      size_t kept = 0;
      std::string text;
      for (size_t i = 0; i < calls_.size(); ++i) {
        client_->unwritten_.erase(calls_[i]->call);
        if (calls_[i]->dropped) continue;
        client_->events_->OnCountWritten(calls_[i]->call);
        text += texts_[i];
        calls_[kept++] = calls_[i];
      }
      calls_.resize(kept);
      texts_.clear();
      unsent_ = std::move(text);
      heard_ = Clock::now();
      greeting_ = client_->protocol_->greeting_answers();
      if (greeting_ > 0) unsent_ = client_->protocol_->Greeting() + unsent_;
      if (!calls_.empty()) Watch();
      Write();
    });
  }

  void Add(const std::shared_ptr<Pending>& call, std::string text) {
    calls_.push_back(call);
    if (!open_) return texts_.push_back(std::move(text));
    // What waits behind another write is not taken back, so only a call whose connection is not up yet is
    // known not to have been added.
    client_->events_->OnCountWritten(call->call);
    if (calls_.size() == 1) {
      heard_ = Clock::now();
      Watch();
    }
    unsent_ += text;
    Write();
  }

  // `failed`: there is no counter to be had at the address. One that was, and then spoilt an answer or reset
  // a connection, may be asked again on another at once.
  void Close(bool failed) {
    if (closed_) return;
    closed_ = true;
    open_ = false;
    auto self = shared_from_this();
    timer_.cancel();
    CloseNow(socket_);
    client_->Lost(this, failed && !leaving_);
    auto calls = std::move(calls_);
    calls_.clear();
    for (auto& call : calls) {
      client_->unwritten_.erase(call->call);
      if (!call->dropped) client_->events_->OnCountLost(call->call);
    }
  }
  // Takes no further call. Closed when what is out is answered; what was not written yet never goes out.
  void Leave() {
    leaving_ = true;
    if (!open_ || calls_.empty()) Close(false);
  }
  bool closed() const { return closed_; }
  void Detach() {
    closed_ = true;
    timer_.cancel();
    CloseNow(socket_);
  }

 private:
  void Write() {
    if (writing_ || unsent_.empty()) return;
    writing_ = true;
    sending_.swap(unsent_);
    unsent_.clear();
    WriteAll(socket_, sending_, [self = shared_from_this(), this](error_code error) {
      writing_ = false;
      if (closed_) return;
      if (error) return asio::post(client_->io_, [self, this] { Close(false); });
      Write();
    });
  }

  // One timer watches for silence while calls are out; answers move only `heard_`.
  void Watch() {
    timer_.expires_at(heard_ + client_->silence_);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (cancelled || closed_ || calls_.empty()) return;
      if (Clock::now() >= heard_ + client_->silence_) return Close(true);
      Watch();
    });
  }

  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this(), this](error_code error, size_t n) {
                              if (closed_) return;
                              if (error) return Close(false);
                              heard_ = Clock::now();
                              unread_ += n;
                              if (redisReaderFeed(reader_.get(), buffer_, n) != REDIS_OK) return Close(false);
                              while (!closed_) {
                                void* raw = nullptr;
                                if (redisReaderGetReply(reader_.get(), &raw) != REDIS_OK) return Close(false);
                                if (raw == nullptr) break;
                                unread_ = 0;
                                std::unique_ptr<void, FreeReply> reply(raw);
                                if (!Take(*static_cast<redisReply*>(raw))) return Close(false);
                              }
                              if (closed_) return;
                              if (unread_ > kMostUnread) return Close(false);
                              if (calls_.empty() && leaving_) return Close(false);
                              if (calls_.empty()) timer_.cancel();
                              Read();
                            });
  }

  // Answers come in the order of the calls, those past their time-out among them. False on garbage.
  bool Take(const redisReply& reply) {
    if (greeting_ > 0) {  // refused: wrong credentials, no such database
      --greeting_;
      return reply.type == REDIS_REPLY_STATUS;
    }
    if (calls_.empty()) return false;
    CounterReading reading = client_->protocol_->Read(reply, &calls_.front()->state);
    if (reading.what == CounterReading::What::kMore) return true;
    if (reading.what == CounterReading::What::kSpoilt) return false;
    auto call = std::move(calls_.front());
    calls_.pop_front();
    bool added = reading.what == CounterReading::What::kTotal;
    client_->events_->OnCountAnswer(call->call, added ? Result::kOk : Result::kFull, reading.total);
    return true;
  }

  CounterClient* client_;
  tcp::socket socket_;
  asio::steady_timer timer_;  // connecting, then silence
  std::unique_ptr<redisReader, FreeReader> reader_;
  std::deque<std::shared_ptr<Pending>> calls_;
  std::deque<std::string> texts_;  // of the calls, before the connection is up
  std::string unsent_, sending_;
  char buffer_[1024];
  size_t unread_ = 0, greeting_ = 0;  // answers to the greeting that are still to come
  Clock::time_point heard_{};
  bool open_ = false, closed_ = false, writing_ = false, leaving_ = false;
};

CounterClient::CounterClient(asio::io_context& io, tcp::endpoint address, double patience_s,
                             double connect_timeout_s, CounterEvents* events, const CounterAccess& access)
    : io_(io),
      address_(std::move(address)),
      silence_(std::max<Clock::duration>(kSilence, 2 * Seconds(patience_s))),
      connect_timeout_(Seconds(connect_timeout_s)),
      events_(events),
      protocol_(MakeCounterProtocol(access)) {}

CounterClient::~CounterClient() {
  for (auto& connection : connections_) connection->Detach();
  for (auto& connection : leaving_) connection->Detach();
}

void CounterClient::Start() { Choose(); }

void CounterClient::Move(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  backoff_ = {};
  not_before_ = {};
  std::vector<std::shared_ptr<Connection>> before = std::move(connections_);
  connections_.clear();
  Start();
  // Ends calls, and so may bring about further ones: these find the new address.
  for (auto& connection : before) {
    connection->Leave();
    if (!connection->closed()) leaving_.push_back(connection);
  }
}

// An idle connection, else a new one while there may be more, else the one with the fewest calls out.
CounterClient::Connection* CounterClient::Choose() {
  Connection *idle = nullptr, *open = nullptr, *coming = nullptr;
  std::vector<std::shared_ptr<Connection>> all = connections_;
  for (auto& connection : all) {
    if (!connection->open()) {
      coming = connection.get();
    } else if (!connection->Usable()) {
      connection->Close(false);
    } else if (connection->out() == 0) {
      if (idle == nullptr) idle = connection.get();
    } else if (open == nullptr || connection->out() < open->out()) {
      open = connection.get();
    }
  }
  if (idle != nullptr) return idle;
  if (coming == nullptr && connections_.size() < kMostConnections && Clock::now() >= not_before_) {
    auto fresh = std::make_shared<Connection>(this);
    connections_.push_back(fresh);
    fresh->Connect();
    coming = fresh.get();
  }
  return open != nullptr ? open : coming;
}

void CounterClient::Call(uint64_t number, uint64_t name, double amount, double keep_s) {
  Connection* connection = Choose();
  if (connection == nullptr || connection->out() >= kMostOut) return events_->OnCountLost(number);
  auto call = std::make_shared<Pending>();
  call->call = number;
  char key[17];
  std::snprintf(key, sizeof(key), "%016llx", static_cast<unsigned long long>(name));
  double bounded = std::isfinite(amount) ? std::clamp(amount, -1e9, 1e9) : 0;
  int keep_ms = static_cast<int>(std::clamp(std::ceil(keep_s * 1000), 1.0, 60000.0));
  if (!connection->open()) unwritten_[number] = call;
  connection->Add(call, protocol_->Call(key, bounded, keep_ms));
}

void CounterClient::Drop(uint64_t number) {
  auto it = unwritten_.find(number);
  if (it == unwritten_.end()) return;
  it->second->dropped = true;
  unwritten_.erase(it);
}

void CounterClient::Lost(Connection* connection, bool failed) {
  for (auto* list : {&connections_, &leaving_}) {
    std::erase_if(*list, [connection](const auto& c) { return c.get() == connection; });
  }
  if (!failed) return;
  // A counter that refuses is not hammered.
  backoff_ = std::clamp<Clock::duration>(backoff_ * 2, kBackoffLeast, kBackoffMost);
  not_before_ = Clock::now() + backoff_;
}

}  // namespace ivygw
