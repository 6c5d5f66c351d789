// ivygw-proxy: the proxy, on every edge machine.
#include "apps/daemon.h"
#include "proxy/gateway.h"

namespace {

using ivygw::apps::Service;
using ivygw::process::Settings;

class ProxyService : public Service {
 public:
  ProxyService(ivygw::asio::io_context& io, const Settings& settings)
      : gateway_(io, settings, [&io] { io.stop(); }) {}
  void Stop() override { gateway_.Stop(); }

 private:
  ivygw::proxy::Gateway gateway_;
};

}  // namespace

int main(int argc, char** argv) {
  return ivygw::apps::Run({"ivygw-proxy", "the proxy of a gateway",
                           [](ivygw::asio::io_context& io, const Settings& settings) {
                             return std::make_unique<ProxyService>(io, settings);
                           }},
                          argc, argv);
}
