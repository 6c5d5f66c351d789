#include "state/operators_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

namespace ivygw::state {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;

std::string Why() { return std::strerror(errno); }

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

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

void WriteWhole(const std::string& path, const std::string& text) {
  std::string fresh = path + ".new";
  {
    Descriptor file(open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (file.get() < 0) throw StateError("cannot write " + fresh + ": " + Why());
    for (size_t at = 0; at < text.size();) {
      ssize_t n = write(file.get(), text.data() + at, text.size() - at);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) {
        std::string why = Why();
        unlink(fresh.c_str());
        throw StateError("cannot write " + fresh + ": " + why);
      }
      at += static_cast<size_t>(n);
    }
  }
  if (rename(fresh.c_str(), path.c_str()) != 0) throw StateError("cannot put " + path + " in place: " + Why());
}

}  // namespace

std::string Format(const OperatorsWord& word, const std::string& gateway) {
  json bans = json::array();
  for (const std::string& name : word.bans) bans.push_back(name);
  return json{{"version", kVersion}, {"gateway", gateway}, {"bans", bans}, {"drained", word.drained}}.dump() + "\n";
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

OperatorsFile::OperatorsFile(std::string directory, std::string gateway) : gateway_(std::move(gateway)) {
  std::string name;
  for (char c : gateway_) name += std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' ? c : '_';
  path_ = std::move(directory) + "/ivygw-" + name + "-operators.json";
}

OperatorsWord OperatorsFile::Read() const {
  Descriptor file(open(path_.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0 && errno == ENOENT) return {};
  if (file.get() < 0) throw StateError("cannot read " + path_ + ": " + Why());
  std::string text;
  char part[4096];
  for (;;) {
    ssize_t n = read(file.get(), part, sizeof(part));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw StateError("cannot read " + path_ + ": " + Why());
    if (n == 0) break;
    text.append(part, static_cast<size_t>(n));
    if (text.size() > kMostFile) throw StateError(path_ + ": it is longer than any file of ours");
  }
  try {
    return Parse(text, gateway_);
  } catch (const StateError& error) {
    throw StateError(path_ + ": " + error.what());
  }
}

OperatorsWord OperatorsFile::Change(const std::function<void(OperatorsWord*)>& change) const {
  Lock lock(path_ + ".lock");
  OperatorsWord word;
  try {
    word = Read();
  } catch (const StateError&) {
    rename(path_.c_str(), (path_ + ".bad").c_str());
  }
  change(&word);
  WriteWhole(path_, Format(word, gateway_));
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
