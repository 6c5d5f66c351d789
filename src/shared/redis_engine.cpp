#include "shared/redis_engine.h"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "shared/redis_protocol.h"

namespace ivygw::shared {
namespace {

constexpr auto kBackoffLeast = std::chrono::milliseconds(20), kBackoffMost = std::chrono::milliseconds(1000);
constexpr size_t kMostUnread = size_t{64} << 20;  // bytes of an answer that is not whole

struct FreeReply {
  void operator()(void* reply) const { freeReplyObject(reply); }
};
struct FreeReader {
  void operator()(redisReader* reader) const { redisReaderFree(reader); }
};
bool Writes(const Call& call) { return call.kind == CallKind::kCommit && !call.batch.changes.empty(); }

}  // namespace

// Answers come in the order of the calls. The first ones are the greeting's.
class RedisEngine::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(RedisEngine* engine)
      : engine_(engine), socket_(engine->io_), timer_(engine->io_), reader_(redisReaderCreate()) {}

  size_t out() const { return sent_.size() + unsent_.size(); }

  void Connect() {
    if (error_code error = Open(socket_, engine_->options_.address)) {
      return asio::post(engine_->io_, [self = shared_from_this(), error] { self->Close(error.message()); });
    }
    timer_.expires_after(Seconds(engine_->options_.connect_s));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && !self->open_) self->Close("no connection in time");
    });
    socket_.async_connect(engine_->options_.address, [self = shared_from_this(), this](error_code failed) {
      if (closed_) return;
      if (failed) return Close(failed.message());
      open_ = true;
      timer_.cancel();
      const RedisOptions& o = engine_->options_;
      if (!o.password.empty()) {
        Greet(o.username.empty() ? RedisCommand({"AUTH", o.password})
                                 : RedisCommand({"AUTH", o.username, o.password}));
      }
      if (o.database != 0) Greet(RedisCommand({"SELECT", std::to_string(o.database)}));
      Greet(RedisCommand({"SCRIPT", "LOAD", RedisScript()}));
      heard_ = Clock::now();
      Watch();
      Read();
      Write();
    });
  }

  void Add(Waiting waiting) {
    unsent_.push_back(std::move(waiting));
    if (!ready_ || closed_) return;
    if (sent_.empty()) {
      heard_ = Clock::now();
      if (!watching_) Watch();
    }
    Flush();
  }

  void Detach() {
    closed_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void Greet(const std::string& text) {
    ++greetings_;
    text_ += text;
  }

  // What waits goes out as one write; once it may have been written, its fate is no longer known without an
  // answer.
  void Flush() {
    if (writing_) return;
    while (!unsent_.empty()) {
      Waiting& w = unsent_.front();
      text_ += RedisCall(w.call, w.whole_script ? "" : sha_, engine_->options_.prefix,
                         engine_->options_.generation);
      sent_.push_back(std::move(w));
      unsent_.pop_front();
    }
    Write();
  }
  void Write() {
    if (writing_ || text_.empty()) return;
    writing_ = true;
    sending_.swap(text_);
    text_.clear();
    WriteAll(socket_, sending_, [self = shared_from_this(), this](error_code error) {
      writing_ = false;
      if (closed_) return;
      if (error) return asio::post(engine_->io_, [self, error] { self->Close(error.message()); });
      if (ready_) Flush();
    });
  }

  void Watch() {
    watching_ = true;
    timer_.expires_at(heard_ + Seconds(engine_->options_.silence_s));
    timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
      watching_ = false;
      if (cancelled || closed_ || (sent_.empty() && greetings_ == 0)) return;
      if (Clock::now() >= heard_ + Seconds(engine_->options_.silence_s)) return Close("silent for too long");
      Watch();
    });
  }

  void Read() {
    ReadSome(socket_, kMostRead, [self = shared_from_this(), this](error_code error, std::string_view bytes) {
      if (closed_) return;
      if (error) return Close(error.message());
      heard_ = Clock::now();
      unread_ += bytes.size();
      if (redisReaderFeed(reader_.get(), bytes.data(), bytes.size()) != REDIS_OK)
        return Close("an answer that is none");
      while (!closed_) {
        void* raw = nullptr;
        if (redisReaderGetReply(reader_.get(), &raw) != REDIS_OK) return Close("an answer that is none");
        if (raw == nullptr) break;
        unread_ = 0;
        std::unique_ptr<void, FreeReply> reply(raw);
        Take(*static_cast<redisReply*>(raw));
      }
      if (closed_) return;
      if (unread_ > kMostUnread) return Close("an answer without end");
      Read();
    });
  }

  void Take(const redisReply& reply) {
    if (greetings_ > 0) {
      std::string text = reply.str == nullptr ? "" : std::string(reply.str, reply.len);
      if (reply.type == REDIS_REPLY_ERROR) return Close(text);
      if (--greetings_ > 0) return;
      if (reply.type != REDIS_REPLY_STRING || text.size() != 40) return Close("an answer that is none");
      sha_ = text;
      ready_ = true;
      engine_->backoff_ = {};
      return Flush();
    }
    if (sent_.empty()) return Close("an answer to no call");
    Waiting first = std::move(sent_.front());
    sent_.pop_front();
    if (reply.type == REDIS_REPLY_ERROR && !first.whole_script && IsNoScript({reply.str, reply.len})) {
      first.whole_script = true;  // it has forgotten the script, so nothing was done
      unsent_.push_back(std::move(first));
      return Flush();
    }
    std::optional<Reply> told = RedisAnswer(reply, first.call);
    if (!told) {
      sent_.push_front(std::move(first));
      return Close("an answer that is none");
    }
    // A server that takes no writes is left, in case the address leads to another by now.
    bool leave = told->fault == Fault::kReadOnly || told->fault == Fault::kMoved;
    first.done(*told);
    if (leave && !closed_) Close(told->why);
  }

  void Close(const std::string& why) {
    if (closed_) return;
    closed_ = true;
    auto self = shared_from_this();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    std::deque<Waiting> sent = std::move(sent_), unsent = std::move(unsent_);
    for (Waiting& w : sent) {
      bool writes = Writes(w.call);
      engine_->Tell(std::move(w),
                    writes ? MaybeDone(Fault::kUnreachable, why) : NotDone(Fault::kUnreachable, why));
    }
    engine_->Lost(this, std::move(unsent), why);
  }

  RedisEngine* engine_;
  tcp::socket socket_;
  asio::steady_timer timer_;  // connecting, then silence
  std::unique_ptr<redisReader, FreeReader> reader_;
  std::deque<Waiting> sent_, unsent_;
  std::string text_, sending_, sha_;
  size_t greetings_ = 0, unread_ = 0;
  Clock::time_point heard_{};
  bool open_ = false, ready_ = false, closed_ = false, writing_ = false, watching_ = false;
};

