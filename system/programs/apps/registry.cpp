// ivygw-registry: the registry of backends, and the core machine's door for outside calls.
#include "registry/registry.h"

#include "apps/daemon.h"

int main(int argc, char** argv) {
  std::unique_ptr<ivygw::registry::Registry> registry;
  return ivygw::apps::Run(
      {"ivygw-registry", "the registry of backends",
       [&](ivygw::asio::io_context& io, const ivygw::process::Settings& settings) -> std::function<void()> {
         registry = std::make_unique<ivygw::registry::Registry>(io, settings);
         return [&] {
           registry->Stop();
           io.stop();
         };
       }},
      argc, argv);
}
