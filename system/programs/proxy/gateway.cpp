#include "proxy/gateway.h"

#include <algorithm>
#include <random>

#include "net/address.h"
#include "process/log.h"

namespace ivygw::proxy {

using discovery::ItemChange;
using discovery::Table;
using process::Log;

namespace {

constexpr double kTick = 0.05;  // s
// Half of the memory is for what clients and backends send; the other half for the program, its tables, and
// what sockets hold.
constexpr int kMemoryParts = 2;
constexpr uint64_t kReportInterval = 5, kFiguresInterval = 100;  // ticks

uint64_t Seed() {
  std::random_device source;
  return source();
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const process::Settings& settings, std::function<void()> ended)
    : io_(io),
      settings_(settings),
      ended_(std::move(ended)),
      memory_(process::PartOfMemory(settings, kMemoryParts)),
      configuration_(Table::kConfiguration, &journal_),
      backends_(Table::kBackends, &journal_),
      admission_({0.1, settings.quota_slack, settings.quota_window_s, 30}),
      pool_(Seed(), settings.zone),
      budget_(settings.retry_ratio, settings.retry_window_s, settings.retry_slack),
      drain_(drain::DrainSchedule::ForGrace(settings.grace_s)),
      exchanges_(io, &memory_, &routes_, &admission_, &pool_, &budget_, &drain_),
      timer_(io) {
  journal_.Attach([this](const ItemChange& event) {
    if (event.table != Table::kConfiguration) return;
    if (config_model::Fault fault = routes_.ApplyItem(event.item); !fault.empty()) {
      Log("item_unreadable").Add("key", event.item.key).Add("fault", fault);
    }
  });
  journal_.Attach([this](const ItemChange& event) {
    if (event.table == Table::kBackends) pool_.ApplyItem(event.at, event.item);
  });
  front_ = std::make_unique<ClientServer>(
      io, process::MaxClients(settings), &memory_,
      ClientServer::Events{
          [this](uint64_t client, ClientMessage message) {
            exchanges_.OnRequest(client, std::move(message));
            if (!admission_.needs_tokens() || token_request_scheduled_) return;
            token_request_scheduled_ = true;
            asio::post(io_, [this] {
              token_request_scheduled_ = false;
              RequestTokens();
            });
          },
          [this](uint64_t client, bool answer_pending) { exchanges_.OnClientClosed(client, answer_pending); },
          [this](uint64_t client, std::string bytes, bool last) {
            exchanges_.OnClientBody(client, std::move(bytes), last);
          },
          [this](uint64_t client) { exchanges_.OnClientDrained(client); }});
  exchanges_.Serve(front_.get());
  readiness_ = std::make_unique<ClientServer>(
      io, 64, &memory_,
      ClientServer::Events{[this](uint64_t client, const ClientMessage& message) {
                             Answer answer;
                             bool known = View(message.head.target()) == "/ivygw/readiness";
                             answer.status = !known ? 404 : ready() ? 200 : 503;
                             readiness_->Reply(client, answer);
                           },
                           [](uint64_t, bool) {}});
  control_client::CoreConnections::Events events;
  events.push = [this](Table table, const std::string&, const messages::Push& push) {
    (table == Table::kBackends ? backends_ : configuration_).OnPush(Now(), push);
    OnUpdate();
  };
  events.state = [this](Table table, const std::string&, const messages::CoreStatus& state) {
    (table == Table::kBackends ? backends_ : configuration_).OnStatus(Now(), state);
    if (table == Table::kBackends) {
      admission_.SetGatewayCount(std::max<size_t>(1, state.gateway_count));
      budget_.SetGatewayCount(std::max<size_t>(1, state.gateway_count));
      pool_.SetGateways(state.gateways, settings_.ip);
      if (cores_) admission_.SetAllocatorCount(cores_->Allocators().size());
    }
    OnUpdate();
  };
  events.digests = [this](Table table) {
    return (table == Table::kBackends ? backends_ : configuration_).digests();
  };
  events.grants = [this](const std::string& core, const messages::QuotaGrants& grants) {
    admission_.OnGrants(Now(), core, grants);
    exchanges_.OnGrants();
    if (admission_.needs_tokens()) RequestTokens();
  };
  events.registry = [this](const std::string& core, bool up) {
    admission_.SetAllocatorCount(cores_->Allocators().size());
    if (up) ReportTo(core, true, false);
  };
  cores_ = std::make_unique<control_client::CoreConnections>(io, settings, std::move(events));
  readiness_->Listen(ParseAddress("listen_addresses.readiness", settings.readiness));
  front_->Listen(ParseAddress("listen_addresses.front_http", settings.front_http));
  Log("started").Add("zone", settings.zone);
  Tick();
}

double Gateway::Now() const { return std::chrono::duration<double>(Clock::now().time_since_epoch()).count(); }

void Gateway::OnUpdate() {
  journal_.Run();
  if (open_ || !configuration_.complete() || !backends_.complete() || !routes_.has_routes()) return;
  open_ = true;
  exchanges_.Open(true);
  Log("ready").Add("epoch", configuration_.epoch());
}

void Gateway::ReportTo(const std::string& core, bool all, bool draw) {
  size_t allocators = std::max<size_t>(1, cores_->Allocators().size());
  messages::UsageReport report = admission_.BuildReport(Now(), core, allocators, all, draw);
  if (all || !report.tenants.empty()) cores_->Send(core, report);
}

void Gateway::RequestTokens() {
  std::vector<std::string> cores = cores_->Allocators();
  if (!cores.empty()) ReportTo(cores[token_requests_++ % cores.size()], false, true);
}

void Gateway::Tick() {
  ++ticks_;
  admission_.OnTime(Now());
  if (ticks_ % kReportInterval == 0) {
    std::vector<std::string> cores = cores_->Allocators();
    size_t from = token_requests_++;
    for (size_t i = 0; i < cores.size(); ++i) ReportTo(cores[i], true, i == from % cores.size());
  } else if (admission_.needs_tokens()) {
    RequestTokens();
  }
  if (ticks_ % 10 == 0) exchanges_.Sweep();
  if (ticks_ % 20 == 0) {
    cores_->OnTime();
    backends_.OnTime(Now());
    OnUpdate();
  }
  if (ticks_ % kFiguresInterval == 0) {
    Figures f = exchanges_.figures();
    auto a = admission_.counters();
    Log("figures")
        .Add("requests", f.requests)
        .Add("served", f.served)
        .Add("refused", f.refused)
        .Add("limited", f.limited)
        .Add("by_bucket", a.rejected_by_bucket)
        .Add("by_isolation", a.rejected_by_isolation)
        .Add("by_counter", a.rejected_by_counter)
        .Add("failed", f.failed)
        .Add("late", f.late)
        .Add("tries", f.tries)
        .Add("not_sent", f.not_sent)
        .Add("full", f.full)
        .Add("unknown", f.unknown)
        .Add("broken", f.broken)
        .Add("connections", f.connections)
        .Add("denied", f.denied)
        .Add("ended", f.ended)
        .Add("held", exchanges_.active_requests())
        .Add("no_memory", f.no_memory + front_->memory_refusals())
        .Add("memory_mb", memory_.used() >> 20)
        .Add("provisional", backends_.provisional_items())
        .Add("overruled", backends_.overruled_items());
  }
  if (DrainOnTime()) return ended_();
  timer_.expires_after(Seconds(kTick));
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) Tick();
  });
}

// Whether the process is to end.
bool Gateway::DrainOnTime() {
  using drain::DrainPhase;
  bool requests_active = exchanges_.active_requests() > 0 || front_->busy() > 0;
  DrainPhase phase = drain_.PhaseAt(Now(), requests_active, !front_->Quiet());
  if (phase >= DrainPhase::kClosing) front_->CloseIdle();
  if (phase >= DrainPhase::kRefusing) exchanges_.RefuseIncomplete();
  return phase == DrainPhase::kEnded;
}

void Gateway::Stop() {
  if (!drain_.Begin(Now())) return;
  front_->AskToClose(true);
  Log("stopping").Add("held", exchanges_.active_requests());
}

}  // namespace ivygw::proxy
