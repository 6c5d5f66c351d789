// Addresses as the configuration and discovery write them.
#ifndef IVYGW_NET_ADDRESS_H_
#define IVYGW_NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace ivygw {

using boost::asio::ip::tcp;

// "10.0.0.4:5000" or "[::1]:5000"; throws micadock::WireError naming `key` on anything else.
tcp::endpoint ParseAddress(const std::string& key, const std::string& text);

}  // namespace ivygw

#endif  // IVYGW_NET_ADDRESS_H_
