#include "net/mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <utility>

namespace ivygw {

Mailbox::Mailbox(asio::io_context& io) : bell_(io) {
  int descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (descriptor < 0) throw boost::system::system_error(errno, boost::system::system_category(), "mailbox");
  bell_.assign(descriptor);
  Wait();
}

Mailbox::~Mailbox() = default;

void Mailbox::Post(Task task) {
  std::lock_guard lock(mutex_);
  tasks_.push_back(std::move(task));
  if (tasks_.size() > 1) return;  // it has been rung for the first
  uint64_t one = 1;
  while (write(bell_.native_handle(), &one, sizeof(one)) < 0 && errno == EINTR) {
  }
}

void Mailbox::Wait() {
  bell_.async_wait(asio::posix::stream_descriptor::wait_read, [this](error_code ended) {
    if (ended) return;
    std::vector<Task> tasks;
    {
      std::lock_guard lock(mutex_);
      uint64_t rung;
      while (read(bell_.native_handle(), &rung, sizeof(rung)) < 0 && errno == EINTR) {
      }
      tasks.swap(tasks_);
    }
    Wait();
    for (Task& task : tasks) task();
  });
}

}  // namespace ivygw
