// Processor time of the proxy for one request: the proxy's exchanges between clients and a backend of their
// own, each in a process of its own, on the loopback. Prints microseconds of the proxy's process a request,
// median of the rounds. Usage: bench_proxy_cpu [REQUESTS] [ROUNDS]
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "config_model/model.h"
#include "discovery/backend.h"
#include "net/message_reader.h"
#include "proxy/exchanges.h"

namespace {

using namespace ivygw;

constexpr int kClients = 8;
constexpr size_t kBody = 600;  // bytes of an answer

const char* const kConfiguration =
    R"({"upsert_items":{"route_table":[{"name":"r","host_name":"h.example","path_prefix":"/a/","route_type":"idempotent",)"
    R"("timeout_ms":5000,"target_latency_ms":1000,"target_service":"s","max_attempts":2,"config_version":"00000001"}],)"
    R"("service_table":[{"name":"s","health_path":"/h","config_version":"00000001"}]}})";

tcp::endpoint Loopback(uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

// Answers every request until its parent has gone.
[[noreturn]] void RunBackend(uint16_t port) {
  asio::io_context io;
  bodies::BodyMemory memory(size_t{64} << 20);
  std::unique_ptr<ClientServer> server;
  auto serve = [&server](uint64_t client, ClientMessage message) {
    Answer answer;
    answer.status = 200;
    answer.headers =
        "Attempt-Id: " + std::string(View(message.head["Attempt-Id"])) + "\r\nServer-Seal: s\r\n";
    answer.body.assign(kBody, 'x');
    server->Reply(client, answer);
  };
  server =
      std::make_unique<ClientServer>(io, 1000, &memory, ClientServer::Events{serve, [](uint64_t, bool) {}});
  server->Listen(Loopback(port));
  io.run();
  _exit(0);
}

// One client after another on each of its connections, until all are answered.
class Client {
 public:
  Client(asio::io_context& io, uint16_t port, int first, int* left)
      : socket_(io), reader_(kLongestBody), id_(first), left_(left) {
    socket_.connect(Loopback(port));
    Prepare(socket_);
    Ask();
  }

 private:
  void Ask() {
    if (--*left_ < 0) return;
    id_ += kClients;
    text_ = "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + std::to_string(id_) +
            "\r\nDeadline-Remaining: 4000\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n";
    body_.clear();
    reader_.Next();
    WriteAll(socket_, text_, [this](error_code error) { error ? std::exit(3) : Read(); });
  }
  void Read() {
    ReadSome(socket_, kMostRead, [this](error_code error, std::string_view bytes) {
      if (error) std::exit(4);
      reader_.Add(bytes);
      if (reader_.Parse(&body_, kLongestBody)) std::exit(5);
      if (!reader_.done()) return Read();
      if (reader_.head().result_int() != 200 || body_.size() != kBody) std::exit(6);
      Ask();
    });
  }

  tcp::socket socket_;
  MessageReader<false> reader_;
  std::string text_, body_;
  int id_;
  int* left_;
};

[[noreturn]] void RunClients(uint16_t port, int requests) {
  asio::io_context io;
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kClients; ++i) clients.push_back(std::make_unique<Client>(io, port, i, &requests));
  io.run();
  _exit(0);
}

uint16_t FreePort() {
  asio::io_context io;
  tcp::acceptor acceptor(io, Loopback(0));
  return acceptor.local_endpoint().port();
}

double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double Round(uint16_t backend_port, int requests) {
  asio::io_context io;
  bodies::BodyMemory memory(size_t{64} << 20);
  routing::Routes routes;
  config_model::Change change;
  if (!config_model::ReadChange(kConfiguration, &change).empty()) std::abort();
  for (const auto& item : change.items) routes.ApplyItem(item);
  rate_limit::Admission admission(rate_limit::AdmissionOptions{});
  load_balancing::Pool pool(1, "z");
  discovery::Backend backend;
  backend.service = "s";
  backend.address = "127.0.0.1:" + std::to_string(backend_port);
  backend.zone = "z";
  backend.slot_count = kClients;
  pool.ApplyItem(0, {"backend/b", 1, false, discovery::FormatBackend(backend)});
  load_balancing::RetryBudget budget(0.2, 10, 60);
  drain::DrainManager drain(drain::DrainSchedule::ForGrace(6));
  proxy::Exchanges exchanges(io, &memory, &routes, &admission, &pool, &budget, &drain);
  ClientServer front(
      io, 1000, &memory,
      {[&](uint64_t client, ClientMessage message) { exchanges.OnRequest(client, std::move(message)); },
       [&](uint64_t client, bool held) { exchanges.OnClientClosed(client, held); }});
  exchanges.Serve(&front);
  exchanges.Open(true);
  front.Listen(Loopback(0));
  pid_t clients = fork();
  if (clients == 0) RunClients(front.local().port(), requests);
  double before = ProcessorSeconds();
  int status = 0;
  while (waitpid(clients, &status, WNOHANG) == 0) io.run_for(std::chrono::milliseconds(20));
  double used = ProcessorSeconds() - before;
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
    std::fprintf(stderr, "the clients failed: %d\n", WEXITSTATUS(status));
    std::exit(1);
  }
  return used / requests * 1e6;
}

}  // namespace

int main(int argc, char** argv) {
  int requests = argc > 1 ? std::atoi(argv[1]) : 100000;
  int rounds = argc > 2 ? std::atoi(argv[2]) : 5;
  uint16_t port = FreePort();
  pid_t backend = fork();
  if (backend == 0) RunBackend(port);
  usleep(200000);
  std::vector<double> figures;
  for (int i = 0; i < rounds; ++i) figures.push_back(Round(port, requests));
  kill(backend, SIGTERM);
  std::sort(figures.begin(), figures.end());
  std::printf("%.2f us of processor time a request (median of %d rounds of %d; %.2f to %.2f)\n",
              figures[figures.size() / 2], rounds, requests, figures.front(), figures.back());
}
