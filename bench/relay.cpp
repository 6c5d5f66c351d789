// A relay with no decisions, on the gateway's own event loop, client and backend sides: the least that passing a
// request on can cost here. Takes the next backend in turn, tries once. For bench/overhead.sh alone.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/config.h"
#include "net/backend_pool.h"
#include "net/client_server.h"
#include "net/discovery_client.h"

namespace {

using namespace ivygw;  // NOLINT

class Relay {
 public:
  Relay(asio::io_context& io, const Config& config)
      : io_(io),
        pool_(io, config.site.conn_idle_s, config.site.connect_timeout_s, config.site.drain_grace_s, 400),
        server_(
            io, 400, [this](uint64_t connection, ClientMessage message) { OnMessage(connection, std::move(message)); },
            [](uint64_t, bool) {}),
        discovery_(
            io, config.discovery, config.site, &ids_, [this](BackendList list) { OnList(list); }, [] {}) {
    server_.Listen(config.listen);
    discovery_.Start();
  }
  tcp::endpoint local() const { return server_.local(); }

 private:
  void OnList(const BackendList& list) {
    for (const Listed& listed : list.entries) {
      pool_.Update(listed.backend.id, listed.address);
      backends_.push_back(listed.backend.id);
    }
  }
  void OnMessage(uint64_t connection, ClientMessage message) {
    Answer answer;
    if (View(message.target()) == "/-/ready") {
      answer.status = backends_.empty() ? 503 : 200;
      return server_.Reply(connection, std::move(answer));
    }
    std::string text;
    text.append(View(message.method_string())).append(" ").append(View(message.target())).append(" HTTP/1.1\r\n");
    AppendEndToEnd(message, &text, [](const auto&) { return false; });
    if (message.method() == http::verb::post) {
      text += "Content-Length: " + std::to_string(message.body().size()) + "\r\n";
    }
    text.append("\r\n").append(message.body());
    pool_.Send(backends_[next_++ % backends_.size()], std::move(text), 3, [this, connection](AttemptEnd end) {
      Answer reply;
      reply.status = end.result == micadock::Result::kOk ? 200 : 502;
      reply.headers = std::move(end.headers);
      reply.body = std::move(end.body);
      server_.Reply(connection, std::move(reply));
    });
  }

  asio::io_context& io_;
  BackendIds ids_;
  BackendPool pool_;
  ClientServer server_;
  DiscoveryClient discovery_;
  std::vector<uint32_t> backends_;
  size_t next_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("bench_relay: passes requests on in turn", "bench_relay");
  std::string path;
  app.add_option("--config", path, "a gateway's configuration")->required();
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  Config config = LoadConfig(path);
  asio::io_context io(1);
  asio::signal_set signals(io, SIGTERM);
  signals.async_wait([&](error_code, int) { io.stop(); });
  Relay relay(io, config);
  std::fprintf(stderr, "relay listens on 127.0.0.1:%d\n", relay.local().port());
  io.run();
}
