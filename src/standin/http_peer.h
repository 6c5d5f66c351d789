// The serving side of one HTTP/1.1 connection: one request at a time, with an eye on the other side's end.
#ifndef IVYGW_STANDIN_HTTP_PEER_H_
#define IVYGW_STANDIN_HTTP_PEER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/clock.h"
#include "net/http.h"

namespace ivygw::standin {

using ServerRequest = http::request<http::string_body>;

class HttpPeer : public std::enable_shared_from_this<HttpPeer> {
 public:
  // `first_byte`: when the request began to come.
  using OnRequest = std::function<void(HttpPeer&, ServerRequest, Clock::time_point first_byte)>;
  using OnEnd = std::function<void(HttpPeer&)>;  // once, also after Close and Reset

  HttpPeer(tcp::socket socket, OnRequest on_request, OnEnd on_end);
  void Start() { Read(); }
  void Write(const std::string& text);
  void Close();  // what was written goes out first
  void Reset();
  void Freeze() { frozen_ = true; }  // reads and writes nothing more, and does not close
  bool open() const { return !ended_; }

 private:
  void Read();
  void Parse();
  void Flush();
  void End();

  tcp::socket socket_;
  OnRequest on_request_;
  OnEnd on_end_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  Clock::time_point first_byte_{};
  bool begun_ = false, frozen_ = false, ended_ = false, closing_ = false, writing_ = false;
  std::string out_, going_;
};

// An answer with a length.
std::string HttpAnswer(int status, const std::string& body, const std::string& headers = "");

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_HTTP_PEER_H_
