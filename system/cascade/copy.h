// Cascade (a gateway's copy of a table): what several cores push is merged item by item, so that within one life nothing
// goes back. Pure; one thread.
#ifndef IVYGW_SYSTEM_CASCADE_COPY_H_
#define IVYGW_SYSTEM_CASCADE_COPY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cascade/journal.h"
#include "messages/item.h"

namespace ivygw::cascade {

enum class Table { kConfiguration, kBackends };
struct Changed {
  Table table;
  heaphy::Item item;
  double at = 0;  // s, when it was told
};

class Copy {
 public:
  Copy(Table table, Journal<Changed>* journal) : table_(table), journal_(journal), sums_(messages::kListRanges, 0) {}

  void OnPush(double now, const heaphy::Push& push) {
    for (const heaphy::Item& item : push.items) {
      auto [it, fresh] = items_.try_emplace(item.key, item);
      if (!fresh && !messages::Newer(item, it->second)) continue;
      uint64_t& sum = sums_[messages::RangeOf(item.key, sums_.size())];
      if (!fresh) sum ^= messages::DigestOf(it->second);
      it->second = item;
      sum ^= messages::DigestOf(item);
      journal_->Append({table_, item, now});
    }
  }
  // A core has given its whole list; `cores` are all that it knows of.
  void OnState(const std::string& core, const heaphy::State& state) {
    if (state.complete) listed_.insert(core);
    cores_.insert(state.cores.begin(), state.cores.end());
  }
  // Lists of a majority are here: nothing that was safe before they were asked for is missing.
  bool complete() const {
    size_t n = 0;
    for (const std::string& core : listed_) n += cores_.count(core);
    return !cores_.empty() && n >= cores_.size() / 2 + 1;
  }
  const std::vector<uint64_t>& sums() const { return sums_; }
  const std::set<std::string>& cores() const { return cores_; }

 private:
  const Table table_;
  Journal<Changed>* journal_;
  std::map<std::string, heaphy::Item> items_;
  std::vector<uint64_t> sums_;  // by range
  std::set<std::string> listed_, cores_;
};

}  // namespace ivygw::cascade

#endif  // IVYGW_SYSTEM_CASCADE_COPY_H_
