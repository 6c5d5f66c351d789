// An in-memory journal of events. Each view is a fold over the events and keeps its own read position. Events
// that all views have read are dropped. Pure; one thread.
#ifndef IVYGW_SYSTEM_DISCOVERY_JOURNAL_H_
#define IVYGW_SYSTEM_DISCOVERY_JOURNAL_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace ivygw::discovery {

template <typename Event>
class Journal {
 public:
  using Fold = std::function<void(const Event&)>;
  // Adds a view that receives the events appended from now on.
  void Attach(Fold fold) { views_.push_back({std::move(fold), begin_ + events_.size()}); }
  void Append(Event event) { events_.push_back(std::move(event)); }
  // Passes all unread events to every view, including events that views append meanwhile.
  void Run() {
    for (bool any = true; any;) {
      any = false;
      for (View& view : views_) {
        while (view.next < begin_ + events_.size()) {
          Event event = events_[view.next - begin_];
          ++view.next;
          view.fold(event);
          any = true;
        }
      }
    }
    begin_ += events_.size();
    events_.clear();
  }

 private:
  struct View {
    Fold fold;
    uint64_t next = 0;
  };
  std::deque<Event> events_;
  std::vector<View> views_;
  uint64_t begin_ = 0;
};

}  // namespace ivygw::discovery

#endif  // IVYGW_SYSTEM_DISCOVERY_JOURNAL_H_
