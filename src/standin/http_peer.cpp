#include "standin/http_peer.h"

#include "standin/listener.h"

namespace ivygw::standin {

HttpPeer::HttpPeer(tcp::socket socket, OnRequest on_request, OnEnd on_end)
    : socket_(std::move(socket)), on_request_(std::move(on_request)), on_end_(std::move(on_end)) {
  Renew(&parser_, kMaxBody);
}

void HttpPeer::Read() {
  socket_.async_read_some(buffer_.prepare(kReadChunk),
                          [self = shared_from_this(), this](error_code error, size_t n) {
                            if (ended_ || frozen_) return;
                            if (error) return End();
                            buffer_.commit(n);
                            Parse();
                            if (!ended_ && !frozen_) Read();
                          });
}

void HttpPeer::Parse() {
  while (buffer_.size() > 0 && !ended_) {
    if (!begun_) {
      begun_ = true;
      first_byte_ = Clock::now();
    }
    if (Feed(*parser_, buffer_)) {
      Write(HttpAnswer(400, ""));
      return Close();
    }
    if (!parser_->is_done()) return;
    ServerRequest request = parser_->release();
    Renew(&parser_, kMaxBody);
    begun_ = false;
    on_request_(*this, std::move(request), first_byte_);
  }
}

void HttpPeer::Write(const std::string& text) {
  if (ended_ || frozen_) return;
  out_ += text;
  if (!writing_) Flush();
}

void HttpPeer::Flush() {
  if (out_.empty()) {
    if (closing_) End();
    return;
  }
  writing_ = true;
  going_.swap(out_);
  out_.clear();
  WriteAll(socket_, going_, [self = shared_from_this(), this](error_code error) {
    writing_ = false;
    if (ended_) return;
    if (error) return End();
    Flush();
  });
}

void HttpPeer::Close() {
  closing_ = true;
  if (!writing_) End();
}

void HttpPeer::Reset() {
  if (ended_) return;
  ResetConnection(socket_);
  End();
}

void HttpPeer::End() {
  if (ended_) return;
  auto self = shared_from_this();
  ended_ = true;
  CloseNow(socket_);
  on_end_(*this);
}

std::string HttpAnswer(int status, const std::string& body, const std::string& headers) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other") + "\r\n" + headers;
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace ivygw::standin
