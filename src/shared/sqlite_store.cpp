#include "shared/sqlite_store.h"

#include <sqlite3.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <random>
#include <utility>

namespace ivygw::shared {
namespace {

constexpr int kForm = 1;               // of the tables; a file of a higher one is left alone
constexpr uint64_t kTrimEvery = 4000;  // revisions

constexpr const char* kTables = R"(
CREATE TABLE IF NOT EXISTS meta(id INTEGER PRIMARY KEY CHECK(id = 1), generation TEXT NOT NULL, revision INTEGER NOT NULL,
                                boot TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS entry(key TEXT PRIMARY KEY, value BLOB NOT NULL, version INTEGER NOT NULL, until REAL,
                                 space TEXT NOT NULL) WITHOUT ROWID;
CREATE UNIQUE INDEX IF NOT EXISTS entry_version ON entry(space, version);
CREATE INDEX IF NOT EXISTS entry_until ON entry(until) WHERE until IS NOT NULL;
CREATE TABLE IF NOT EXISTS gone(space TEXT NOT NULL, revision INTEGER NOT NULL, key TEXT NOT NULL,
                                PRIMARY KEY(space, revision)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS space(name TEXT PRIMARY KEY, forgotten INTEGER NOT NULL) WITHOUT ROWID;
)";

std::string BootOfMachine() {
  std::string boot;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> boot;
  return boot.empty() ? "unknown" : boot;
}

std::string NewGeneration() {
  std::random_device draw;
  char text[33];
  std::snprintf(text, sizeof(text), "%08x%08x%08x%08x", draw(), draw(), draw(), draw());
  return text;
}

Fault FaultOf(int code) {
  switch (code & 0xff) {
    case SQLITE_BUSY:
    case SQLITE_LOCKED: return Fault::kBusy;
    case SQLITE_FULL: return Fault::kFull;
    case SQLITE_READONLY:
    case SQLITE_PERM: return Fault::kReadOnly;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB: return Fault::kBroken;
    default: return Fault::kUnreachable;
  }
}

}  // namespace

struct SqliteStore::Statement {
  sqlite3_stmt* raw = nullptr;
  ~Statement() { sqlite3_finalize(raw); }
  Statement& Bind(int at, const std::string& text) {
    sqlite3_bind_text(raw, at, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& Blob(int at, const std::string& bytes) {
    sqlite3_bind_blob(raw, at, bytes.data(), static_cast<int>(bytes.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& Bind(int at, uint64_t number) {
    sqlite3_bind_int64(raw, at, static_cast<sqlite3_int64>(number));
    return *this;
  }
  Statement& Bind(int at, std::optional<double> number) {
    number ? sqlite3_bind_double(raw, at, *number) : sqlite3_bind_null(raw, at);
    return *this;
  }
  std::string Text(int column) const {
    const void* bytes = sqlite3_column_blob(raw, column);
    return std::string(static_cast<const char*>(bytes),
                       static_cast<size_t>(bytes == nullptr ? 0 : sqlite3_column_bytes(raw, column)));
  }
  uint64_t Number(int column) const { return static_cast<uint64_t>(sqlite3_column_int64(raw, column)); }
};

SqliteStore::SqliteStore(SqliteOptions options) : options_(std::move(options)) {
  if (options_.boot.empty()) options_.boot = BootOfMachine();
}
SqliteStore::~SqliteStore() { Close(); }

void SqliteStore::Fail(int code) const {
  std::string why = db_ != nullptr ? sqlite3_errmsg(db_) : sqlite3_errstr(code);
  throw Failure{FaultOf(code), options_.path + ": " + why};
}

void SqliteStore::Execute(const char* text) {
  int code = sqlite3_exec(db_, text, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) Fail(code);
}

void SqliteStore::Prepare(Statement* statement, const char* text) {
  int code = sqlite3_prepare_v3(db_, text, -1, SQLITE_PREPARE_PERSISTENT, &statement->raw, nullptr);
  if (code != SQLITE_OK) Fail(code);
}

void SqliteStore::Close() {
  for (auto* s : {&get_, &range_, &put_, &renew_, &remove_, &written_, &expired_, &lapsed_, &log_, &logged_,
                  &horizon_, &meta_, &raise_})
    s->reset();
  if (db_ != nullptr) sqlite3_close_v2(db_);
  db_ = nullptr;
}

// The file at the path is no longer the one that is open.
bool SqliteStore::Replaced() const {
  struct stat at {};
  if (stat(options_.path.c_str(), &at) != 0) return true;
  return static_cast<uint64_t>(at.st_dev) != device_ || static_cast<uint64_t>(at.st_ino) != inode_;
}

void SqliteStore::Open() {
  int code = sqlite3_open_v2(options_.path.c_str(), &db_,
                             SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
  if (code != SQLITE_OK) Fail(code);
  sqlite3_extended_result_codes(db_, 1);
  sqlite3_busy_timeout(db_, static_cast<int>(options_.patience_s * 1000));
  struct stat at {};
  if (stat(options_.path.c_str(), &at) == 0) {
    device_ = static_cast<uint64_t>(at.st_dev);
    inode_ = static_cast<uint64_t>(at.st_ino);
  }
  Execute("PRAGMA journal_mode=WAL");
  Execute(options_.durability == Durability::kPower ? "PRAGMA synchronous=FULL"
                                                    : "PRAGMA synchronous=NORMAL");
  Execute("PRAGMA wal_autocheckpoint=400");
  Execute(("PRAGMA max_page_count=" + std::to_string(std::max(1, options_.most_mb) * 256))
              .c_str());  // of 4 KiB each
  Execute("BEGIN IMMEDIATE");
  Statement form;
  Prepare(&form, "PRAGMA user_version");
  if (sqlite3_step(form.raw) != SQLITE_ROW) Fail(sqlite3_errcode(db_));
  uint64_t found = form.Number(0);
  sqlite3_reset(form.raw);
  if (found > kForm) {
    throw Failure{Fault::kNewer, options_.path + ": its form " + std::to_string(found) + " is newer than " +
                                     std::to_string(kForm)};
  }
  Execute(kTables);
  Execute(("PRAGMA user_version=" + std::to_string(kForm)).c_str());
  Statement first;
  Prepare(&first, "INSERT OR IGNORE INTO meta VALUES(1, ?, 0, ?)");
  first.Bind(1, NewGeneration()).Bind(2, options_.boot);
  if (sqlite3_step(first.raw) != SQLITE_DONE) Fail(sqlite3_errcode(db_));
  sqlite3_reset(first.raw);
  // Leases of before the machine's last start have ended: its clock began anew.
  Statement boot;
  Prepare(&boot, "UPDATE meta SET boot = ? WHERE boot <> ?");
  boot.Bind(1, options_.boot).Bind(2, options_.boot);
  if (sqlite3_step(boot.raw) != SQLITE_DONE) Fail(sqlite3_errcode(db_));
  sqlite3_reset(boot.raw);
  if (sqlite3_changes(db_) > 0) Execute("UPDATE entry SET until = 0 WHERE until IS NOT NULL");
  Execute("COMMIT");
  auto make = [&](std::unique_ptr<Statement>* statement, const char* text) {
    *statement = std::make_unique<Statement>();
    Prepare(statement->get(), text);
  };
  make(&get_, "SELECT key, value, version, until FROM entry WHERE key = ?");
  make(&range_,
       "SELECT key, value, version, until FROM entry WHERE key >= ? AND key < ? ORDER BY key LIMIT ?");
  make(&written_,
       "SELECT key, value, version, until FROM entry WHERE space = ? AND version > ? ORDER BY version LIMIT "
       "?");
  make(&put_, "INSERT INTO entry VALUES(?, ?, ?, ?, ?)");
  make(&renew_, "UPDATE entry SET until = ? WHERE key = ? AND (until IS NULL OR until > ?)");
  make(&remove_, "DELETE FROM entry WHERE key = ?");
  make(&expired_, "SELECT key FROM entry WHERE until <= ? ORDER BY until, key LIMIT 1000");
  make(&lapsed_, "SELECT key FROM entry WHERE until <= ? AND space = ? ORDER BY until LIMIT 10000");
  make(&log_, "INSERT INTO gone VALUES(?, ?, ?)");
  make(&logged_,
       "SELECT DISTINCT key FROM gone WHERE space = ? AND revision > ? AND key NOT IN (SELECT key FROM "
       "entry) ORDER BY key");
  make(&meta_, "SELECT generation, revision FROM meta");
  make(&horizon_, "SELECT forgotten FROM space WHERE name = ?");
  make(&raise_, "UPDATE meta SET revision = ?");
}

double SqliteStore::Clock() const {
  if (options_.clock) return options_.clock();
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

Reply SqliteStore::Answer() const {
  Reply reply;
  reply.outcome = Outcome::kDone;
  reply.fault = Fault::kNone;
  reply.generation = generation_;
  reply.revision = revision_;
  return reply;
}

std::vector<Reply> SqliteStore::Take(const std::vector<Call>& calls) {
  std::vector<Reply> replies;
  bool committing = false, writes = std::any_of(calls.begin(), calls.end(),
                                                [](const Call&c) { return c.kind == CallKind::kCommit; });
  try {
    if (db_ != nullptr && Replaced()) Close();
    if (db_ == nullptr) Open();
    double now = Clock();
    Execute(writes ? "BEGIN IMMEDIATE" : "BEGIN");
    int code = sqlite3_step(meta_->raw);
    if (code != SQLITE_ROW) Fail(code);
    generation_ = meta_->Text(0);
    revision_ = meta_->Number(1);
    uint64_t before = revision_;
    sqlite3_reset(meta_->raw);
    if (writes) Expire(now);
    for (const Call& call : calls) {
      std::string why = call.Unsound();
      replies.push_back(why.empty() ? Run(call, now) : NotDone(Fault::kBad, why));
    }
    if (revision_ != before) {
      raise_->Bind(1, revision_);
      if ((code = sqlite3_step(raise_->raw)) != SQLITE_DONE) Fail(code);
      sqlite3_reset(raise_->raw);
      if (before / kTrimEvery != revision_ / kTrimEvery) Trim();
    }
    committing = writes;
    Execute("COMMIT");
    return replies;
  } catch (const Failure& failure) {
    // A commit that was turned away for room or a lock is rolled back whole; one whose write failed may be on
    // the disk.
    bool unknown = committing && failure.fault == Fault::kUnreachable;
    if (db_ != nullptr && sqlite3_get_autocommit(db_) == 0)
      sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    if (failure.fault != Fault::kBusy && failure.fault != Fault::kFull) Close();
    replies.clear();
    for (const Call& call : calls) {
      std::string why = call.Unsound();
      bool commit = call.kind == CallKind::kCommit && !call.batch.changes.empty();
      replies.push_back(!why.empty()        ? NotDone(Fault::kBad, why)
                        : unknown && commit ? MaybeDone(failure.fault, failure.why)
                                            : NotDone(failure.fault, failure.why));
    }
    return replies;
  }
}

// Of each space the newest that went are kept.
void SqliteStore::Trim() {
  Statement spaces, last, note, drop;
  Prepare(&spaces, "SELECT DISTINCT space FROM gone");
  Prepare(&last, "SELECT revision FROM gone WHERE space = ? ORDER BY revision DESC LIMIT 1 OFFSET 10000");
  Prepare(&note, "INSERT OR REPLACE INTO space VALUES(?, ?)");
  Prepare(&drop, "DELETE FROM gone WHERE space = ? AND revision <= ?");
  std::vector<std::string> names;
  int code;
  while ((code = sqlite3_step(spaces.raw)) == SQLITE_ROW) names.push_back(spaces.Text(0));
  if (code != SQLITE_DONE) Fail(code);
  for (const std::string& name : names) {
    last.Bind(1, name);
    code = sqlite3_step(last.raw);
    uint64_t forgotten = code == SQLITE_ROW ? last.Number(0) : 0;
    sqlite3_reset(last.raw);
    if (code != SQLITE_ROW && code != SQLITE_DONE) Fail(code);
    if (forgotten == 0) continue;
    for (Statement* s : {&note, &drop}) {
      s->Bind(1, name).Bind(2, forgotten);
      code = sqlite3_step(s->raw);
      sqlite3_reset(s->raw);
      if (code != SQLITE_DONE) Fail(code);
    }
  }
}

void SqliteStore::Forget(const std::string& key, uint64_t revision) {
  remove_->Bind(1, key);
  int code = sqlite3_step(remove_->raw);
  sqlite3_reset(remove_->raw);
  if (code != SQLITE_DONE) Fail(code);
  if (sqlite3_changes(db_) == 0) return;
  log_->Bind(1, SpaceOf(key)).Bind(2, revision).Bind(3, key);
  code = sqlite3_step(log_->raw);
  sqlite3_reset(log_->raw);
  if (code != SQLITE_DONE) Fail(code);
}

// Each end of a lease is a change of its own.
void SqliteStore::Expire(double now) {
  std::vector<std::string> keys;
  int code;
  expired_->Bind(1, std::optional<double>(now));
  while ((code = sqlite3_step(expired_->raw)) == SQLITE_ROW) keys.push_back(expired_->Text(0));
  sqlite3_reset(expired_->raw);
  if (code != SQLITE_DONE) Fail(code);
  for (const std::string& key : keys) Forget(key, ++revision_);
}

Reply SqliteStore::Run(const Call& call, double now) {
  if (call.kind == CallKind::kCommit) return RunCommit(call.batch, now);
  Reply reply = Answer();
  Statement* read = call.kind == CallKind::kGet     ? get_.get()
                    : call.kind == CallKind::kRange ? range_.get()
                                                    : written_.get();
  if (call.kind == CallKind::kGet) read->Bind(1, call.key);
  if (call.kind == CallKind::kRange)
    read->Bind(1, call.key).Bind(2, call.key + "\xff").Bind(3, uint64_t{kMostEntries + 1});
  if (call.kind == CallKind::kChanges) {
    horizon_->Bind(1, call.key);
    int code = sqlite3_step(horizon_->raw);
    uint64_t forgotten = code == SQLITE_ROW ? horizon_->Number(0) : 0;
    sqlite3_reset(horizon_->raw);
    if (code != SQLITE_ROW && code != SQLITE_DONE) Fail(code);
    reply.whole = call.since >= forgotten && call.since <= revision_;
    if (!reply.whole) return reply;
    read->Bind(1, call.key).Bind(2, call.since).Bind(3, uint64_t{kMostEntries + 1});
  }
  int code;
  while ((code = sqlite3_step(read->raw)) == SQLITE_ROW) {
    Entry entry{read->Text(0), read->Text(1), read->Number(2), std::nullopt};
    if (sqlite3_column_type(read->raw, 3) != SQLITE_NULL)
      entry.lease_left_s = sqlite3_column_double(read->raw, 3) - now;
    if (entry.lease_left_s && *entry.lease_left_s <= 0) {
      continue;  // it has ended, and nobody has written since
    }
    reply.entries.push_back(std::move(entry));
  }
  sqlite3_reset(read->raw);
  if (code != SQLITE_DONE) Fail(code);
  if (reply.entries.size() > kMostEntries) return NotDone(Fault::kBad, "over 20000 entries");
  if (call.kind == CallKind::kChanges) {
    logged_->Bind(1, call.key).Bind(2, call.since);
    while ((code = sqlite3_step(logged_->raw)) == SQLITE_ROW) reply.gone.push_back(logged_->Text(0));
    sqlite3_reset(logged_->raw);
    if (code != SQLITE_DONE) Fail(code);
    // Leases that have ended since, which nobody's write has taken out yet.
    lapsed_->Bind(1, std::optional<double>(now)).Bind(2, call.key);
    while ((code = sqlite3_step(lapsed_->raw)) == SQLITE_ROW) reply.gone.push_back(lapsed_->Text(0));
    sqlite3_reset(lapsed_->raw);
    if (code != SQLITE_DONE) Fail(code);
    std::sort(reply.gone.begin(), reply.gone.end());
  }
  return reply;
}

Reply SqliteStore::RunCommit(const Batch& batch, double now) {
  for (const Condition& c : batch.conditions) {
    get_->Bind(1, c.key);
    int code = sqlite3_step(get_->raw);
    uint64_t version = code == SQLITE_ROW ? get_->Number(2) : 0;
    bool ended = code == SQLITE_ROW && sqlite3_column_type(get_->raw, 3) != SQLITE_NULL &&
                 sqlite3_column_double(get_->raw, 3) <= now;
    if (ended) version = 0;  // of many that end at once, some are still to be taken out
    sqlite3_reset(get_->raw);
    if (code != SQLITE_ROW && code != SQLITE_DONE) Fail(code);
    if (version == c.version) continue;
    Reply no = NotDone(Fault::kConflict, c.key);
    no.generation = generation_;
    no.revision = revision_;
    return no;
  }
  if (batch.changes.empty()) return Answer();
  revision_ = std::max(revision_, batch.at_least);
  for (const Change& change : batch.changes) {
    if (change.renew) {
      renew_->Bind(1, std::optional<double>(now + *change.lease_s))
          .Bind(2, change.key)
          .Bind(3, std::optional<double>(now));
      int code = sqlite3_step(renew_->raw);
      sqlite3_reset(renew_->raw);
      if (code != SQLITE_DONE) Fail(code);
      continue;
    }
    ++revision_;
    Forget(change.key, revision_);
    if (!change.value) continue;
    std::optional<double> until;
    if (change.lease_s) until = now + *change.lease_s;
    put_->Bind(1, change.key)
        .Blob(2, *change.value)
        .Bind(3, revision_)
        .Bind(4, until)
        .Bind(5, SpaceOf(change.key));
    int code = sqlite3_step(put_->raw);
    sqlite3_reset(put_->raw);
    if (code != SQLITE_DONE) Fail(code);
  }
  return Answer();
}

}  // namespace ivygw::shared
