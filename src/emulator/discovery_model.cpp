#include "emulator/discovery_model.h"

#include <algorithm>
#include <limits>

namespace ivygw::emulator {
namespace {
constexpr uint64_t kFirst = 1;
constexpr double kNotYet = std::numeric_limits<double>::infinity();
}  // namespace

DiscoveryModel::DiscoveryModel(const DiscoverySpec& spec, int gateways, uint64_t seed)
    : spec_(spec), random_(seed), gateways_(static_cast<size_t>(gateways)) {}

void DiscoveryModel::Add(const NodeEntry& entry) { first_.push_back(entry); }

void DiscoveryModel::Change(double now, const NodeEntry& entry) {
  Version version{entry, {}};
  for (size_t g = 0; g < gateways_; ++g) {
    double at = now + random_.Between(spec_.least_late_s, spec_.most_late_s);
    // Never before what came earlier; while silent, not until it speaks again.
    if (!versions_.empty()) at = std::max(at, versions_.back().at[g]);
    version.at.push_back(silent_ ? kNotYet : at);
  }
  versions_.push_back(std::move(version));
}

void DiscoveryModel::SetSilent(double now, bool silent) {
  if (silent == silent_) return;
  silent_ = silent;
  for (size_t g = 0; g < gateways_; ++g) {
    double before = now;
    for (Version& version : versions_) {
      double& at = version.at[g];
      if (silent && at > now) at = kNotYet;
      if (!silent && at == kNotYet) {
        at = std::max(before, now + random_.Between(spec_.least_late_s, spec_.most_late_s));
      }
      before = std::max(before, at);
    }
  }
}

uint64_t DiscoveryModel::Index(double now, int gateway) const {
  uint64_t index = kFirst;
  for (size_t i = 0; i < versions_.size(); ++i) {
    if (versions_[i].at[static_cast<size_t>(gateway)] > now) break;
    index = kFirst + i + 1;
  }
  return index;
}

double DiscoveryModel::Newer(int gateway, uint64_t after) const {
  size_t next = after < kFirst ? 0 : static_cast<size_t>(after - kFirst);
  if (next >= versions_.size()) return kNotYet;
  return versions_[next].at[static_cast<size_t>(gateway)];
}

DiscoveryNews DiscoveryModel::Whole(double now, int gateway) const {
  DiscoveryNews news{Index(now, gateway), true, first_};
  for (size_t i = 0; i + kFirst < news.index; ++i) {
    const NodeEntry& entry = versions_[i].entry;
    auto at = std::find_if(news.entries.begin(), news.entries.end(),
                           [&](const NodeEntry& e) { return e.name == entry.name; });
    if (at != news.entries.end()) {
      *at = entry;
    } else {
      news.entries.push_back(entry);
    }
  }
  std::erase_if(news.entries, [](const NodeEntry& e) { return e.status == NodeStatus::kLeft; });
  return news;
}

DiscoveryNews DiscoveryModel::Since(double now, int gateway, uint64_t after) const {
  if (after < kFirst || after > kFirst + versions_.size()) return Whole(now, gateway);
  DiscoveryNews news{Index(now, gateway), false, {}};
  for (size_t i = static_cast<size_t>(after - kFirst); i + kFirst < news.index; ++i) {
    news.entries.push_back(versions_[i].entry);
  }
  return news;
}

}  // namespace ivygw::emulator
