// The engine's entries in an SQLite file (WAL) that several gateways of one machine share: the embedded
// default. Blocks: it runs on a thread of its own (threaded_engine.h).
//
// Leases end by the machine's monotonic clock, which all its processes share and nobody sets; a file from
// before the machine's last start has no lease left. What happens when things go wrong:
//   - held by another process for longer than the patience: kBusy, not done;
//   - no room: kFull, not done. No right to write: kReadOnly, not done;
//   - not an SQLite file, or spoilt: kBroken, not done, until it is replaced; it is never made anew by
//   itself;
//   - replaced or removed while it is open: opened (or made) again, with another generation;
//   - a process killed in a transaction: the next to open it finds the transaction whole or not at all;
//   - made by a later version of this program: kNewer, and nothing is written;
//   - a commit whose end can't be known (an I/O error while it is written): may have been done.
#ifndef IVYGW_SHARED_SQLITE_STORE_H_
#define IVYGW_SHARED_SQLITE_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "shared/engine.h"

struct sqlite3;
struct sqlite3_stmt;

namespace ivygw::shared {

// What a commit survives: the end of every process, or the machine's loss of power as well (it waits for the
// disk).
enum class Durability { kProcess, kPower };

struct SqliteOptions {
  std::string path;
  double patience_s = 0.25;  // for which another's transaction is waited for
  Durability durability = Durability::kPower;
  int most_mb = 256;              // that the file may have
  std::string boot;               // of the machine; empty: as the system tells it. Tests set it
  std::function<double()> clock;  // in place of the machine's, s; for tests
};

class SqliteStore {
 public:
  explicit SqliteStore(SqliteOptions options);
  ~SqliteStore();
  SqliteStore(const SqliteStore&) = delete;
  SqliteStore& operator=(const SqliteStore&) = delete;

  // One transaction for all of them, so that many ride on one write to the disk; a call whose conditions
  // don't hold is no fault of the others. Replies in the calls' order.
  std::vector<Reply> Take(const std::vector<Call>& calls);
  Reply Take(const Call& call) { return Take(std::vector<Call>{call}).front(); }

 private:
  struct Statement;
  struct Failure {
    Fault fault;
    std::string why;
  };
  void Open();
  void Close();
  bool Replaced() const;
  void Prepare(Statement* statement, const char* text);
  void Execute(const char* text);
  [[noreturn]] void Fail(int code) const;
  double Clock() const;
  void Expire(double now);
  Reply Run(const Call& call, double now);
  Reply RunCommit(const Batch& batch, double now);
  uint64_t Raise(uint64_t at_least);
  void Trim();
  void Forget(const std::string& key, uint64_t revision);
  Reply Answer() const;

  SqliteOptions options_;
  sqlite3* db_ = nullptr;
  std::string generation_;
  uint64_t revision_ = 0, device_ = 0, inode_ = 0;
  std::unique_ptr<Statement> get_, range_, put_, renew_, remove_, written_, expired_, lapsed_, log_, logged_,
      horizon_, meta_, raise_;
};

}  // namespace ivygw::shared

#endif  // IVYGW_SHARED_SQLITE_STORE_H_
