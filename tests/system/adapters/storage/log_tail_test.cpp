// Torn ends of files in LevelDB's log format: found where only the last record isn't whole, and nowhere else.
#include "storage/log_tail.h"

#include <errno.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using storage::FindTornTail;

namespace {

constexpr int kNever = -1;
int reads_before_an_error = kNever;

// The log of a database that has written values of these sizes, one record each, and where each record ends.
struct WrittenLog {
  std::string content;
  std::vector<size_t> ends;
};

std::string ReadFile(const std::filesystem::path& path) {
  std::stringstream content;
  content << std::ifstream(path, std::ios::binary).rdbuf();
  return content.str();
}

WrittenLog WriteLog(const std::vector<size_t>& sizes) {
  char name[] = "/tmp/ivygw_log_tail.XXXXXX";
  std::filesystem::path folder = mkdtemp(name);
  leveldb::Options options;
  options.create_if_missing = true;
  leveldb::DB* opened = nullptr;
  CHECK(leveldb::DB::Open(options, folder, &opened).ok());
  std::unique_ptr<leveldb::DB> database(opened);
  WrittenLog log;
  for (size_t size : sizes) {
    CHECK(database->Put({}, "key", std::string(size, 'v')).ok());
    log.content = ReadFile(folder / "000003.log");
    log.ends.push_back(log.content.size());
  }
  database.reset();
  std::filesystem::remove_all(folder);
  return log;
}

}  // namespace

// This program's reads, which may end in an error.
extern "C" ssize_t read(int descriptor, void* buffer, size_t size) {
  if (reads_before_an_error == 0) {
    errno = EIO;
    return -1;
  }
  if (reads_before_an_error > 0) --reads_before_an_error;
  return syscall(SYS_read, descriptor, buffer, size);
}

TEST_GROUP(LogTailTest){void teardown() override{reads_before_an_error = kNever;
}
}
;

// Guards against: what a disk failed to read was taken for torn off, and whole records were cut.
TEST(LogTailTest, AnErrorOfReadingIsNotTheEndOfTheFile) {
  char name[] = "/tmp/ivygw_log_tail.XXXXXX";
  std::filesystem::path folder = mkdtemp(name), log = folder / "000003.log";
  std::ofstream(log, std::ios::binary) << WriteLog({100, 90'000, 60}).content;
  size_t size = std::filesystem::file_size(log);
  for (int reads : {0, 1, 2, 5}) {
    reads_before_an_error = reads;
    CHECK_THROWS(std::filesystem::filesystem_error, storage::DropTornTails(folder, leveldb::Env::Default()));
    reads_before_an_error = kNever;
    CHECK_EQUAL(size, std::filesystem::file_size(log));
  }
  std::filesystem::remove_all(folder);
}

TEST(LogTailTest, AWholeLogHasNoTornTail) {
  for (size_t size : {size_t{0}, size_t{10}, size_t{32700}, size_t{32752}, size_t{32760}, size_t{100'000}})
    CHECK(!FindTornTail(WriteLog({5, size, 7}).content));
  CHECK(!FindTornTail(""));
}

TEST(LogTailTest, ALastRecordThatIsCutShortAnywhereIsTheTail) {
  WrittenLog log = WriteLog({100, 40'000, 60});
  for (size_t size = log.ends[0] + 1; size < log.ends[1]; size += 97) {
    std::optional<size_t> tail = FindTornTail(log.content.substr(0, size));
    CHECK(tail && *tail == log.ends[0]);
    std::string zeros = log.content.substr(0, size) + std::string(log.ends[1] - size, '\0');
    tail = FindTornTail(zeros);
    CHECK(tail && *tail == log.ends[0]);
  }
}

TEST(LogTailTest, ALaterPartThatIsThereWithoutAnEarlierOneIsTornToo) {
  WrittenLog log = WriteLog({100, 90'000});
  std::string holed = log.content;
  holed.replace(log.ends[0], 1000, 1000, '\0');
  std::optional<size_t> tail = FindTornTail(holed);
  CHECK(tail && *tail == log.ends[0]);
}

TEST(LogTailTest, DamageBeforeTheLastRecordIsNoTornTail) {
  WrittenLog log = WriteLog({100, 40'000, 60});
  for (size_t at : {size_t{0}, size_t{4}, size_t{6}, size_t{20}, log.ends[0] + 5, log.ends[0] + 33'000}) {
    std::string damaged = log.content;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x55);
    CHECK(!FindTornTail(damaged));
  }
}
