#include "net/backend_pool.h"

#include <charconv>
#include <cmath>
#include <optional>

#include "net/limits.h"

namespace ivygw {

using micadock::Result;

namespace {

constexpr size_t kMaxAnswer = kMaxBody;
constexpr int kMostInterim = 16;  // 1xx answers ahead of the final one

}  // namespace

struct BackendPool::Backend {
  tcp::endpoint address;
  bool draining = false;
  Clock::time_point no_send_after{};              // of a draining one
  std::vector<std::shared_ptr<Connection>> kept;  // idle; the most recently used last
};

// One connection. It always has one read pending, so that an end or unasked bytes are seen while it is idle.
class BackendPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(BackendPool* pool, uint32_t backend, const tcp::endpoint& address)
      : pool_(pool), backend_(backend), address_(address), socket_(pool->io_), timer_(pool->io_) {
    ++pool_->connections_;
  }
  ~Connection() { CloseSocket(); }

  const tcp::endpoint& address() const { return address_; }
  bool may_have_run() const { return written_; }
  bool Usable() { return open_ && !busy_ && !Stale(socket_); }

  void Begin(uint64_t attempt, std::string message, double patience_s, Done done) {
    busy_ = true;
    written_ = false;
    attempt_ = attempt;
    message_ = std::move(message);
    done_ = std::move(done);
    began_ = Clock::now();
    give_up_ = began_ + Seconds(std::max(0.0, patience_s));
    interim_ = 0;
    Renew(&parser_, kMaxAnswer);
    if (open_) {
      WaitUntil(give_up_);
      Write();
    } else {
      Connect();
    }
  }

  // Ends the attempt without an outcome.
  void Abort() {
    done_ = nullptr;
    pool_->out_.erase(attempt_);
    busy_ = false;
    CloseSocket();
  }

  void CloseSocket() {
    if (closed_) return;
    closed_ = true;
    open_ = false;
    LeaveIdle();
    timer_.cancel();
    CloseNow(socket_);
    --pool_->connections_;
  }

  // Takes the connection out of the idle order; the caller takes it out of the backend's list.
  void LeaveIdle() {
    if (idle_at_.has_value()) pool_->idle_order_.erase(*idle_at_);
    idle_at_.reset();
  }

  void DropIdle() {
    auto self = shared_from_this();  // the list may hold the last other reference
    if (Backend* b = pool_->Find(backend_)) {
      std::erase_if(b->kept, [this](const auto& c) { return c.get() == this; });
    }
    CloseSocket();
  }

 private:
  void WaitUntil(Clock::time_point when) {
    timer_.expires_at(when);
    timer_.async_wait([self = shared_from_this(), this](error_code error) {
      if (error || closed_ || Clock::now() < timer_.expiry()) return;
      if (!busy_) return DropIdle();
      // What never came up, or is not all written, has run nothing.
      Finish(written_ ? Result::kTimeout : Result::kConnectFailed);
    });
  }

  void Connect() {
    error_code error = Open(socket_, address_);
    if (error) {
      return asio::post(pool_->io_, [self = shared_from_this(), this] { Finish(Result::kConnectFailed); });
    }
    WaitUntil(std::min(give_up_, began_ + pool_->connect_timeout_));
    socket_.async_connect(address_, [self = shared_from_this(), this](error_code failed) {
      if (closed_ || !busy_) return;
      // Guards against a late connect: patience over, or the grace of a drain past. Nothing is sent then.
      const Backend* b = pool_->Find(backend_);
      bool late =
          Clock::now() >= give_up_ || b == nullptr || (b->draining && Clock::now() >= b->no_send_after);
      if (failed || late) return Finish(Result::kConnectFailed);
      open_ = true;
      WaitUntil(give_up_);
      Write();
    });
  }

