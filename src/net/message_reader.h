// One HTTP/1.1 message after another out of a stream of bytes, with bounds on each part: the head whole, the
// body in pieces as large as the reader's user has room for. Pure: no sockets.
#ifndef IVYGW_NET_MESSAGE_READER_H_
#define IVYGW_NET_MESSAGE_READER_H_

#include <optional>
#include <string>
#include <string_view>

#include "net/http.h"

namespace ivygw {

template <bool kRequest>
class MessageReader {
 public:
  using Head = http::header<kRequest>;

  // `most_body`: of a message; one that says it is longer, or turns out to be, is an error (body_limit).
  explicit MessageReader(uint64_t most_body) : most_body_(most_body) { Next(); }

  // For the next message; bytes that have come ahead are kept.
  void Next() {
    parser_.emplace();
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(most_body_);
    begun_ = false;
  }
  void Add(std::string_view bytes) { in_.append(bytes); }

  // Takes in what has been added, as far as it goes: body bytes are appended to `body` while that holds fewer
  // than `most`. An error is final: where the message ends is in doubt.
  error_code Parse(std::string* body, size_t most) {
    while (unread() > 0 && !parser_->is_done()) {
      error_code error;
      size_t used = 0;
      if (!parser_->is_header_done()) {
        if (!begun_) {
          std::string_view head = View();
          size_t end = head.find("\r\n\r\n");
          if (std::min(end, head.size()) > kMaxHeader) return http::error::header_limit;
          if (end == std::string_view::npos) return {};
          for (std::string_view fold : {"\r\n ", "\r\n\t"}) {  // no line that goes on with the one before
            if (head.substr(0, end).find(fold) != std::string_view::npos) return http::error::bad_obs_fold;
          }
          begun_ = true;
        }
        used = parser_->put(asio::buffer(in_.data() + at_, unread()), error);
        // The head is whole: what the parser would still wait for will never come.
        if (error == http::error::need_more) return http::error::bad_version;
        if (!error && parser_->is_header_done() && TooManyFields(parser_->get()))
          return http::error::header_limit;
        if (!error && parser_->is_header_done() && !SoundFraming(parser_->get())) {
          return http::error::bad_transfer_encoding;
        }
      } else {
        size_t before = body->size(), room = std::min(most > before ? most - before : 0, unread());
        if (room == 0) return {};
        body->resize(before + room);
        auto& to = parser_->get().body();
        to.data = body->data() + before;
        to.size = room;
        to.more = true;
        used = parser_->put(asio::buffer(in_.data() + at_, unread()), error);
        body->resize(before + room - to.size);
        to.data = nullptr;
        to.size = 0;
        if (error == http::error::need_buffer) error = {};
      }
      Took(used);
      if (error == http::error::need_more) {
        if (unread() > kMaxHeader) return http::error::header_limit;
        return {};
      }
      if (error) return error;
    }
    return {};
  }
  // The stream has ended: an error unless that is how this message ends.
  error_code End() {
    error_code error;
    if (!begun_) return http::error::end_of_stream;
    parser_->put_eof(error);
    if (!error && !parser_->is_done()) error = http::error::partial_message;
    return error;
  }

  bool head_done() const { return parser_->is_header_done(); }
  bool done() const { return parser_->is_done(); }
  // Of a whole head.
  Head& head() { return parser_->get().base(); }
  bool keep_alive() const { return parser_->keep_alive(); }
  std::optional<uint64_t> length() const {  // of the body, where the head tells it
    auto told = parser_->content_length();
    return told ? std::optional<uint64_t>(*told) : std::nullopt;
  }

  size_t unread() const { return in_.size() - at_; }
  char front() const { return in_[at_]; }
  void Skip() { Took(1); }  // the first byte that has not been read
  void Drop() { Took(unread()); }

 private:
  template <typename Fields>
  static bool TooManyFields(const Fields& fields) {
    size_t left = kMaxHeaderFields;
    for (auto it = fields.begin(); it != fields.end(); ++it) {
      if (left-- == 0) return true;
    }
    return false;
  }
  std::string_view View() const { return std::string_view(in_).substr(at_); }
  // Memory that a long message needed is given back when nothing is left of it.
  void Took(size_t bytes) {
    at_ += bytes;
    if (at_ == in_.size()) {
      if (in_.capacity() > 2 * kReadChunk) {
        FreeMemory(&in_);
      } else {
        in_.clear();
      }
      at_ = 0;
    } else if (at_ > kMaxHeader) {
      in_.erase(0, at_);
      at_ = 0;
    }
  }

  const uint64_t most_body_;
  std::optional<http::parser<kRequest, http::buffer_body>> parser_;
  std::string in_;
  size_t at_ = 0;
  bool begun_ = false;  // its head is here
};

}  // namespace ivygw

#endif  // IVYGW_NET_MESSAGE_READER_H_
