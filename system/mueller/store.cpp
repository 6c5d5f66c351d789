#include "mueller/store.h"

#include <memory>
#include <utility>

#include "kepler/json.h"
#include "kepler/model.h"
#include "rakiura/log.h"

namespace ivygw::mueller {

using kepler::ErrorBody;
using rakiura::Log;
using replication::Outcome;
using replication::Refusal;
using replication::RefusalCode;

namespace {

constexpr char kOutOfContact[] = "not taken: this core is out of contact with a majority of the core";
constexpr char kNotTaken[] = "not taken: a majority of the core did not answer in time, or decided otherwise";
constexpr char kUnclear[] = "may have been taken: a majority of the core has not confirmed it in time";

uint32_t StatusOf(const Refusal& refusal) { return refusal.code == RefusalCode::kConflict ? 409 : 400; }
std::string TextOf(const Refusal& refusal) {
  return refusal.field.empty() ? refusal.message : refusal.field + ": " + refusal.message;
}

}  // namespace

Store::Store(asio::io_context& io, const rakiura::Settings& settings)
    : node_(io, settings, {"mueller", settings.first_port + 1, ""}, &policy_, [this] {
        rees::CoreNode::Events events;
        events.message = [this](uint64_t peer, heaphy::Message message) {
          const auto* call = std::get_if<heaphy::Call>(&message);
          if (!call) return;
          Take(*call, [this, peer, number = call->number](uint32_t status, std::string body) {
            node_.Send(peer, heaphy::CallDone{number, status, std::move(body)});
          });
        };
        return events;
      }()) {}

void Store::Take(const heaphy::Call& call, Answer answer) {
  if (call.name == "configuration.modify") return Modify(call.body, std::move(answer));
  if (call.name == "configuration.show") return Show(std::move(answer));
  answer(404, ErrorBody("call: " + call.name + " is not known"));
}

void Store::Modify(const std::string& body, Answer answer) {
  kepler::Change change;
  if (kepler::Fault fault = kepler::ReadChange(body, &change); !fault.empty()) {
    Log("change_refused").Add("fault", fault);
    return answer(400, ErrorBody(fault));
  }
  if (!node_.InContact()) return answer(503, ErrorBody(kOutOfContact));
  size_t items = change.items.size();
  std::string first = items == 0 ? "" : change.items.front().key;
  uint64_t version = items == 0 ? 0 : change.items.front().version;
  node_.Write(std::move(change.items), [=, answer = std::move(answer)](const replication::Ended& ended) {
    if (ended.outcome == Outcome::kRefused) {
      Log("change_refused").Add("fault", TextOf(ended.refusal));
      return answer(StatusOf(ended.refusal), ErrorBody(TextOf(ended.refusal)));
    }
    bool done = ended.outcome == Outcome::kDone;
    bool unclear = ended.outcome == Outcome::kUnclear;
    const char* event = done ? "change_decided" : unclear ? "change_unclear" : "change_not_taken";
    Log(event).Add("items", items).Add("first", first).Add("version", version);
    if (done) return answer(200, "{}");
    answer(503, ErrorBody(unclear ? kUnclear : kNotTaken));
  });
}

void Store::Show(Answer answer) {
  if (!node_.InContact()) return answer(503, ErrorBody(kOutOfContact));
  node_.Read([this, answer = std::move(answer)](const replication::Ended& ended) {
    if (ended.outcome != Outcome::kDone)
      return answer(503, ErrorBody("a majority of the core did not answer in time"));
    std::vector<heaphy::Item> items;
    for (const auto& [key, record] : node_.replica().table().records()) items.push_back(record.item);
    if (items.empty()) return answer(503, ErrorBody("there is no configuration yet"));
    answer(200, kepler::WriteAll(items));
  });
}

}  // namespace ivygw::mueller
