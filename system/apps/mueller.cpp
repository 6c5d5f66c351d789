// mueller: the store of configuration.
#include "apps/daemon.h"
#include "mueller/store.h"

int main(int argc, char** argv) {
  std::unique_ptr<ivygw::mueller::Store> store;
  return ivygw::apps::Run({"mueller", "the store of configuration",
                           [&](ivygw::asio::io_context& io, const ivygw::rakiura::Settings& settings) -> std::function<void()> {
                             store = std::make_unique<ivygw::mueller::Store>(io, settings);
                             return [&io] { io.stop(); };
                           }},
                          argc, argv);
}
