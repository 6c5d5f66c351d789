// Who has been heard. When each backend beat last, at any core, and which have been silent so long that they
// count as gone. Pure: times are told (seconds of one steady clock). One thread.
//
// A silent core is no silence of backends: whoever beats at a core that this one doesn't hear of would seem
// to have gone. So nothing is dropped unless every known core has told what it heard without a pause for the
// whole of that time.
#ifndef IVYGW_SYSTEM_REGISTRY_HEARD_H_
#define IVYGW_SYSTEM_REGISTRY_HEARD_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivygw::registry {

class Heard {
 public:
  static constexpr double kGone = 30;  // s of silence
  static constexpr double kPause = 2;  // s; a core that tells nothing for so long has paused

  void OnBeat(double now, const std::string& id) {
    last_[id] = now;
    news_.insert(id);
  }
  // What another core has heard since its last word; an empty word is one, too.
  void OnTold(double now, const std::string& core, const std::vector<std::string>& ids) {
    Core& told = cores_[core];
    if (told.last < 0 || now > told.last + kPause) told.since = now;
    told.last = now;
    for (const std::string& id : ids) last_[id] = now;
  }
  // For the other cores: heard here since this was asked last.
  std::vector<std::string> News() {
    std::vector<std::string> out(news_.begin(), news_.end());
    news_.clear();
    return out;
  }
  // Of these backends, those that have been silent too long. `others`: every known core but this one.
  std::vector<std::string> Silent(double now, const std::vector<std::string>& ids,
                                  const std::set<std::string>& others) {
    std::vector<std::string> out;
    bool all = std::all_of(others.begin(), others.end(), [&](const std::string& core) {
      auto it = cores_.find(core);
      return it != cores_.end() && now <= it->second.last + kPause && now >= it->second.since + kGone;
    });
    for (const std::string& id : ids) {
      // One that was met on disk has been heard of now at the latest.
      double last = last_.try_emplace(id, now).first->second;
      if (all && now > last + kGone) out.push_back(id);
    }
    return out;
  }
  void Forget(const std::string& id) { last_.erase(id); }

 private:
  struct Core {
    double since = 0, last = -1;
  };
  std::map<std::string, double> last_;
  std::map<std::string, Core> cores_;
  std::set<std::string> news_;
};

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_HEARD_H_
