// Makes the store of a table from its content, for a core that begins with a snapshot.
#ifndef IVYGW_SYSTEM_STORAGE_STORE_CREATION_H_
#define IVYGW_SYSTEM_STORAGE_STORE_CREATION_H_

#include <string>

#include "replication/durable_state.h"
#include "storage/data_folder.h"

namespace ivygw::storage {

// Makes a store that holds this. Throws std::runtime_error where the folder exists and isn't empty, unless it
// is the very store that an earlier try made. Nothing half is left under the folder's name. Where it can't be
// told whether the store would survive a loss of power it throws, too; then it is to be tried again.
void CreateStore(const std::string& folder, const replication::LoadedState& content,
                 const SyncFolderFunction& sync_folder = SyncFolder);

}  // namespace ivygw::storage

#endif  // IVYGW_SYSTEM_STORAGE_STORE_CREATION_H_
