// angelus: the registry of backends, and the core machine's door for outside calls.
#include "angelus/registry.h"
#include "apps/daemon.h"

int main(int argc, char** argv) {
  std::unique_ptr<ivygw::angelus::Registry> registry;
  return ivygw::apps::Run({"angelus", "the registry of backends",
                           [&](ivygw::asio::io_context& io, const ivygw::rakiura::Settings& settings) -> std::function<void()> {
                             registry = std::make_unique<ivygw::angelus::Registry>(io, settings);
                             return [&] {
                               registry->Stop();
                               io.stop();
                             };
                           }},
                          argc, argv);
}
