// The shared counter on sockets (RESP2): TALLY, and what Redis has of the like (INCRBYFLOAT, PEXPIRE, MULTI,
// EXEC, AUTH, SELECT): a listener for each gateway, so that it is known who calls.
#ifndef IVYGW_STANDIN_COUNTER_SERVERS_H_
#define IVYGW_STANDIN_COUNTER_SERVERS_H_

#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "emulator/world.h"
#include "standin/asio_scheduler.h"
#include "standin/listener.h"

namespace ivygw::standin {

class CounterServers {
 public:
  CounterServers(asio::io_context& io, AsioScheduler* scheduler, emulator::World* world, int gateways);
  ~CounterServers();

  std::string Address(int gateway) const { return listeners_[static_cast<size_t>(gateway)]->address(); }
  void Refuse(bool refuses);

 private:
  class Connection;
  AsioScheduler* scheduler_;
  emulator::World* world_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::vector<int> open_;  // connections by gateway
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

// One call as it came: the words of a RESP2 array of bulk strings. Reads as many whole calls as `bytes`
// begins with and takes them off. False where it is no such thing.
struct CallLimits {
  size_t words = 16, word = 4096,
         bytes = size_t{256} * 1024;  // of a call; of a word; that are not a whole call yet
};
bool ReadCalls(std::string* bytes, std::vector<std::vector<std::string>>* calls,
               const CallLimits& limits = {});

}  // namespace ivygw::standin

#endif  // IVYGW_STANDIN_COUNTER_SERVERS_H_
