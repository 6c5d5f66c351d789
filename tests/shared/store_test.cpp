// The SQLite store against the model in memory, and each way in which its file can fail.
#include <gtest/gtest.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <string>

#include "shared/sqlite_store.h"
#include "shared/store_compare.h"
#include "shared/threaded_engine.h"

namespace ivygw::shared {
namespace {

class Folder {
 public:
  Folder() {
    char path[] = "/tmp/ivygw-shared-XXXXXX";
    path_ = mkdtemp(path);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  std::string File(const std::string& name = "fleet.db") const { return path_ + "/" + name; }

 private:
  std::string path_;
};

SqliteOptions At(const std::string& path) {
  SqliteOptions options;
  options.path = path;
  options.durability = Durability::kProcess;
  options.patience_s = 0.05;
  return options;
}

TEST(SqliteStore, AnswersAsTheModelDoes) {
  Folder folder;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    double now = 1000;
    SqliteOptions options = At(folder.File("f" + std::to_string(seed)));
    options.clock = [&now] { return now; };
    SqliteStore real(options);
    CompareWithModel(seed, &now, [&](const Call& call) { return real.Take(call); });
  }
}

TEST(SqliteStore, ManyCallsOfOneTransactionDoNotHarmEachOther) {
  Folder folder;
  SqliteStore store(At(folder.File()));
  Batch good{{}, {Put("a/1", "x")}, 0}, bad{{{"a/1", 99}}, {Put("a/2", "y")}, 0}, odd{{}, {Put("", "y")}, 0};
  std::vector<Reply> replies = store.Take({Commit(good), Commit(bad), Commit(odd), Get("a/1")});
  EXPECT_TRUE(replies[0].done());
  EXPECT_EQ(replies[1].fault, Fault::kConflict);
  EXPECT_EQ(replies[2].fault, Fault::kBad);
  ASSERT_EQ(replies[3].entries.size(), 1u);
  EXPECT_EQ(store.Take(Range("a/")).entries.size(), 1u);
}

TEST(SqliteStore, HeldByAnotherForTooLongIsNotDone) {
  Folder folder;
  SqliteStore store(At(folder.File()));
  ASSERT_TRUE(store.Take(Commit({{}, {Put("a/1", "x")}, 0})).done());
  sqlite3* other = nullptr;
  ASSERT_EQ(sqlite3_open(folder.File().c_str(), &other), SQLITE_OK);
  ASSERT_EQ(sqlite3_exec(other, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr), SQLITE_OK);
  Reply reply = store.Take(Commit({{}, {Put("a/2", "x")}, 0}));
  EXPECT_EQ(reply.outcome, Outcome::kNotDone);
  EXPECT_EQ(reply.fault, Fault::kBusy);
  EXPECT_TRUE(store.Take(Get("a/1")).done()) << "reading goes on";
  sqlite3_exec(other, "ROLLBACK", nullptr, nullptr, nullptr);
  EXPECT_TRUE(store.Take(Commit({{}, {Put("a/2", "x")}, 0})).done());
  sqlite3_close(other);
}

TEST(SqliteStore, AFullStoreTakesNoMoreAndGoesOn) {
  Folder folder;
  SqliteOptions options = At(folder.File());
  options.most_mb = 1;
  SqliteStore store(options);
  std::string big(100 * 1024, 'x');
  int took = 0;
  Reply reply;
  for (int i = 0; i < 40; ++i) {
    reply = store.Take(Commit({{}, {Put("a/" + std::to_string(i), big)}, 0}));
    if (!reply.done()) break;
    ++took;
  }
  EXPECT_EQ(reply.outcome, Outcome::kNotDone);
  EXPECT_EQ(reply.fault, Fault::kFull);
  EXPECT_GT(took, 3);
  EXPECT_EQ(store.Take(Range("a/")).entries.size(), static_cast<size_t>(took)) << "nothing of it was kept";
  EXPECT_TRUE(store.Take(Commit({{}, {Remove("a/0"), Remove("a/1")}, 0})).done());
  EXPECT_TRUE(store.Take(Commit({{}, {Put("a/0", big)}, 0})).done());
}

TEST(SqliteStore, AProcessKilledInATransactionLeavesItWholeOrNotAtAll) {
  Folder folder;
  SqliteStore store(At(folder.File()));
  ASSERT_TRUE(store.Take(Commit({{}, {Put("a/1", "x")}, 0})).done());
  pid_t child = fork();
  if (child == 0) {
    sqlite3* other = nullptr;
    sqlite3_open(folder.File().c_str(), &other);
    sqlite3_exec(
        other,
        "BEGIN IMMEDIATE; INSERT INTO entry VALUES('a/2', 'y', 77, NULL, 'a'); UPDATE meta SET revision = 77",
        nullptr, nullptr, nullptr);
    kill(getpid(), SIGKILL);
  }
  int status = 0;
  waitpid(child, &status, 0);
  ASSERT_TRUE(WIFSIGNALED(status));
  Reply reply = store.Take(Commit({{}, {Put("a/3", "z")}, 0}));
  ASSERT_TRUE(reply.done()) << reply.why;
  EXPECT_EQ(reply.revision, 2u);
  EXPECT_EQ(store.Take(Range("a/")).entries.size(), 2u);
}

TEST(SqliteStore, SpoiltFilesAreLeftAloneUntilTheyAreReplaced) {
  Folder folder;
  std::ofstream(folder.File()) << std::string(5000, '#');
  SqliteStore store(At(folder.File()));
  Reply reply = store.Take(Commit({{}, {Put("a/1", "x")}, 0}));
  EXPECT_EQ(reply.outcome, Outcome::kNotDone);
  EXPECT_EQ(reply.fault, Fault::kBroken);
  EXPECT_NE(reply.why.find(folder.File()), std::string::npos) << reply.why;
  std::filesystem::remove(folder.File());
  EXPECT_TRUE(store.Take(Commit({{}, {Put("a/1", "x")}, 0})).done());
}

TEST(SqliteStore, AReplacedFileIsAnotherGeneration) {
  Folder folder;
  SqliteStore store(At(folder.File()));
  Watermark mark;
  EXPECT_EQ(mark.See(store.Take(Commit({{}, {Put("a/1", "x")}, 0}))), Watermark::Seen::kFirst);
  EXPECT_EQ(mark.See(store.Take(Commit({{}, {Put("a/2", "x")}, 0}))), Watermark::Seen::kSame);
  for (const char* tail : {"", "-wal", "-shm"}) std::filesystem::remove(folder.File() + tail);
  Reply fresh = store.Take(Get("a/1"));
  EXPECT_EQ(mark.See(fresh), Watermark::Seen::kLost);
  EXPECT_TRUE(fresh.entries.empty());
  Reply after = store.Take(Commit({{}, {Put("a/3", "x")}, mark.highest()}));
  EXPECT_GT(after.revision, 2u) << "revisions go on above all that was heard of";
}

TEST(SqliteStore, AnOldCopyPutBackIsSeen) {
  Folder folder;
  Watermark mark;
  {
    SqliteStore store(At(folder.File()));
    mark.See(store.Take(Commit({{}, {Put("a/1", "x")}, 0})));
  }
  std::filesystem::copy_file(folder.File(), folder.File("copy"));
  SqliteStore store(At(folder.File()));
  EXPECT_EQ(mark.See(store.Take(Commit({{}, {Put("a/2", "x")}, 0}))), Watermark::Seen::kSame);
  for (const char* tail : {"-wal", "-shm"}) std::filesystem::remove(folder.File() + tail);
  std::filesystem::rename(folder.File("copy"), folder.File());
  EXPECT_EQ(mark.See(store.Take(Get("a/1"))), Watermark::Seen::kLost);
  EXPECT_GT(store.Take(Commit({{}, {Put("a/2", "y")}, mark.highest()})).revision, mark.highest());
}

TEST(SqliteStore, ALaterFormIsLeftAlone) {
  Folder folder;
  sqlite3* other = nullptr;
  ASSERT_EQ(sqlite3_open(folder.File().c_str(), &other), SQLITE_OK);
  sqlite3_exec(other, "PRAGMA user_version = 99; CREATE TABLE what(x)", nullptr, nullptr, nullptr);
  sqlite3_close(other);
  SqliteStore store(At(folder.File()));
  Reply reply = store.Take(Commit({{}, {Put("a/1", "x")}, 0}));
  EXPECT_EQ(reply.fault, Fault::kNewer);
  EXPECT_EQ(reply.outcome, Outcome::kNotDone);
}

TEST(SqliteStore, AMissingFolderIsUnreachable) {
  SqliteStore store(At("/tmp/ivygw-there-is-no-such-folder/x.db"));
  Reply reply = store.Take(Get("a/1"));
  EXPECT_FALSE(reply.done());
  EXPECT_EQ(reply.outcome, Outcome::kNotDone);
}

TEST(SqliteStore, LeasesOfBeforeTheMachinesLastStartHaveEnded) {
  Folder folder;
  SqliteOptions options = At(folder.File());
  options.boot = "one";
  {
    SqliteStore store(options);
    ASSERT_TRUE(store.Take(Commit({{}, {Put("a/1", "x", 1000.0), Put("a/2", "x")}, 0})).done());
  }
  options.boot = "two";
  SqliteStore store(options);
  Reply reply = store.Take(Range("a/"));
  ASSERT_EQ(reply.entries.size(), 1u);
  EXPECT_EQ(reply.entries[0].key, "a/2");
}

TEST(SqliteStore, AnEndedLeaseIsToldOfThoughNobodyWrites) {
  Folder folder;
  double now = 10;
  SqliteOptions options = At(folder.File());
  options.clock = [&now] { return now; };
  SqliteStore store(options);
  Reply put = store.Take(Commit({{}, {Put("a/1", "x", 1.0)}, 0}));
  now = 12;
  EXPECT_EQ(store.Take(ChangesSince("a", put.revision)).gone, std::vector<std::string>{"a/1"});
  EXPECT_TRUE(store.Take(Range("a/")).entries.empty());
}

TEST(SqliteStore, ChangesFromTooFarBackAreNotWhole) {
  Folder folder;
  SqliteStore store(At(folder.File()));
  for (int i = 0; i < 250; ++i) {
    Batch batch;
    for (int k = 0; k < 64; ++k) batch.changes.push_back(Put("a/" + std::to_string(k), "x"));
    ASSERT_TRUE(store.Take(Commit(batch)).done());
  }
  EXPECT_FALSE(store.Take(ChangesSince("a", 1)).whole);
  EXPECT_TRUE(store.Take(ChangesSince("a", 15000)).whole);
  EXPECT_TRUE(store.Take(ChangesSince("b", 1)).whole) << "of another space nothing was forgotten";
}

// Tasks of the engine's thread, run by the test's.
class Loop {
 public:
  ThreadedEngine::Post post() {
    return [this](std::function<void()> task) {
      std::lock_guard lock(mutex_);
      tasks_.push_back(std::move(task));
      wake_.notify_one();
    };
  }
  template <typename Holds>
  void Until(Holds holds) {
    while (!holds()) {
      std::unique_lock lock(mutex_);
      ASSERT_TRUE(wake_.wait_for(lock, std::chrono::seconds(60), [this] { return !tasks_.empty(); }));
      auto task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
};

ThreadedEngine::Store StoreAt(const std::string& path) {
  auto store = std::make_shared<SqliteStore>(At(path));
  return [store](const std::vector<Call>& calls) { return store->Take(calls); };
}

TEST(ThreadedEngine, AnswersEveryCallOnceOnTheCallersThread) {
  Folder folder;
  Loop loop;
  ThreadedEngine engine([&] { return StoreAt(folder.File()); }, loop.post());
  int answers = 0;
  std::thread::id here = std::this_thread::get_id();
  for (int i = 0; i < 1000; ++i) {
    engine.Ask(Commit({{}, {Put("a/" + std::to_string(i), "x")}, 0}), [&](const Reply& r) {
      EXPECT_TRUE(r.done()) << r.why;
      EXPECT_EQ(std::this_thread::get_id(), here);
      ++answers;
    });
  }
  loop.Until([&] { return answers == 1000; });
}

TEST(ThreadedEngine, AFullQueueIsNotDoneAndHoldsNobodyUp) {
  Loop loop;
  std::mutex gate;
  gate.lock();
  ThreadedEngine engine(
      [&] {
        return [&](const std::vector<Call>& calls) {
          std::lock_guard wait(gate);
          return std::vector<Reply>(calls.size(), MaybeDone(Fault::kLate, "test"));
        };
      },
      loop.post(), 10);
  int busy = 0, others = 0;
  for (int i = 0; i < 300; ++i) {
    engine.Ask(Get("a/1"), [&](const Reply& r) { ++(r.fault == Fault::kBusy ? busy : others); });
  }
  loop.Until([&] { return busy >= 34; });  // 300 less 256 under way and 10 that wait, at the least
  gate.unlock();
  loop.Until([&] { return busy + others == 300; });
  EXPECT_GE(others, 10);
}

TEST(ThreadedEngine, NothingIsToldAfterItsEnd) {
  Folder folder;
  Loop loop;
  int told = 0;
  {
    ThreadedEngine engine([&] { return StoreAt(folder.File()); }, loop.post());
    for (int i = 0; i < 100; ++i) engine.Ask(Get("a/1"), [&](const Reply&) { ++told; });
  }
  bool last = false;
  loop.post()([&] { last = true; });
  loop.Until([&] { return last; });
  EXPECT_EQ(told, 0);
}

}  // namespace
}  // namespace ivygw::shared
