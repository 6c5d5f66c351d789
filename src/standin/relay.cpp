#include "standin/relay.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace ivygw::standin {

// One connection and the one that goes on from it.
class Relay::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(Relay* relay, tcp::socket near) : relay_(relay), near_(std::move(near)), far_(relay->io_) {}

  void Start() {
    if (Open(far_, relay_->to_)) return End();
    far_.async_connect(relay_->to_, [self = shared_from_this(), this](error_code error) {
      if (ended_) return;
      if (error) return End();
      Read(&there_, &near_, &far_);
      Read(&back_, &far_, &near_);
    });
  }
  void Look() {
    Write(&there_);
    Write(&back_);
  }
  void End() {
    if (std::exchange(ended_, true)) return;
    auto self = shared_from_this();
    ResetConnection(near_);
    ResetConnection(far_);
    there_.timer.cancel();
    back_.timer.cancel();
    relay_->links_.erase(self);
  }

 private:
  struct Piece {
    Clock::time_point due;
    std::string bytes;
  };
  struct Half {
    explicit Half(asio::io_context& io, Way Relay::*which) : timer(io), way(which) {}
    asio::steady_timer timer;
    Way Relay::*way;
    tcp::socket* to = nullptr;
    std::deque<Piece> pieces;
    std::string sending;
    uint64_t passed = 0;
    bool writing = false, over = false;
  };

  void Read(Half* half, tcp::socket* from, tcp::socket* to) {
    half->to = to;
    ReadSome(*from, kMostRead,
             [self = shared_from_this(), this, half, from, to](error_code error, std::string_view bytes) {
               if (ended_) return;
               if (error) {  // what is under way still comes
                 half->over = true;
                 return Write(half);
               }
               const Way& way = relay_->*half->way;
               if (half == &there_) relay_->bytes_there_ += bytes.size();
               if (!way.swallows) {
                 half->pieces.push_back({Clock::now() + Seconds(way.delay_s), std::string(bytes)});
                 Write(half);
               }
               if (!ended_) Read(half, from, to);
             });
  }

  void Write(Half* half) {
    if (ended_ || half->writing || half->to == nullptr) return;
    const Way& way = relay_->*half->way;
    if (half->pieces.empty() && half->over) return End();
    if (half->pieces.empty() || !way.passes) return;
    Piece& first = half->pieces.front();
    if (first.due > Clock::now()) {
      half->timer.expires_at(first.due);
      half->timer.async_wait([self = shared_from_this(), this, half](error_code cancelled) {
        if (!cancelled) Write(half);
      });
      return;
    }
    uint64_t room = std::min(way.stall_after, way.reset_after);
    room = room > half->passed ? room - half->passed : 0;
    if (room == 0) {
      if (half->passed >= way.reset_after) End();
      return;
    }
    half->sending = first.bytes.substr(0, static_cast<size_t>(std::min<uint64_t>(room, first.bytes.size())));
    first.bytes.erase(0, half->sending.size());
    if (first.bytes.empty()) half->pieces.pop_front();
    half->writing = true;
    WriteAll(*half->to, half->sending, [self = shared_from_this(), this, half](error_code error) {
      half->writing = false;
      if (ended_) return;
      if (error) return End();
      half->passed += half->sending.size();
      if (half->passed >= (relay_->*half->way).reset_after) return End();
      Write(half);
    });
  }

  Relay* relay_;
  tcp::socket near_, far_;
  Half there_{relay_->io_, &Relay::there}, back_{relay_->io_, &Relay::back};
  bool ended_ = false;
};

Relay::Relay(asio::io_context& io, tcp::endpoint to)
    : io_(io), to_(std::move(to)), listener_(io, [this](tcp::socket socket) {
        ++taken_;
        auto link = std::make_shared<Link>(this, std::move(socket));
        links_.insert(link);
        link->Start();
      }) {}

Relay::~Relay() { ResetAll(); }

void Relay::Changed() {
  auto links = links_;
  for (const auto& link : links) link->Look();
}
void Relay::ResetAll() {
  auto links = links_;
  for (const auto& link : links) link->End();
}
void Relay::Cut() {
  listener_.Refuse();
  ResetAll();
}
void Relay::Mend() {
  there = back = Way();
  listener_.Accept();
  Changed();
}

}  // namespace ivygw::standin
