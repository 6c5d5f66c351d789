// milford: the proxy, on every edge machine.
#include "apps/daemon.h"
#include "milford/gateway.h"

int main(int argc, char** argv) {
  std::unique_ptr<ivygw::milford::Gateway> gateway;
  return ivygw::apps::Run({"milford", "the proxy of a gateway",
                           [&](ivygw::asio::io_context& io, const ivygw::rakiura::Settings& settings) -> std::function<void()> {
                             gateway = std::make_unique<ivygw::milford::Gateway>(io, settings, [&io] { io.stop(); });
                             return [&] { gateway->Stop(); };
                           }},
                          argc, argv);
}
