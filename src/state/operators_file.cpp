#include "state/operators_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "state/files.h"

namespace ivygw::state {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;

// Held until destroyed. It is on a file of its own, since the other is replaced each time it is written.
class Lock {
 public:
  explicit Lock(const std::string& path) : file_(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
    if (file_.get() < 0) throw StateError("cannot open " + path + ": " + Why());
    int got;
    do got = flock(file_.get(), LOCK_EX);
    while (got != 0 && errno == EINTR);
    if (got != 0) throw StateError("cannot lock " + path + ": " + Why());
  }

 private:
  Descriptor file_;
};

}  // namespace

std::string Format(const OperatorsWord& word, const std::string& gateway) {
  json bans = json::array();
  for (const std::string& name : word.bans) bans.push_back(name);
  return json{{"version", kVersion}, {"gateway", gateway}, {"bans", bans}, {"drained", word.drained}}.dump() +
         "\n";
}

OperatorsWord Parse(std::string_view text, const std::string& gateway) {
  json all = json::parse(text.begin(), text.end(), nullptr, false);
  if (!all.is_object()) throw StateError("it is not a JSON object");
  auto field = [&](const char* name) -> const json& {
    auto it = all.find(name);
    if (it == all.end()) throw StateError(std::string("it lacks ") + name);
    return *it;
  };
  if (field("version") != kVersion) throw StateError("version is not " + std::to_string(kVersion));
  if (field("gateway") != gateway) throw StateError("gateway is not " + gateway);
  OperatorsWord word;
  const json& bans = field("bans");
  if (!bans.is_array() || bans.size() > kMostBans) throw StateError("bans is no list of names");
  for (const json& name : bans) {
    if (!name.is_string()) throw StateError("bans is no list of names");
    word.bans.insert(name.get<std::string>());
  }
  const json& drained = field("drained");
  if (!drained.is_boolean()) throw StateError("drained is neither true nor false");
  word.drained = drained.get<bool>();
  return word;
}

OperatorsFile::OperatorsFile(const std::string& directory, std::string gateway)
    : gateway_(std::move(gateway)) {
  path_ = PathOf(directory, gateway_, "operators.json");
}

OperatorsWord OperatorsFile::Read() const {
  std::optional<std::string> text = ReadWhole(path_);
  if (!text) return {};
  try {
    return Parse(*text, gateway_);
  } catch (const StateError& error) {
    throw StateDamaged(path_ + ": " + error.what());
  }
}

OperatorsWord OperatorsFile::Change(const std::function<void(OperatorsWord*)>& change) const {
  Lock lock(path_ + ".lock");
  OperatorsWord word;
  try {
    word = Read();
  } catch (const StateDamaged&) {
    rename(path_.c_str(), (path_ + ".bad").c_str());
  }
  change(&word);
  WriteWhole(path_, Format(word, gateway_), Durability::kPowerLoss);
  return word;
}

bool OperatorsFile::Changed() {
  struct stat now {};
  if (stat(path_.c_str(), &now) != 0) now = {};
  Stamp stamp{static_cast<uint64_t>(now.st_ino), static_cast<uint64_t>(now.st_size), now.st_mtim.tv_sec,
              now.st_mtim.tv_nsec};
  bool changed = !(stamp == seen_);
  seen_ = stamp;
  return changed;
}

}  // namespace ivygw::state
