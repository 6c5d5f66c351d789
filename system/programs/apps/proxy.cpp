// ivygw-proxy: the proxy, on every edge machine.
#include "apps/daemon.h"
#include "proxy/gateway.h"

int main(int argc, char** argv) {
  std::unique_ptr<ivygw::proxy::Gateway> gateway;
  return ivygw::apps::Run(
      {"ivygw-proxy", "the proxy of a gateway",
       [&](ivygw::asio::io_context& io, const ivygw::process::Settings& settings) -> std::function<void()> {
         gateway = std::make_unique<ivygw::proxy::Gateway>(io, settings, [&io] { io.stop(); });
         return [&] { gateway->Stop(); };
       }},
      argc, argv);
}
