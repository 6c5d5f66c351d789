// Events in memory. What has happened is appended to a journal, and views are folded from it, each at its own
// pace. What all views have read is dropped. Pure; one thread.
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
  // From the next event on.
  void Attach(Fold fold) { views_.push_back({std::move(fold), begin_ + events_.size()}); }
  void Append(Event event) { events_.push_back(std::move(event)); }
  // Every view reads what it has not read yet. Views may append; that is read, too.
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
