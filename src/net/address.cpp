#include "net/address.h"

#include <charconv>

#include "settings/settings.h"

namespace ivygw {

using micadock::WireError;

tcp::endpoint ParseAddress(const std::string& key, const std::string& text) {
  size_t colon = text.rfind(':');
  uint16_t port = 0;
  boost::system::error_code error;
  boost::asio::ip::address address;
  bool good = colon != std::string::npos;
  if (good) {
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    address = boost::asio::ip::make_address(host, error);
    auto [end, bad] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    good = !error && bad == std::errc() && end == text.data() + text.size();
  }
  if (!good) throw WireError("setting is unreadable: " + key + "=" + text);
  return {address, port};
}

}  // namespace ivygw
