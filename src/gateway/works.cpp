// The gateway's side of works that outlive it: what is handed to the fleet's ledger before the core has it,
// and what comes back. Decides nothing.
#include <utility>

#include "core/limits.h"
#include "gateway/gateway.h"

namespace ivygw {

void Gateway::StartFleet(const MakeFleet& make) {
  if (!config_.fleet) return;
  if (!make) throw micadock::WireError("fleet: this program was built without it (-DIVYGW_FLEET=ON)");
  FleetEvents events;
  events.admit = [this](const FleetEvents::Admission& a) { OnAdmitted(a); };
  events.tell = [this](uint64_t client, int status, double retry_after_s, const std::string& type,
                       const std::string& body,
                       const char* why) { OnTold(client, status, retry_after_s, type, body, why); };
  events.intent = [this](uint32_t request, int attempt, bool ok) {
    driver_->Dispatch(core::IntentResolved{request, attempt, ok});
  };
  events.withdraw = [this](uint64_t client) { driver_->Dispatch(core::RequestWithdrawn{client}); };
  events.unrecorded = [this](uint64_t client) { notes_[client] = "without-record"; };
  events.release = [this](uint64_t client) {
    auto it = held_answers_.find(client);
    if (it == held_answers_.end()) return;
    Answer answer = std::move(it->second);
    held_answers_.erase(it);
    server_.Reply(client, answer);
  };
  events.fleet = [this](int gateways, bool counted) {
    driver_->Dispatch(core::FleetSizeChanged{gateways, counted});
  };
  events.share = [this](uint64_t customer, double share, double seconds) {
    driver_->Dispatch(core::QuotaShareGranted{customer, share, seconds});
  };
  fleet_ = make(io_, config_, std::move(events));
}

// One whose body is not held whole could not be sent again, and goes without.
bool Gateway::IsWork(const ClientMessage& message) const {
  if (!fleet_ || !config_.fleet->ledger.enabled || message.more) return false;
  auto field = message.head.find(config_.fleet->ledger.key_header);
  return field != message.head.end() && !field->value().empty();
}

// A request with a client's key is read up first: `held` is then the ledger's to hand back.
bool Gateway::TakeWork(uint64_t client, const ClientMessage& message, const ClientCall& call,
                       const core::RequestArrived& arrival, Message* held) {
  if (!IsWork(message)) return false;
  KeyedCall work;
  work.client = client;
  work.customer = call.request.customer;
  work.cls = call.request.cls;
  work.key = std::string(View(message.head[config_.fleet->ledger.key_header]));
  work.message = std::string(OriginForm(View(message.head.target()))) + "\n" + held->body;
  work.timeout_s = call.timeout_s - ResponseMargin(call.timeout_s);
  taken_[client] = {arrival, std::move(*held), call.timeout_s};
  fleet_->Take(work);
  return true;
}

void Gateway::OnAdmitted(const FleetEvents::Admission& admission) {
  auto it = taken_.find(admission.client);
  if (it == taken_.end()) return;
  Taken taken = std::move(it->second);
  taken_.erase(it);
  core::RequestArrived& arrival = taken.arrival;
  if (driver_->core().IsOpen(arrival.id)) {  // another came with its id meanwhile
    fleet_->Answered(admission.client, 400, "", "");
    Answer answer;
    answer.status = 400;
    return server_.Reply(admission.client, answer);
  }
  arrival.timeout_s = admission.left_s + ResponseMargin(taken.timeout_s);
  arrival.recorded = admission.recorded;
  arrival.resumed = admission.resumed;
  arrival.may_have_run = admission.may_have_run;
  arrival.ran_age_s = admission.ran_age_s;
  arrival.ran_zone = admission.ran_zone;
  arrival.ran_cell = admission.ran_cell;
  if (!admission.recorded) notes_[admission.client] = "without-record";
  coming_[admission.client] = std::move(taken.message);
  driver_->Dispatch(std::move(arrival));
}

void Gateway::OnTold(uint64_t client, int status, double retry_after_s, const std::string& type,
                     const std::string& body, const char* why) {
  taken_.erase(client);
  held_answers_.erase(client);
  notes_.erase(client);
  Answer answer;
  answer.status = status;
  answer.retry_after_s = retry_after_s;
  if (!type.empty()) answer.headers = "Content-Type: " + type + "\r\n";
  answer.headers += std::string("Work: ") + why + "\r\n";
  answer.body = body;
  server_.Reply(client, answer);
}

// The core's final answer, at once unless the ledger has to be asked first.
void Gateway::Send(uint64_t client, Answer answer) {
  if (auto note = notes_.find(client); note != notes_.end()) {
    answer.headers += std::string("Work: ") + note->second + "\r\n";
    notes_.erase(note);
  }
  if (!fleet_ || !config_.fleet->ledger.enabled) return server_.Reply(client, answer);
  std::string type;
  constexpr std::string_view kType = "content-type: ";
  for (size_t at = 0; at < answer.headers.size();) {
    size_t end = std::min(answer.headers.find("\r\n", at), answer.headers.size());
    std::string_view line = std::string_view(answer.headers).substr(at, end - at);
    if (line.size() > kType.size() &&
        boost::beast::iequals({line.data(), kType.size()}, {kType.data(), kType.size()}))
      type = line.substr(kType.size());
    at = end + 2;
  }
  if (fleet_->Answered(client, answer.status, type, answer.body)) return server_.Reply(client, answer);
  held_answers_[client] = std::move(answer);
}

}  // namespace ivygw
