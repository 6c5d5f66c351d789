// A store that blocks, behind the engine's interface: one thread of its own takes what has been asked for
// meanwhile and hands it to the store at once, so that many calls ride on one transaction. The caller's
// thread never waits; where the queue is full a call is not done (kBusy).
#ifndef IVYGW_SHARED_THREADED_ENGINE_H_
#define IVYGW_SHARED_THREADED_ENGINE_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "shared/engine.h"

namespace ivygw::shared {

class ThreadedEngine : public Engine {
 public:
  // Runs on the engine's thread alone. Replies in the calls' order, one each.
  using Store = std::function<std::vector<Reply>(const std::vector<Call>&)>;
  // Runs a task on the caller's thread, later; may be called from any thread.
  using Post = std::function<void(std::function<void()>)>;

  // `make` runs on the engine's thread and gives the store, which lives and dies there.
  ThreadedEngine(std::function<Store()> make, Post post, size_t most_waiting = 4096);
  ~ThreadedEngine()
      override;  // what the store has begun is ended; what waits is dropped, and nothing is told any more

  void Ask(Call call, Done done) override;

 private:
  struct Waiting {
    Call call;
    Done done;
  };
  void Work(const std::function<Store()>& make);

  const Post post_;
  const size_t most_waiting_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // of the caller's thread alone
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Waiting> waiting_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ivygw::shared

#endif  // IVYGW_SHARED_THREADED_ENGINE_H_
