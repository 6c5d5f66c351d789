// ivygw-config-store: the store of configuration.
#include "apps/daemon.h"
#include "config_store/store.h"

int main(int argc, char** argv) {
  std::unique_ptr<ivygw::config_store::Store> store;
  return ivygw::apps::Run(
      {"ivygw-config-store", "the store of configuration",
       [&](ivygw::asio::io_context& io, const ivygw::process::Settings& settings) -> std::function<void()> {
         store = std::make_unique<ivygw::config_store::Store>(io, settings);
         return [&io] { io.stop(); };
       }},
      argc, argv);
}
