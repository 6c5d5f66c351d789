#include "storage/data_folder.h"

#include <fcntl.h>
#include <unistd.h>

#include <filesystem>

namespace ivygw::storage {

bool SyncFolder(const std::string& folder) {
  int descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return false;
  bool synced = fsync(descriptor) == 0;
  close(descriptor);
  return synced;
}

std::string ParentOf(const std::string& folder) {
  std::filesystem::path path = std::filesystem::absolute(folder).lexically_normal();
  if (!path.has_filename()) path = path.parent_path();
  return path.parent_path();
}

std::string AboutFolder(const std::string& folder, const std::string& what) {
  return "data_directory " + folder + ": " + what;
}

}  // namespace ivygw::storage
