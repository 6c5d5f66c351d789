// ivygw-registry: the registry of backends, and the core machine's door for outside calls.
#include "registry/registry.h"

#include "apps/daemon.h"

namespace {

using ivygw::apps::Service;
using ivygw::process::Settings;

class RegistryService : public Service {
 public:
  RegistryService(ivygw::asio::io_context& io, const Settings& settings) : io_(io), registry_(io, settings) {}
  void Stop() override {
    registry_.Stop([this] { io_.stop(); });
  }

 private:
  ivygw::asio::io_context& io_;
  ivygw::registry::Registry registry_;
};

}  // namespace

int main(int argc, char** argv) {
  return ivygw::apps::Run({"ivygw-registry", "the registry of backends",
                           [](ivygw::asio::io_context& io, const Settings& settings) {
                             return std::make_unique<RegistryService>(io, settings);
                           }},
                          argc, argv);
}
