// What a gateway that is one of a fleet asks of it, and is told by it. The driver knows nothing of engines,
// leases and records behind this; there is none where `fleet` is not configured, or the program was built
// without it.
#ifndef IVYGW_GATEWAY_FLEET_PORT_H_
#define IVYGW_GATEWAY_FLEET_PORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gateway/config.h"
#include "net/http.h"

namespace ivygw {

// A request with a client's key.
struct KeyedCall {
  uint64_t client = 0;
  uint64_t customer = 0;
  int cls = 0;
  std::string key, message;  // `message`: what makes two requests the same: target and body
  double timeout_s = 0;      // for which its client can be answered
};

// All on the event loop's thread, never within a call of FleetPort, but for those said to be.
struct FleetEvents {
  struct Admission {
    uint64_t client = 0;
    double left_s = 0;
    bool recorded = false, resumed = false, may_have_run = false;
    double ran_age_s = 0;
    int ran_zone = 0, ran_cell = 0;
  };
  std::function<void(const Admission&)> admit;
  // The final answer to a client that the core does not have.
  std::function<void(uint64_t client, int status, double retry_after_s, const std::string& type,
                     const std::string& body, const char* why)>
      tell;
  std::function<void(uint32_t request, int attempt, bool ok)> intent;
  std::function<void(uint64_t client)> withdraw;
  std::function<void(uint64_t client)> unrecorded;  // its answer is to say so
  std::function<void(uint64_t client)> release;
  std::function<void(int gateways, bool counted)> fleet;
  std::function<void(uint64_t customer, double share, double seconds)>
      share;  // from now; in place of the one before
};

class FleetPort {
 public:
  virtual ~FleetPort() = default;
  // A request of the customer's has come, before the core has it.
  virtual void Asked(uint64_t customer, int plan, double units) = 0;
  // Admission, or an answer, follows.
  virtual void Take(const KeyedCall& call) = 0;
  virtual void Held(uint64_t client, uint32_t request) = 0;
  // False: the attempt needs no record; else FleetEvents::intent follows.
  virtual bool Intend(uint32_t request, int attempt, const std::string& backend, int zone, int cell) = 0;
  virtual void AttemptOver(uint32_t request, int attempt, bool may_have_run) = 0;
  // The core's final answer. False: it is held until release, or tell in its place.
  virtual bool Answered(uint64_t client, int status, const std::string& type, const std::string& body) = 0;
  // True: the core is to go on with its request all the same.
  virtual bool ClientGone(uint64_t client) = 0;
  virtual void Serving() = 0;  // as often as one likes
  virtual void Leaving() = 0;  // it goes on with what it has
  // Its place is given up; `done` once that is settled, or has taken too long.
  virtual void Left(std::function<void()> done) = 0;
  virtual std::string Figures() const = 0;  // lines name=value
  virtual std::string Members() const = 0;  // a line each
};

using MakeFleet = std::function<std::unique_ptr<FleetPort>(asio::io_context&, const Config&, FleetEvents)>;

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_FLEET_PORT_H_
