// The record of a rehearsal: what each client, node, counter and discovery saw on its own side, in the order
// in which it was seen, and the facts of the run that are needed to judge it. One thread. Times are seconds
// of the run's clock, which is nought at the first arrival; doubles are written so that they read back the
// same.
#ifndef IVYGW_EVENTLOG_EVENT_LOG_H_
#define IVYGW_EVENTLOG_EVENT_LOG_H_

#include <cstdint>
#include <iosfwd>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ivygw::eventlog {

enum class Effect { kSafe, kKeyed, kUnsafe };

struct ClassFacts {
  std::string name;
  Effect effect = Effect::kSafe;
  double aim_s = 0, window_s = 0, worth = 0;
};
struct PlanFacts {
  std::string name;
  double rate = 0, burst = 0, ceiling_rate = 0, ceiling_burst = 0, ceiling_slack = 0;
  double price = 1, excess_worth = 0;
};
struct PhaseFacts {
  std::string name;
  double from_s = 0, to_s = 0;
};
struct RunFacts {
  std::string scenario, mode;
  uint64_t seed = 0;
  int gateways = 0;
  double duration_s = 0;
  double drain_grace_s = 0, tip_multiple = 0, tip_s = 0, cold_from = 0, warm_s = 0;
  bool works = false;      // a client's tries are one work, which gateways take over from each other
  double tolerance_s = 0;  // by which each time limit is longer where events are seen late
  std::vector<ClassFacts> classes;
  std::vector<PlanFacts> plans;
  std::vector<PhaseFacts> phases;
};

enum class EventKind : uint8_t {
  kAsk,       // a client's last byte is written: request, gateway, customer, plan, cls, units, due, seconds
              // (its patience), other (the request that it tries again; 0: a first try)
  kAnswer,    // a whole answer has come: request, gateway, status, token, seconds (Retry-After)
  kEnded,     // the connection ended with no whole answer: request, gateway
  kNotTaken,  // could not connect: request, gateway
  kGaveUp,    // the client's time is over: request, gateway
  kArrive,    // an attempt has come whole: request, gateway, node, attempt, due (its first byte), units, work
  kReply,     // the node has answered it: attempt, request, node, text (how), token, flag (it ran)
  kCancelled,    // the gateway has ended it: attempt, request, node
  kEffect,       // the node has done the work: request, node, attempt, text (its key, where it has one)
  kTold,         // discovery has written to the gateway: gateway, node, text (status)
  kNodeUp,       // node, address, work (its whole capacity), flag (cold), text (name)
  kNodeDown,     // node, text (why)
  kFell,         // pushed over while cold: node
  kGatewayUp,    // ready: gateway
  kGatewayDown,  // gateway, text (killed, ended, crashed), status
  kCount,        // a call of the counter: gateway, text (name), units (amount), work (total), flag (answered)
  kFault,        // text (which), flag (it begins)
  kLoad,         // node, units (in work), work (waiting)
};
std::string_view KindName(EventKind kind);

struct Event {
  double t = 0;
  EventKind kind = EventKind::kAsk;
  uint64_t request = 0, other = 0, attempt = 0, customer = 0, token = 0;
  int gateway = -1, node = -1, address = -1, plan = -1, cls = -1, status = 0;
  double due = 0, units = 0, work = 0, seconds = 0;
  bool flag = false;
  std::string text;
};

struct Record {
  RunFacts facts;
  std::vector<Event> events;
};

// One JSON object a line: the facts, then the events.
void Write(const Record& record, std::ostream& out);

// What is wrong with a record, with its line.
class RecordError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};
Record Read(std::istream& in);  // throws RecordError

}  // namespace ivygw::eventlog

#endif  // IVYGW_EVENTLOG_EVENT_LOG_H_
