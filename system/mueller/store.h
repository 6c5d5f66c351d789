// Mueller (the store of configuration): its calls, over a replicated table of items. The registry passes
// outside calls on.
#ifndef IVYGW_SYSTEM_MUELLER_STORE_H_
#define IVYGW_SYSTEM_MUELLER_STORE_H_

#include <functional>
#include <string>

#include "mueller/configuration_policy.h"
#include "rees/core_node.h"

namespace ivygw::mueller {

class Store {
 public:
  using Answer = std::function<void(uint32_t status, std::string body)>;

  // Throws as CoreNode's constructor.
  Store(asio::io_context& io, const rakiura::Settings& settings);

  // An outside call; answered once, within a second.
  void Take(const heaphy::Call& call, Answer answer);
  const rees::CoreNode& node() const { return node_; }

 private:
  void Modify(const std::string& body, Answer answer);
  void Show(Answer answer);

  ConfigurationPolicy policy_;
  rees::CoreNode node_;
};

}  // namespace ivygw::mueller

#endif  // IVYGW_SYSTEM_MUELLER_STORE_H_
