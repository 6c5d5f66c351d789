// The folder of a table's store, apart from what LevelDB does in it.
#ifndef IVYGW_SYSTEM_STORAGE_DATA_FOLDER_H_
#define IVYGW_SYSTEM_STORAGE_DATA_FOLDER_H_

#include <functional>
#include <string>

namespace ivygw::storage {

using SyncFolderFunction = std::function<bool(const std::string& folder)>;

// Makes the entries of a folder survive a loss of power. False where the folder can't be synced.
bool SyncFolder(const std::string& folder);

std::string ParentOf(const std::string& folder);

// One line about a folder, for an operator.
std::string AboutFolder(const std::string& folder, const std::string& what);

}  // namespace ivygw::storage

#endif  // IVYGW_SYSTEM_STORAGE_DATA_FOLDER_H_
