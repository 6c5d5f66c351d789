#include "fleet/node.h"

#include <sodium.h>

#include <cstdio>
#include <ctime>
#include <random>
#include <utility>

#include "base/dice.h"
#include "fleet/node_agent.h"
#include "net/address.h"
#include "net/clock.h"
#include "net/mailbox.h"
#include "shared/redis_engine.h"
#include "shared/sqlite_store.h"
#include "shared/threaded_engine.h"

namespace ivygw::fleet {
namespace {

constexpr double kTimerMarginS = 1e-4;  // added to timers, so that they never fire before `due`

// CLOCK_BOOTTIME also advances while the machine is suspended, and cannot be set.
double MonotonicSeconds() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

std::string NewBootId() {
  std::random_device draw;
  char text[25];
  std::snprintf(text, sizeof(text), "%08x%08x%08x", draw(), draw(), draw());
  return text;
}

// `mailbox` must outlive the engine.
std::unique_ptr<shared::Engine> MakeEngine(asio::io_context& io, Mailbox* mailbox, const Settings& s) {
  if (s.engine == Settings::Engine::kRedis) {
    shared::RedisOptions options;
    options.address = ParseAddress("fleet.address", s.address);
    options.username = s.username;
    options.password = s.password;
    options.database = s.database;
    options.prefix = s.prefix;
    options.generation = NewBootId();
    return std::make_unique<shared::RedisEngine>(io, std::move(options));
  }
  shared::SqliteOptions options;
  options.path = s.path;
  options.durability = s.survive_power_loss ? shared::Durability::kPower : shared::Durability::kProcess;
  options.most_mb = s.max_size_mb;
  auto make = [options] {
    auto store = std::make_shared<shared::SqliteStore>(options);
    return [store](const std::vector<shared::Call>& calls) { return store->Take(calls); };
  };
  return std::make_unique<shared::ThreadedEngine>(
      make, [mailbox](std::function<void()> task) { mailbox->Post(std::move(task)); });
}

// Runs a NodeAgent on an event loop. Posted tasks that are still queued when the Node is destroyed are not
// run.
class Node : public FleetPort {
 public:
  Node(asio::io_context& io, const Config& config, FleetEvents events)
      : io_(io),
        dice_(config.seed ^ std::random_device{}()),
        timer_(io),
        mailbox_(io),
        engine_(MakeEngine(io, &mailbox_, *config.fleet)) {
    if (sodium_init() < 0) throw micadock::WireError("fleet: libsodium could not be initialized");
    NodeAgentEnvironment env;
    env.now = MonotonicSeconds;
    env.random_unit = [this] { return dice_.Unit(); };
    env.call_engine = [this](shared::Call call, std::function<void(const shared::Reply&)> done) {
      engine_->Ask(std::move(call), std::move(done));
    };
    env.post = [this](std::function<void()> task) { Post(std::move(task)); };
    env.set_timer = [this](double due) { ArmTimer(due); };
    env.log = [](const std::string& text) { std::fprintf(stderr, "%s\n", text.c_str()); };
    agent_ = std::make_unique<NodeAgent>(config, NewBootId(), std::move(events), std::move(env));
    Post([this] { agent_->Start(); });
  }
  ~Node() override { *alive_ = false; }

  void Asked(uint64_t customer, int plan, double units) override { agent_->Asked(customer, plan, units); }
  void Take(const KeyedCall& call) override { agent_->Take(call); }
  void Held(uint64_t client, uint32_t request) override { agent_->Held(client, request); }
  bool Intend(uint32_t request, int attempt, const std::string& backend, int zone, int cell) override {
    return agent_->Intend(request, attempt, backend, zone, cell);
  }
  void AttemptOver(uint32_t request, int attempt, bool may_have_run) override {
    agent_->AttemptOver(request, attempt, may_have_run);
  }
  bool Answered(uint64_t client, int status, const std::string& type, const std::string& body) override {
    return agent_->Answered(client, status, type, body);
  }
  bool ClientGone(uint64_t client) override { return agent_->ClientGone(client); }
  void Serving() override { agent_->Serving(); }
  void Leaving() override { agent_->Leaving(); }
  void Left(std::function<void()> done) override { agent_->Left(std::move(done)); }
  std::string Figures() const override { return agent_->Figures(); }
  std::string Members() const override { return agent_->Members(); }

 private:
  void Post(std::function<void()> task) {
    asio::post(io_, [alive = alive_, task = std::move(task)] {
      if (*alive) task();
    });
  }
  void ArmTimer(double due) {
    if (timer_due_ > 0 && timer_due_ <= due) return;
    timer_due_ = due;
    timer_.expires_after(Seconds(std::max(0.0, due - MonotonicSeconds()) + kTimerMarginS));
    timer_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      timer_due_ = 0;
      agent_->OnTimer();
    });
  }

  asio::io_context& io_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  micadock::Dice dice_;
  asio::steady_timer timer_;
  double timer_due_ = 0;
  Mailbox mailbox_;  // for tasks from the engine's own thread, if it has one
  std::unique_ptr<shared::Engine> engine_;
  std::unique_ptr<NodeAgent> agent_;
};

}  // namespace

std::unique_ptr<FleetPort> MakeNode(asio::io_context& io, const Config& config, FleetEvents events) {
  return std::make_unique<Node>(io, config, std::move(events));
}

}  // namespace ivygw::fleet