RedisEngine::RedisEngine(asio::io_context& io, RedisOptions options)
    : io_(io), options_(std::move(options)) {}

RedisEngine::~RedisEngine() {
  *alive_ = false;
  if (connection_) connection_->Detach();
}

void RedisEngine::Tell(Waiting waiting, Reply reply) {
  asio::post(io_, [alive = alive_, done = std::move(waiting.done), reply = std::move(reply)] {
    if (*alive) done(reply);
  });
}

void RedisEngine::Ask(Call call, Done done) {
  Waiting waiting{std::move(call), std::move(done), false};
  if (std::string why = waiting.call.Unsound(); !why.empty())
    return Tell(std::move(waiting), NotDone(Fault::kBad, why));
  if (!connection_) {
    if (Clock::now() < not_before_)
      return Tell(std::move(waiting), NotDone(Fault::kUnreachable, "no connection"));
    connection_ = std::make_shared<Connection>(this);
    connection_->Connect();
  }
  if (connection_->out() >= options_.most_out)
    return Tell(std::move(waiting), NotDone(Fault::kBusy, "too many calls wait for the engine"));
  connection_->Add(std::move(waiting));
}

void RedisEngine::Lost(Connection* connection, std::deque<Waiting> unsent, const std::string& why) {
  if (connection_.get() == connection) connection_.reset();
  backoff_ = std::clamp<Clock::duration>(backoff_ * 2, kBackoffLeast, kBackoffMost);
  not_before_ = Clock::now() + backoff_;
  for (Waiting& w : unsent) Tell(std::move(w), NotDone(Fault::kUnreachable, why));
}

}  // namespace ivygw::shared
