#include "net/backend_links.h"

#include <charconv>
#include <cmath>
#include <utility>

#include "net/message_reader.h"

namespace ivygw {

using bodies::BodyMemory;
using micadock::Result;

namespace {

constexpr int kMostInterim = 16;  // 1xx answers ahead of the final one
constexpr auto kAnswerMoves =
    std::chrono::seconds(20);  // for the next of a begun answer: its backend has died in silence

}  // namespace

// A read is pending but for when a begun answer waits for its client, so that an end or unasked bytes are
// seen while it is idle.
class BackendLinks::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(BackendLinks* links, uint64_t id)
      : links_(links),
        id_(id),
        socket_(links->io_),
        timer_(links->io_),
        share_(links->memory_),
        reader_(kLongestBody) {}

  void Connect(const tcp::endpoint& address) {
    if (Open(socket_, address)) return Lost();
    socket_.async_connect(address, [self = shared_from_this(), this](error_code failed) {
      if (closed_) return;
      if (failed) return Lost();
      links_->events_->OnConnected(id_);
    });
  }

  void Write(std::string message, bool kept, bool more) {
    if (kept && Stale(socket_)) return links_->events_->OnStale(id_);
    interim_ = 0;
    reader_.Next();
    FreeMemory(&body_);
    busy_ = true;
    begun_ = wanted_ = any_written_ = false;
    ++exchange_;
    Send(std::move(message), !more);
    Read();
  }
  void WriteMore(std::string bytes, bool last) {
    if (busy_) Send(std::move(bytes), last);
  }

  void ReadMore() {
    if (!busy_ || !begun_ || wanted_) return;
    wanted_ = true;
    if (!Parse()) Await();
    Read();
  }

  bool any_written() const { return any_written_; }

  void Close() {
    closed_ = true;
    timer_.cancel();
    CloseNow(socket_);
  }

 private:
  void Lost() { links_->events_->OnLost(id_); }
  void Account() { share_.Hold(reader_.unread() + body_.capacity() + message_.capacity()); }

  void Send(std::string text, bool last) {
    message_ = std::move(text);
    last_sent_ = last;
    Account();
    uint64_t mine = exchange_;
    sending_ = true;
    error_code refused;
    size_t taken = socket_.send(asio::buffer(message_), 0, refused);
    any_written_ = any_written_ || taken > 0 || refused == asio::error::would_block;
    if (refused == asio::error::would_block) refused = {};
    auto sent = [self = shared_from_this(), this, mine, last](error_code error) {
      if (closed_ || exchange_ != mine) return;
      sending_ = false;
      if (!busy_) return;
      if (error) return Lost();
      FreeMemory(&message_);
      Account();
      last ? links_->events_->OnWritten(id_) : links_->events_->OnDrained(id_);
    };
    if (refused || taken == message_.size()) return sent(refused);
    asio::async_write(socket_, asio::buffer(message_.data() + taken, message_.size() - taken),
                      [sent = std::move(sent)](error_code error, size_t) { sent(error); });
  }

  void Read() {
    if (reading_ || closed_ || (busy_ && begun_ && !wanted_)) return;
    reading_ = true;
    size_t most = begun_ ? links_->memory_->Window() : kMostRead;
    ReadSome(socket_, most, [self = shared_from_this(), this](error_code error, std::string_view bytes) {
      reading_ = false;
      if (closed_) return;
      if (!busy_) return Lost();  // ended by the backend while idle, or bytes that nobody asked for
      if (error) return error == asio::error::eof ? End() : Lost();
      reader_.Add(bytes);
      Parse();
      Read();
    });
  }

  // True if something came of what has been read: the answer is whole, begun, further on, or none.
  bool Parse() {
    for (;;) {
      // Garbage, or an answer past every bound, ends this exchange.
      size_t most = begun_ ? links_->memory_->Window() : links_->memory_->WholeAnswer() + 1;
      if (reader_.Parse(&body_, most) || interim_ > kMostInterim) return Lost(), true;
      Account();
      if (!reader_.head_done()) return false;
      if (begun_ || reader_.head().result_int() / 100 != 1) break;
      if (!reader_.done()) return false;
      ++interim_;  // an interim answer: the final one follows
      reader_.Next();
      body_.clear();
      if (reader_.unread() == 0) return false;
    }
    // Nothing after the answer's end, and nothing of its request left to write.
    bool clean = reader_.unread() == 0 && !eof_ && !sending_ && last_sent_;
    return Further(reader_.keep_alive() && clean);
  }

  void End() {
    // Only the end of the connection tells where such a body ends; a backend that dies resets it.
    eof_ = true;
    if (reader_.End()) return Lost();
    if (Every() && reader_.done()) return Lost();  // until its connection's end: whole or not, nobody knows
    Further(false);
  }

  bool Further(bool keep) {
    if (begun_) return GivePart(keep);
    if (reader_.done()) return Answered(keep), true;
    size_t whole = links_->memory_->WholeAnswer();
    bool is_long = reader_.length().value_or(0) > whole || body_.size() > whole;
    if (!is_long) return false;
    if (!Every() && reader_.head().result_int() != 200)
      return Answered(false), true;  // nobody reads the rest
    begun_ = true;
    BackendAnswer answer = Head();
    answer.length = reader_.length();
    answer.body = std::move(body_);
    FreeMemory(&body_);
    Account();
    links_->events_->OnAnswerBegun(id_, std::move(answer));
    return true;
  }

