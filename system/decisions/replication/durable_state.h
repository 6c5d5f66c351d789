// The durable state of one replicated table, as plain structs: what is loaded at startup and what is stored
// in batches.
#ifndef IVYGW_SYSTEM_REPLICATION_DURABLE_STATE_H_
#define IVYGW_SYSTEM_REPLICATION_DURABLE_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "messages/replication.h"

namespace ivygw::replication {

using messages::AcceptedChange;
using messages::Change;
using messages::CommandId;
using messages::Item;
using messages::Member;
using messages::Membership;
using messages::PeerHeader;
using messages::PeerMessage;
using messages::ProposalNumber;
using messages::Record;

// The store ID that the members of the first epoch use when a system starts for the first time.
inline constexpr uint64_t kFounderStoreId = 1;

// The small part of the state, stored in full with each batch.
struct DurableState {
  uint64_t store_id = 0;
  Membership membership;
  uint64_t revision = 0;  // of the last change applied; the stored records are exactly those of this revision
  ProposalNumber promised;
};

// The state loaded at startup. All of it is durable: opening the store syncs what a killed process had
// written without a sync.
struct LoadedState {
  DurableState state;
  std::optional<AcceptedChange> accepted;
  std::vector<Record> records;
};

// A batch is written atomically. Batches are written in order: a batch is never on disk without all earlier
// ones. Replica::OnStored follows for each batch, once it and all earlier ones are written and, if `sync` is
// set, would survive a loss of power.
struct StoreBatch {
  uint64_t number = 0;
  bool sync = false;
  bool replace_all = false;  // `records` replace all stored records
  std::vector<Record> records;
  std::vector<std::string> erased;
  DurableState state;
  bool accepted_changed = false;
  std::optional<AcceptedChange> accepted;  // the new value, if accepted_changed
};

}  // namespace ivygw::replication

#endif  // IVYGW_SYSTEM_REPLICATION_DURABLE_STATE_H_
