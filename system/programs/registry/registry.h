// The registry: which backends and gateways there are, and what part of each rate limit a gateway may use. It
// is also where a core machine takes outside calls; those on the configuration are forwarded to the store of
// configuration beside it. One thread, that of the event loop.
//
// This class listens, dispatches calls and events, and wires the parts together; BackendDirectory,
// GatewayDirectory and QuotaLeases do the work.
#ifndef IVYGW_SYSTEM_REGISTRY_REGISTRY_H_
#define IVYGW_SYSTEM_REGISTRY_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "bodies/body_memory.h"
#include "call_routing/pending_calls.h"
#include "net/client_server.h"
#include "registry/backend_directory.h"
#include "registry/gateway_directory.h"
#include "registry/quota_leases.h"
#include "replicated_table/core_node.h"

namespace ivygw::registry {

class Registry {
 public:
  // Throws as CoreNode's constructor.
  Registry(asio::io_context& io, const process::Settings& settings);
  // A planned end: takes no more connections, answers the calls in hand, then calls `ended`, within a bound
  // whatever is still open. A second call changes nothing.
  void Stop(std::function<void()> ended);
  const replicated_table::CoreNode& node() const { return node_; }

 private:
  // A call whose body is still coming.
  struct IncompleteCall {
    explicit IncompleteCall(bodies::BodyMemory* memory) : share(memory) {}
    ClientMessage message;
    bodies::BodyShare share;  // of the memory that the body takes
  };

  // Events of the table, of clients, and of the store of configuration.
  replicated_table::CoreNode::Events NodeEvents();
  ClientServer::Events ServerEvents();
  transport::Dialer::Events StoreEvents();
  void OnSubscriberDown(const replicated_table::Subscriber& gone);
  void OnStoreLost();
  void OnStoreMessage(const messages::Message& message);
  void Tick();

  // Calls.
  void OnCall(uint64_t connection, ClientMessage message);
  void OnCallBody(uint64_t connection, const std::string& bytes, bool last);
  void Refuse(uint64_t connection, int status, const std::string& fault);
  void Dispatch(uint64_t connection, const ClientMessage& message);
  Answer AnswerTo(uint64_t connection);
  void Reply(uint64_t connection, int status, std::string body);
  void ForwardToStore(uint64_t connection, const std::string& name, const std::string& body);
  void ExpireForwardedCalls(TimePoint now);
  void EndIfQuiet(TimePoint now);

  const std::string address_;
  RegistryPolicy policy_;
  replicated_table::CoreNode node_;
  BackendDirectory backends_;
  GatewayDirectory gateways_;
  QuotaLeases quota_;
  bodies::BodyMemory memory_;
  ClientServer server_;
  std::unique_ptr<transport::Dialer> store_;
  call_routing::PendingCalls forwarded_{std::random_device()()};
  std::map<uint64_t, IncompleteCall> incomplete_;  // by connection
  uint64_t ticks_ = 0;
  const Duration stop_timeout_;
  TimePoint stop_deadline_;
  std::function<void()> ended_;  // none: it has not been told to stop
};

}  // namespace ivygw::registry

#endif  // IVYGW_SYSTEM_REGISTRY_REGISTRY_H_
