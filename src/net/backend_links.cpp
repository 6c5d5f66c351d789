#include "net/backend_links.h"

#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace ivygw {

using micadock::Result;

namespace {

constexpr size_t kMaxAnswer = kMaxBody;
constexpr int kMostInterim = 16;  // 1xx answers ahead of the final one

}  // namespace

// It always has one read pending, so that an end or unasked bytes are seen while it is idle.
class BackendLinks::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(BackendLinks* links, uint64_t id) : links_(links), id_(id), socket_(links->io_) {}

  void Connect(const tcp::endpoint& address) {
    if (Open(socket_, address)) return Lost();
    socket_.async_connect(address, [self = shared_from_this(), this](error_code failed) {
      if (closed_) return;
      if (failed) return Lost();
      links_->events_->OnConnected(id_);
    });
  }

  void Write(std::string message, bool kept) {
    if (kept && Stale(socket_)) return links_->events_->OnStale(id_);
    message_ = std::move(message);
    interim_ = 0;
    Renew(&parser_, kMaxAnswer);
    busy_ = true;
    uint64_t mine = ++exchange_;
    WriteAll(socket_, message_, [self = shared_from_this(), this, mine](error_code error) {
      if (closed_ || !busy_ || exchange_ != mine) return;
      if (error) return Lost();
      message_ = std::string();
      links_->events_->OnWritten(id_);
    });
    if (!closed_ && !reading_) Read();
  }

  void Close() {
    closed_ = true;
    CloseNow(socket_);
  }

 private:
  void Lost() { links_->events_->OnLost(id_); }

  void Read() {
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadChunk), [self = shared_from_this(), this](error_code error, size_t n) {
          reading_ = false;
          if (closed_) return;
          buffer_.commit(n);
          if (!busy_) return Lost();  // ended by the backend while idle, or bytes that nobody asked for
          if (!error) {
            Parse();
            if (!closed_ && !reading_) Read();
            return;
          }
          error_code bad;
          if (error == asio::error::eof && parser_->got_some()) parser_->put_eof(bad);
          // A body that only the end of the connection ends may have been cut short.
          bool whole = !bad && parser_->is_done() && parser_->get().result_int() != 200;
          if (error == asio::error::eof && whole) return Answered(false);
          Lost();
        });
  }

  void Parse() {
    for (;;) {
      // Garbage, or an answer past every bound, ends this exchange.
      if (Feed(*parser_, buffer_) || interim_ > kMostInterim) return Lost();
      if (!parser_->is_done()) return;
      if (parser_->get().result_int() / 100 != 1) break;
      ++interim_;  // an interim answer: the final one follows
      Renew(&parser_, kMaxAnswer);
    }
    Answered(parser_->keep_alive() && buffer_.size() == 0);
  }

  void Answered(bool keep) {
    BackendAnswer out;
    out.keep = keep;
    auto& answer = parser_->get();
    unsigned status = answer.result_int();
    bool not_started = View(answer["Not-Started"]) == "1";
    if (status == 200) {
      out.result = Result::kOk;
      std::string_view units = View(answer["X-Cost-Units"]);
      double told = 0;
      auto [at, bad] = std::from_chars(units.data(), units.data() + units.size(), told);
      if (bad == std::errc() && at == units.data() + units.size() && std::isfinite(told) && told > 0) {
        out.true_units = std::min(told, 65535.0);
      }
      AppendEndToEnd(answer, &out.headers, [](const auto& field) {
        std::string_view name = View(field.name_string());
        return name == "X-Cost-Units" || name == "Server-Load";
      });
      out.body = std::move(answer.body());
    } else {
      out.result = (status == 503 || status == 504) && not_started ? Result::kFull : Result::kError;
    }
    busy_ = false;
    links_->events_->OnAnswer(id_, std::move(out));
  }

  BackendLinks* links_;
  const uint64_t id_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMaxBody + kMaxHeader};
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string message_;
  uint64_t exchange_ = 0;
  int interim_ = 0;
  bool closed_ = false, busy_ = false, reading_ = false;
};

BackendLinks::BackendLinks(asio::io_context& io, BackendEvents* events) : io_(io), events_(events) {}

BackendLinks::~BackendLinks() {
  for (auto& [id, connection] : connections_) connection->Close();
}

BackendLinks::Connection* BackendLinks::Find(uint64_t connection) {
  auto it = connections_.find(connection);
  return it == connections_.end() ? nullptr : it->second.get();
}

void BackendLinks::Connect(uint64_t connection, const tcp::endpoint& address) {
  auto fresh = std::make_shared<Connection>(this, connection);
  connections_[connection] = fresh;
  fresh->Connect(address);
}

void BackendLinks::Write(uint64_t connection, std::string message, bool kept) {
  if (Connection* c = Find(connection)) c->Write(std::move(message), kept);
}

void BackendLinks::Close(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  it->second->Close();
  connections_.erase(it);
}

}  // namespace ivygw
