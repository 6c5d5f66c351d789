// Brewster (items on disk): a LevelDB store behind a thread of its own, so that a disk that hangs never holds up the event
// loop. Batches are synced in the order given; those that wait are written in one sync. Public calls are the loop's thread's.
#ifndef IVYGW_SYSTEM_BREWSTER_DISK_H_
#define IVYGW_SYSTEM_BREWSTER_DISK_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "luxmore/replica.h"
#include "net/mailbox.h"

namespace leveldb { class DB; }

namespace ivygw::brewster {

class Disk {
 public:
  struct Content {
    std::vector<luxmore::Item> items;
    bool counts = false;           // this copy had read all that a majority held, or was there from the beginning
    std::set<std::string> cores;
    std::string unreadable;        // a record that could not be read: the first one's key
  };
  // Opens `folder`, made where it is missing, and reads all of it. Throws std::runtime_error with the reason.
  Disk(asio::io_context& io, const std::string& folder, Content* content);
  ~Disk();

  using Stored = std::function<void(uint64_t batch, bool ok)>;
  void OnStored(Stored stored) { stored_ = std::move(stored); }
  void Store(luxmore::Replica::Store batch);
  // Not synced: of records that nobody misses.
  void Erase(const std::string& key);

 private:
  void Run();
  struct Job {
    luxmore::Replica::Store store;
    std::string erase;
  };
  std::unique_ptr<leveldb::DB> db_;
  Mailbox mailbox_;
  Stored stored_;
  std::mutex mutex_;
  std::condition_variable bell_;
  std::deque<Job> jobs_;
  bool over_ = false;
  std::thread thread_;
};

}  // namespace ivygw::brewster

#endif  // IVYGW_SYSTEM_BREWSTER_DISK_H_
