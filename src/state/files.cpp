#include "state/files.h"

#include <fcntl.h>

#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

namespace ivygw::state {

std::string Why() { return std::strerror(errno); }

std::string PathOf(const std::string& directory, const std::string& gateway, const std::string& name) {
  std::string plain;
  for (char c : gateway)
    plain += std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' ? c : '_';
  return directory + "/ivygw-" + plain + "-" + name;
}

std::optional<std::string> ReadWhole(const std::string& path) {
  Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0 && errno == ENOENT) return std::nullopt;
  if (file.get() < 0) throw StateError("cannot read " + path + ": " + Why());
  std::string text;
  char part[4096];
  for (;;) {
    ssize_t n = read(file.get(), part, sizeof(part));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw StateError("cannot read " + path + ": " + Why());
    if (n == 0) return text;
    text.append(part, static_cast<size_t>(n));
    if (text.size() > kMostFile) throw StateDamaged(path + ": it is longer than any file of ours");
  }
}

namespace {

void SyncFolderOf(const std::string& path) {
  std::string folder = std::filesystem::absolute(path).parent_path();
  Descriptor opened(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (opened.get() < 0 || fsync(opened.get()) != 0)
    throw StateNotDurable("cannot sync " + folder + ": " + Why());
}

}  // namespace

void WriteWhole(const std::string& path, const std::string& text, Durability durability) {
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
        throw StateError(std::string("cannot write ").append(fresh).append(": ").append(why));
      }
      at += static_cast<size_t>(n);
    }
    if (durability == Durability::kPowerLoss && fsync(file.get()) != 0)
      throw StateError("cannot sync " + fresh + ": " + Why());
  }
  if (rename(fresh.c_str(), path.c_str()) != 0)
    throw StateError("cannot put " + path + " in place: " + Why());
  if (durability == Durability::kPowerLoss) SyncFolderOf(path);
}

}  // namespace ivygw::state
