#include "shared/threaded_engine.h"

namespace ivygw::shared {
namespace {
constexpr size_t kMostAtOnce = 256;  // calls of one transaction, so that none waits for ever more
}

ThreadedEngine::ThreadedEngine(std::function<Store()> make, Post post, size_t most_waiting)
    : post_(std::move(post)),
      most_waiting_(most_waiting),
      thread_([this, make = std::move(make)] { Work(make); }) {}

ThreadedEngine::~ThreadedEngine() {
  *alive_ = false;
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void ThreadedEngine::Ask(Call call, Done done) {
  {
    std::lock_guard lock(mutex_);
    if (waiting_.size() < most_waiting_) {
      waiting_.push_back({std::move(call), std::move(done)});
      wake_.notify_one();
      return;
    }
  }
  post_([alive = alive_, done = std::move(done)] {
    if (*alive) done(NotDone(Fault::kBusy, "too many calls wait for the engine"));
  });
}

void ThreadedEngine::Work(const std::function<Store()>& make) {
  Store store = make();
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    if (stopping_) return;
    std::vector<Waiting> taken;
    if (waiting_.size() <= kMostAtOnce) {
      taken.swap(waiting_);
    } else {
      auto end = waiting_.begin() + static_cast<long>(kMostAtOnce);
      taken.assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(end));
      waiting_.erase(waiting_.begin(), end);
    }
    lock.unlock();
    std::vector<Call> calls;
    calls.reserve(taken.size());
    for (Waiting& w : taken) calls.push_back(std::move(w.call));
    auto told = std::make_shared<std::vector<std::pair<Done, Reply>>>();
    std::vector<Reply> replies = store(calls);
    for (size_t i = 0; i < taken.size(); ++i)
      told->push_back({std::move(taken[i].done), std::move(replies[i])});
    post_([alive = alive_, told] {
      for (auto& [done, reply] : *told) {
        if (*alive) done(reply);
      }
    });
    lock.lock();
  }
}

}  // namespace ivygw::shared
