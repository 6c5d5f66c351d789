#include "config_store/store.h"

#include <memory>
#include <utility>

#include "config_model/json.h"
#include "config_model/model.h"
#include "process/log.h"

namespace ivygw::config_store {

using config_model::ErrorBody;
using process::Log;
using replication::Outcome;
using replication::Rejection;
using replication::RejectionCode;

namespace {

// After a SIGTERM: for calls that the registry has sent, and for all calls to be answered.
constexpr Duration kCallDelay{0.2}, kStopTimeout{1.5};

constexpr char kNoQuorumContact[] = "not taken: this core is out of contact with a majority of the core";
constexpr char kNotDone[] = "not taken: a majority of the core did not answer in time, or decided otherwise";
constexpr char kMaybeDone[] = "may have been taken: a majority of the core has not confirmed it in time";

uint32_t StatusOf(const Rejection& rejection) {
  return rejection.code == RejectionCode::kConflict ? 409 : 400;
}
std::string TextOf(const Rejection& rejection) {
  return rejection.field.empty() ? rejection.message : rejection.field + ": " + rejection.message;
}

}  // namespace

Store::Store(asio::io_context& io, const process::Settings& settings)
    : node_(io, settings, {"config_store", settings.first_port + 1, ""}, &policy_, NodeEvents()) {}

replicated_table::CoreNode::Events Store::NodeEvents() {
  replicated_table::CoreNode::Events events;
  events.message = [this](uint64_t peer, messages::Message message) {
    const auto* call = std::get_if<messages::ForwardedCall>(&message);
    if (!call) return;
    ++calls_in_hand_;
    Take(*call, [this, peer, number = call->number](uint32_t status, std::string body) {
      --calls_in_hand_;
      node_.Send(peer, messages::ForwardedCallResult{number, status, std::move(body)});
    });
  };
  events.tick = [this] { EndIfQuiet(); };
  return events;
}

void Store::Stop(std::function<void()> ended) {
  if (ended_) return;
  ended_ = std::move(ended);
  stopped_at_ = node_.Now();
}

void Store::EndIfQuiet() {
  if (!ended_) return;
  Duration stopping_for = node_.Now() - stopped_at_;
  bool quiet = calls_in_hand_ == 0 && stopping_for >= kCallDelay;
  if (quiet || stopping_for >= kStopTimeout) ended_();
}

void Store::Take(const messages::ForwardedCall& call, Answer answer) {
  if (call.name == "configuration.modify") return Modify(call.body, std::move(answer));
  if (call.name == "configuration.show") return Show(std::move(answer));
  answer(404, ErrorBody("call: " + call.name + " is not known"));
}

void Store::Modify(const std::string& body, Answer answer) {
  config_model::Change change;
  if (config_model::Fault fault = config_model::ReadChange(body, &change); !fault.empty()) {
    Log("change_refused").Add("fault", fault);
    return answer(400, ErrorBody(fault));
  }
  if (!node_.HasQuorumContact()) return answer(503, ErrorBody(kNoQuorumContact));
  size_t items = change.items.size();
  std::string first = items == 0 ? "" : change.items.front().key;
  uint64_t version = items == 0 ? 0 : change.items.front().version;
  node_.Write(std::move(change.items), [=, answer = std::move(answer)](const replication::Completion& ended) {
    if (ended.outcome == Outcome::kRejected) {
      Log("change_refused").Add("fault", TextOf(ended.rejection));
      return answer(StatusOf(ended.rejection), ErrorBody(TextOf(ended.rejection)));
    }
    bool done = ended.outcome == Outcome::kDone;
    bool unclear = ended.outcome == Outcome::kMaybeDone;
    const char* event = done ? "change_decided" : unclear ? "change_unclear" : "change_not_taken";
    Log(event).Add("items", items).Add("first", first).Add("version", version);
    if (done) return answer(200, "{}");
    answer(503, ErrorBody(unclear ? kMaybeDone : kNotDone));
  });
}

void Store::Show(Answer answer) {
  if (!node_.HasQuorumContact()) return answer(503, ErrorBody(kNoQuorumContact));
  node_.Read([this, answer = std::move(answer)](const replication::Completion& ended) {
    if (ended.outcome != Outcome::kDone)
      return answer(503, ErrorBody("a majority of the core did not answer in time"));
    std::vector<messages::Item> items;
    for (const auto& [key, record] : node_.replica().table().records()) items.push_back(record.item);
    if (items.empty()) return answer(503, ErrorBody("there is no configuration yet"));
    answer(200, config_model::WriteAll(items));
  });
}

}  // namespace ivygw::config_store