  // One part, or the end, for each ReadMore.
  bool GivePart(bool keep) {
    if (!wanted_ || (body_.empty() && !reader_.done())) return false;
    timer_.cancel();
    wanted_ = false;
    if (!body_.empty()) {
      std::string bytes = std::move(body_);
      FreeMemory(&body_);
      Account();
      links_->events_->OnAnswerPart(id_, std::move(bytes));
    } else {
      busy_ = false;
      links_->events_->OnAnswerEnded(id_, keep);
    }
    return true;
  }

  void Await() {
    timer_.expires_after(kAnswerMoves);
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      if (!cancelled && !closed_ && busy_ && begun_ && wanted_) Lost();
    });
  }

  bool Every() const { return links_->style_ == AnswerStyle::kEvery; }

  BackendAnswer EveryHead() {
    BackendAnswer out;
    auto& head = reader_.head();
    out.status = head.result_int();
    out.attempt_id = View(head["Attempt-Id"]);
    out.not_executed = head.find("Not-Executed") != head.end();
    out.sealed = head.find("Server-Seal") != head.end();
    out.encoded = head.find(http::field::content_encoding) != head.end();
    std::string keep_alive = std::string(";").append(View(head["Keep-Alive"]));  // the list points into it
    std::replace(keep_alive.begin(), keep_alive.end(), ',', ';');
    for (auto part : http::param_list(keep_alive)) {
      if (!boost::beast::iequals(part.first, "timeout")) continue;
      double told = 0;
      std::string_view text = View(part.second);
      std::from_chars(text.data(), text.data() + text.size(), told);
      if (std::isfinite(told) && told > 0) out.keep_alive_s = told;
    }
    AppendEndToEnd(head, &out.headers, [](const auto&) { return false; });
    return out;
  }

  BackendAnswer Head() {
    if (Every()) return EveryHead();
    BackendAnswer out;
    auto& head = reader_.head();
    std::string_view units = View(head["X-Cost-Units"]);
    double told = 0;
    auto [at, bad] = std::from_chars(units.data(), units.data() + units.size(), told);
    if (bad == std::errc() && at == units.data() + units.size() && std::isfinite(told) && told > 0) {
      out.true_units = std::min(told, 65535.0);
    }
    AppendEndToEnd(head, &out.headers, [](const auto& field) {
      std::string_view name = View(field.name_string());
      return name == "X-Cost-Units" || name == "Server-Load";
    });
    return out;
  }

  void Answered(bool keep) {
    BackendAnswer out;
    auto& head = reader_.head();
    unsigned status = head.result_int();
    if (status == 200 || Every()) {
      out = Head();
      out.length = body_.size();
      out.body = std::move(body_);
    } else {
      bool not_started = View(head["Not-Started"]) == "1";
      out.result = (status == 503 || status == 504) && not_started ? Result::kFull : Result::kError;
    }
    out.keep = keep;
    FreeMemory(&body_);
    Account();
    busy_ = false;
    links_->events_->OnAnswer(id_, std::move(out));
  }

  BackendLinks* links_;
  const uint64_t id_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  bodies::BodyShare share_;
  MessageReader<false> reader_;
  std::string message_, body_;
  uint64_t exchange_ = 0;
  int interim_ = 0;
  bool closed_ = false, busy_ = false, reading_ = false;
  bool sending_ = false;      // of the message, something is still to be written
  bool last_sent_ = true;     // the last piece of the message has been given to be written
  bool any_written_ = false;  // of the message, the system may have taken a byte
  bool begun_ = false;        // the answer is long, and told of in parts
  bool wanted_ = false;       // the next of it has been asked for
  bool eof_ = false;          // the backend has ended its sending
};

BackendLinks::BackendLinks(asio::io_context& io, bodies::BodyMemory* memory, BackendEvents* events,
                           AnswerStyle style)
    : io_(io), memory_(memory), events_(events), style_(style) {}

BackendLinks::~BackendLinks() {
  for (auto& [id, connection] : connections_) connection->Close();
}

std::shared_ptr<BackendLinks::Connection> BackendLinks::Find(uint64_t connection) const {
  auto it = connections_.find(connection);
  return it == connections_.end() ? nullptr : it->second;
}

void BackendLinks::Connect(uint64_t connection, const tcp::endpoint& address) {
  auto fresh = std::make_shared<Connection>(this, connection);
  connections_[connection] = fresh;
  fresh->Connect(address);
}

void BackendLinks::Write(uint64_t connection, std::string message, bool kept, bool more) {
  if (auto c = Find(connection)) c->Write(std::move(message), kept, more);
}
void BackendLinks::WriteMore(uint64_t connection, std::string bytes, bool last) {
  if (auto c = Find(connection)) c->WriteMore(std::move(bytes), last);
}
void BackendLinks::ReadMore(uint64_t connection) {
  if (auto c = Find(connection)) c->ReadMore();
}

bool BackendLinks::AnyWritten(uint64_t connection) const {
  auto c = Find(connection);
  return !c || c->any_written();
}

void BackendLinks::Close(uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  it->second->Close();
  connections_.erase(it);
}

}  // namespace ivygw
