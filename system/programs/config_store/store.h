// The store of configuration: changes and reads of the configuration over a replicated table. Outside calls
// come forwarded by the registry of the same machine. One thread, that of the event loop.
#ifndef IVYGW_SYSTEM_CONFIG_STORE_STORE_H_
#define IVYGW_SYSTEM_CONFIG_STORE_STORE_H_

#include <functional>
#include <string>

#include "config_store/configuration_policy.h"
#include "replicated_table/core_node.h"

namespace ivygw::config_store {

class Store {
 public:
  using Answer = std::function<void(uint32_t status, std::string body)>;

  // Throws as CoreNode's constructor.
  Store(asio::io_context& io, const process::Settings& settings);

  // An outside call; answered once, within a second.
  void Take(const messages::ForwardedCall& call, Answer answer);
  // A planned end: answers the calls in hand, those that are on their way to it, too, then calls `ended`,
  // within a bound. A second call changes nothing.
  void Stop(std::function<void()> ended);
  const replicated_table::CoreNode& node() const { return node_; }

 private:
  void Modify(const std::string& body, Answer answer);
  void Show(Answer answer);
  replicated_table::CoreNode::Events NodeEvents();
  void EndIfQuiet();

  ConfigurationPolicy policy_;
  replicated_table::CoreNode node_;
  size_t calls_in_hand_ = 0;
  TimePoint stopped_at_;
  std::function<void()> ended_;  // none: it has not been told to stop
};

}  // namespace ivygw::config_store

#endif  // IVYGW_SYSTEM_CONFIG_STORE_STORE_H_
