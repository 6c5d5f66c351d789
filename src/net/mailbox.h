// Tasks that other threads leave for an event loop. The loop itself is built for one thread
// (BOOST_ASIO_DISABLE_THREADS): its own queue may be touched by no other, so what comes from one goes through
// a lock and a descriptor that wakes the loop.
#ifndef IVYGW_NET_MAILBOX_H_
#define IVYGW_NET_MAILBOX_H_

#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <mutex>
#include <vector>

#include "net/http.h"

namespace ivygw {

class Mailbox {
 public:
  using Task = std::function<void()>;
  explicit Mailbox(
      asio::io_context& io);  // throws boost::system::system_error where no descriptor is to be had
  // On the loop's thread. Nobody may post any more; what waits is dropped.
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // From any thread. The task runs on the loop's, in the order of posting.
  void Post(Task task);

 private:
  void Wait();

  std::mutex mutex_;
  std::vector<Task> tasks_;
  asio::posix::stream_descriptor bell_;
};

}  // namespace ivygw

#endif  // IVYGW_NET_MAILBOX_H_