  void Write() {
    if (!reading_) Read();
    uint64_t mine = attempt_;
    WriteAll(socket_, message_, [self = shared_from_this(), this, mine](error_code error) {
      if (closed_ || !busy_ || attempt_ != mine) return;
      if (!error) {
        written_ = true;
        message_ = std::string();
        return;
      }
      // Before its last byte was written a request has not begun. Posted: the caller may be in Begin.
      asio::post(pool_->io_, [self, this, mine] {
        if (busy_ && attempt_ == mine) Finish(Result::kConnectFailed);
      });
    });
  }

  void Read() {
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadChunk), [self = shared_from_this(), this](error_code error, size_t n) {
          reading_ = false;
          if (closed_) return;
          buffer_.commit(n);
          if (!busy_) return DropIdle();  // closed by the backend while idle, or bytes that nobody asked for
          if (!error) {
            Parse();
            if (!closed_ && !reading_) Read();
            return;
          }
          error_code bad;
          if (error == asio::error::eof && written_ && parser_->got_some()) parser_->put_eof(bad);
          // A body that only the end of the connection ends may have been cut short.
          bool whole = !bad && parser_->is_done() && parser_->get().result_int() != 200;
          if (error == asio::error::eof && whole) return Answered(false);
          Finish(written_ ? Result::kReset : Result::kConnectFailed);
        });
  }

  void Parse() {
    for (;;) {
      // Garbage, or an answer past every bound, ends this exchange.
      bool bad = Feed(*parser_, buffer_) || interim_ > kMostInterim;
      if (bad) return Finish(written_ ? Result::kReset : Result::kConnectFailed);
      if (!parser_->is_done()) return;
      if (parser_->get().result_int() / 100 != 1) break;
      ++interim_;  // an interim answer: the final one follows
      Renew(&parser_, kMaxAnswer);
    }
    // An answer to a request that is not all written: it has not begun, and the framing is in doubt.
    if (!written_) return Finish(Result::kConnectFailed);
    Answered(parser_->keep_alive() && buffer_.size() == 0);
  }

  void Answered(bool keep) {
    AttemptEnd end;
    auto& answer = parser_->get();
    unsigned status = answer.result_int();
    bool not_started = View(answer["Not-Started"]) == "1";
    if (status == 200) {
      end.result = Result::kOk;
      std::string_view units = View(answer["X-Cost-Units"]);
      double told = 0;
      auto [at, bad] = std::from_chars(units.data(), units.data() + units.size(), told);
      if (bad == std::errc() && at == units.data() + units.size() && std::isfinite(told) && told > 0) {
        end.true_units = std::min(told, 65535.0);
      }
      AppendEndToEnd(answer, &end.headers, [](const auto& field) {
        std::string_view name = View(field.name_string());
        return name == "X-Cost-Units" || name == "Server-Load";
      });
      end.body = std::move(answer.body());
    } else {
      end.result = (status == 503 || status == 504) && not_started ? Result::kFull : Result::kError;
    }
    Finish(std::move(end), keep);
  }

  void Finish(Result result) {
    AttemptEnd end;
    end.result = result;
    Finish(std::move(end), false);
  }

  void Finish(AttemptEnd end, bool keep) {
    if (!busy_) return;
    busy_ = false;
    end.took_s = std::chrono::duration<double>(Clock::now() - began_).count();
    pool_->out_.erase(attempt_);
    Backend* b = pool_->Find(backend_);
    // The connection is given up before the outcome is told, so that no further attempt goes out beside it.
    if (keep && b != nullptr && !b->draining && b->address == address_) {
      b->kept.push_back(shared_from_this());
      idle_at_ = pool_->idle_order_.insert(pool_->idle_order_.end(), this);
      WaitUntil(Clock::now() + pool_->idle_);
    } else {
      CloseSocket();
    }
    Done done = std::move(done_);
    done_ = nullptr;
    if (done) done(std::move(end));
  }

  BackendPool* pool_;
  const uint32_t backend_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMaxBody + kMaxHeader};
  std::optional<http::response_parser<http::string_body>> parser_;
  std::optional<std::list<Connection*>::iterator> idle_at_;
  std::string message_;
  Done done_;
  uint64_t attempt_ = 0;
  int interim_ = 0;
  Clock::time_point began_, give_up_;
  bool open_ = false, closed_ = false, busy_ = false, reading_ = false;
  bool written_ = false;  // the attempt's last byte: from here on it may have run
};

