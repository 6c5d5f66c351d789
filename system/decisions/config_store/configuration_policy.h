// Decides which commands the configuration table accepts. A call is applied as a whole or not at all, each
// version of an item is confirmed with one content only, and the table always holds a valid configuration.
// Pure; one thread.
#ifndef IVYGW_SYSTEM_CONFIG_STORE_CONFIGURATION_POLICY_H_
#define IVYGW_SYSTEM_CONFIG_STORE_CONFIGURATION_POLICY_H_

#include <string>
#include <vector>

#include "config_model/model.h"
#include "replication/command_policy.h"

namespace ivygw::config_store {

class ConfigurationPolicy : public replication::CommandPolicy {
 public:
  void OnRecord(const replication::Record& record) override { index_.ApplyItem(record.item); }
  void OnErased(const std::string& key) override { index_.Erase(key); }
  void OnReset() override { index_ = config_model::Index(); }
  replication::Evaluation Evaluate(const std::vector<replication::Item>& items,
                                   const replication::TableOverlay& overlay) const override;
  // Each call is validated against the whole configuration, so it is decided on its own.
  size_t MaxCommandsInChange() const override { return 1; }

 private:
  config_model::Index index_;  // of the committed configuration
};

}  // namespace ivygw::config_store

#endif  // IVYGW_SYSTEM_CONFIG_STORE_CONFIGURATION_POLICY_H_
