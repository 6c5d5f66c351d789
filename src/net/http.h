// What all HTTP connections of the gateway share: sizes, header copying, and one write a message.
#ifndef IVYGW_NET_HTTP_H_
#define IVYGW_NET_HTTP_H_

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ivygw {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

inline constexpr size_t kMaxBody = size_t{64} * 1024;
inline constexpr size_t kMaxHeader = size_t{16} * 1024;
inline constexpr size_t kMaxHeaderFields = 256;  // each takes memory beside its text
inline constexpr size_t kReadChunk = 4096;
inline constexpr size_t kMostRead = size_t{64} * 1024;        // bytes taken from a socket at once
inline constexpr uint64_t kLongestBody = uint64_t{33} << 20;  // of a message that is passed on in pieces

// Gives the string's memory back. Assigning an empty string need not.
inline void FreeMemory(std::string* text) { std::string().swap(*text); }

inline std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

// Headers that end at this hop (RFC 9110, 7.6.1), or that the gateway writes itself.
inline bool HopByHop(http::field name) {
  switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::content_length: return true;
    default: return false;
  }
}

template <typename Fields, typename Skip>
void AppendEndToEnd(const Fields& fields, std::string* out, Skip skip) {
  http::token_list named(fields[http::field::connection]);
  for (const auto& field : fields) {
    if (HopByHop(field.name()) || named.exists(field.name_string()) || skip(field)) continue;
    out->append(View(field.name_string())).append(": ").append(View(field.value())).append("\r\n");
  }
}

// Sends at once what the socket takes, which is nearly always the whole message in one system call, and the
// rest as it drains. Calls done(error) at once or later; `text` lives until then in the caller's hands.
template <typename Done>
void WriteAll(tcp::socket& socket, const std::string& text, Done done) {
  error_code error;
  size_t sent = socket.send(asio::buffer(text), 0, error);
  if (error == asio::error::would_block) error = {};
  if (error || sent == text.size()) return done(error);
  asio::async_write(socket, asio::buffer(text.data() + sent, text.size() - sent),
                    [done = std::move(done)](error_code later, size_t) mutable { done(later); });
}

// What a socket brings next, into memory that all connections share: nothing points into a connection's own
// while it waits. `take(error, bytes)` is called once; the bytes are gone when it returns.
template <typename Take>
void ReadSome(tcp::socket& socket, size_t most, Take take) {
  socket.async_wait(
      tcp::socket::wait_read, [&socket, most, take = std::move(take)](error_code error) mutable {
        static thread_local std::string shared(kMostRead, '\0');
        if (error) return take(error, std::string_view());
        size_t n = socket.receive(asio::buffer(shared.data(), std::min(most, shared.size())), 0, error);
        if (error == asio::error::would_block) return ReadSome(socket, most, std::move(take));
        take(error, std::string_view(shared).substr(0, error ? 0 : n));
      });
}

// Whether the peer has closed a kept connection, or sent bytes that nobody asked for.
inline bool Stale(tcp::socket& socket) {
  char byte;
  error_code error;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

// Non-blocking and without delay, as every socket here is.
inline error_code Prepare(tcp::socket& socket) {
  error_code error;
  socket.non_blocking(true, error);
  if (!error) socket.set_option(tcp::no_delay(true), error);
  return error;
}
inline error_code Open(tcp::socket& socket, const tcp::endpoint& address) {
  error_code error;
  socket.open(address.protocol(), error);
  return error ? error : Prepare(socket);
}

// A parser for the next message, with its bounds.
template <typename Parser>
void Renew(std::optional<Parser>* parser, size_t most_body) {
  parser->emplace();
  (*parser)->header_limit(kMaxHeader);
  (*parser)->body_limit(most_body);
}

// Whether one reader alone can tell where the message ends (RFC 9112, 6.3): a length or chunks, told once and
// plainly. Guards against a second message that hides in a body.
template <typename Fields>
bool SoundFraming(const Fields& message) {
  size_t lengths = message.count(http::field::content_length);
  size_t codings = message.count(http::field::transfer_encoding);
  if (codings == 0) {
    return lengths == 0 ||
           (lengths == 1 && View(message[http::field::content_length]).find(',') == std::string_view::npos);
  }
  return codings == 1 && lengths == 0 && message.version() == 11 &&
         boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

// Gives the parser what has come. A head is taken when it is whole, so that it can be looked at, and no
// message part but a body grows past kMaxHeader. Never eager: Beast 1.74 goes on to a body that is past its
// limit when bytes of it have come with the head, and reserves its whole length.
template <typename Parser>
error_code Feed(Parser& parser, boost::beast::flat_buffer& buffer) {
  if (!parser.got_some()) {
    std::string_view head(static_cast<const char*>(buffer.data().data()), buffer.size());
    size_t end = head.find("\r\n\r\n");
    if (std::min(end, head.size()) > kMaxHeader) return http::error::header_limit;
    if (end == std::string_view::npos) return {};
    head = head.substr(0, end);  // no line that goes on with the one before (RFC 9112, 5.2)
    for (std::string_view fold : {"\r\n ", "\r\n\t"}) {
      if (head.find(fold) != std::string_view::npos) return http::error::bad_obs_fold;
    }
  }
  while (buffer.size() > 0 && !parser.is_done()) {
    error_code error;
    bool before = parser.is_header_done();
    buffer.consume(parser.put(buffer.data(), error));
    if (error == http::error::need_more) {
      if (buffer.size() > kMaxHeader) return http::error::header_limit;
      return {};
    }
    if (error) return error;
    if (!before && parser.is_header_done() && !SoundFraming(parser.get())) {
      return http::error::bad_transfer_encoding;
    }
  }
  return {};
}

inline void CloseNow(tcp::socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

}  // namespace ivygw

#endif  // IVYGW_NET_HTTP_H_
