// ivygw-config-store: the store of configuration.
#include "apps/daemon.h"
#include "config_store/store.h"

namespace {

using ivygw::apps::Service;
using ivygw::process::Settings;

class ConfigStoreService : public Service {
 public:
  ConfigStoreService(ivygw::asio::io_context& io, const Settings& settings) : io_(io), store_(io, settings) {}
  void Stop() override {
    store_.Stop([this] { io_.stop(); });
  }

 private:
  ivygw::asio::io_context& io_;
  ivygw::config_store::Store store_;
};

}  // namespace

int main(int argc, char** argv) {
  return ivygw::apps::Run({"ivygw-config-store", "the store of configuration",
                           [](ivygw::asio::io_context& io, const Settings& settings) {
                             return std::make_unique<ConfigStoreService>(io, settings);
                           }},
                          argc, argv);
}
