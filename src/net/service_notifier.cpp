#include "net/service_notifier.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/local/datagram_protocol.hpp>
#include <chrono>
#include <cstdlib>

#include "net/clock.h"

namespace ivygw {
namespace {

namespace asio = boost::asio;
using Datagrams = asio::local::datagram_protocol;

constexpr size_t kLongestPath = 107;  // of a Unix socket, in bytes

}  // namespace

ServiceNotifier ServiceNotifier::FromEnvironment() {
  const char* socket = std::getenv("NOTIFY_SOCKET");
  return ServiceNotifier(socket ? socket : "");
}

void ServiceNotifier::Ready() const { Send("READY=1"); }

void ServiceNotifier::Reloading() const {
  auto now = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch());
  Send("RELOADING=1\nMONOTONIC_USEC=" + std::to_string(now.count()));
}

void ServiceNotifier::Stopping() const { Send("STOPPING=1"); }

void ServiceNotifier::Send(const std::string& state) const {
  if (socket_.empty() || socket_.size() > kLongestPath) return;
  std::string path = socket_;
  if (path.front() == '@') path.front() = '\0';
  asio::io_context io;
  Datagrams::socket socket(io);
  boost::system::error_code failed;
  if (socket.open(Datagrams(), failed)) return;
  if (socket.non_blocking(true, failed)) return;
  socket.send_to(asio::buffer(state), Datagrams::endpoint(path), 0, failed);
}

}  // namespace ivygw