BackendPool::BackendPool(asio::io_context& io, double idle_s, double connect_timeout_s, double drain_grace_s,
                         size_t most_connections)
    : io_(io),
      idle_(Seconds(idle_s > 0 ? idle_s * kIdleShare : 5)),
      connect_timeout_(Seconds(connect_timeout_s)),
      drain_grace_(Seconds(std::max(0.0, drain_grace_s - kGraceMarginS))),
      most_(most_connections) {}

BackendPool::~BackendPool() {
  auto out = std::move(out_);
  out_.clear();
  for (auto& [attempt, connection] : out) connection->Abort();
  CloseIdle();
}

BackendPool::Backend* BackendPool::Find(uint32_t id) {
  auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : it->second.get();
}

void BackendPool::Update(uint32_t backend, tcp::endpoint address) {
  auto& b = backends_[backend];
  if (b == nullptr) b = std::make_unique<Backend>();
  b->draining = false;
  if (b->address == address) return;
  b->address = address;
  auto kept = std::move(b->kept);  // of the old address
  b->kept.clear();
  for (auto& connection : kept) connection->CloseSocket();
}

void BackendPool::Drain(uint32_t backend) {
  Backend* b = Find(backend);
  if (b == nullptr || b->draining) return;
  b->draining = true;
  b->no_send_after = Clock::now() + drain_grace_;
  auto kept = std::move(b->kept);
  b->kept.clear();
  for (auto& connection : kept) connection->CloseSocket();
}

void BackendPool::Remove(uint32_t backend) {
  Drain(backend);
  backends_.erase(backend);
}

bool BackendPool::MakeRoom() {
  if (connections_ < most_) return true;
  if (idle_order_.empty()) return false;
  Connection* oldest = idle_order_.front();
  oldest->DropIdle();
  return true;
}

uint64_t BackendPool::Send(uint32_t backend, std::string message, double patience_s, Done done) {
  uint64_t attempt = ++last_attempt_;
  Backend* b = Find(backend);
  bool may = b != nullptr && !(b->draining && Clock::now() >= b->no_send_after);
  std::shared_ptr<Connection> connection;
  while (may && !b->kept.empty() && connection == nullptr) {
    std::shared_ptr<Connection> kept = std::move(b->kept.back());
    b->kept.pop_back();
    kept->LeaveIdle();
    if (kept->Usable()) {
      connection = std::move(kept);
    } else {
      kept->CloseSocket();
    }
  }
  if (connection == nullptr && may && MakeRoom()) {
    connection = std::make_shared<Connection>(this, backend, b->address);
  }
  if (connection == nullptr) {  // no such backend, its grace is over, or every connection is in use
    asio::post(io_, [done = std::move(done)] {
      AttemptEnd end;
      end.result = Result::kConnectFailed;
      done(std::move(end));
    });
    return attempt;
  }
  out_[attempt] = connection;
  connection->Begin(attempt, std::move(message), patience_s, std::move(done));
  return attempt;
}

bool BackendPool::Cancel(uint64_t attempt, bool* may_have_run) {
  auto it = out_.find(attempt);
  if (it == out_.end()) return false;
  std::shared_ptr<Connection> connection = it->second;
  *may_have_run = connection->may_have_run();
  connection->Abort();
  return true;
}

void BackendPool::CloseIdle() {
  while (!idle_order_.empty()) idle_order_.front()->DropIdle();
}

}  // namespace ivygw
