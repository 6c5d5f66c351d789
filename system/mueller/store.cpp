#include "mueller/store.h"

#include "kepler/json.h"
#include "kepler/model.h"
#include "rakiura/log.h"

namespace ivygw::mueller {

using luxmore::Replica;
using kepler::ErrorBody;
using rakiura::Log;

Store::Store(asio::io_context& io, const rakiura::Settings& settings)
    : node_(io, settings, {"mueller", settings.first_port + 1, true, ""}, [this] {
        rees::CoreNode::Events events;
        events.applied = [this](const std::vector<std::string>& keys) {
          for (const std::string& key : keys) index_.Fold(node_.replica().entries().at(key).item);
        };
        events.message = [this](uint64_t peer, heaphy::Message message) {
          const auto* call = std::get_if<heaphy::Call>(&message);
          if (!call) return;
          Take(*call, [this, peer, number = call->number](uint32_t status, std::string body) {
            node_.Send(peer, heaphy::CallDone{number, status, std::move(body)});
          });
        };
        return events;
      }()) {
  for (const auto& [key, entry] : node_.replica().entries()) index_.Fold(entry.item);
}

void Store::Take(const heaphy::Call& call, Answer answer) {
  if (call.name == "configuration.modify") return Modify(call.body, std::move(answer));
  if (call.name == "configuration.show") return Show(std::move(answer));
  answer(404, ErrorBody("call: " + call.name + " is not known"));
}

void Store::Modify(const std::string& body, Answer answer) {
  auto change = std::make_shared<kepler::Change>();
  if (kepler::Fault fault = kepler::ReadChange(body, change.get()); !fault.empty()) {
    Log("change_refused").Add("fault", fault);
    return answer(400, ErrorBody(fault));
  }
  // What stands is read from a majority before anything is refused or taken: a refusal must be true everywhere.
  node_.Fresh([this, change, answer = std::move(answer)](Replica::Outcome outcome) {
    if (outcome != Replica::Outcome::kDone) return answer(503, ErrorBody("no majority of the core in touch"));
    if (kepler::Fault fault = kepler::CheckChange(*change, index_); !fault.empty()) {
      Log("change_refused").Add("fault", fault);
      return answer(400, ErrorBody(fault));
    }
    size_t items = change->items.size();
    std::string first = items == 0 ? "" : change->items.front().key;
    uint64_t version = items == 0 ? 0 : change->items.front().version;
    node_.Write(change->items, [answer, items, first, version](Replica::Outcome written) {
      bool safe = written == Replica::Outcome::kDone;
      Log(safe ? "change_safe" : "change_unclear").Add("items", items).Add("first", first).Add("version", version);
      if (safe) return answer(200, "{}");
      answer(503, ErrorBody("may have been taken: not yet on a majority of the core's disks"));
    });
  });
}

void Store::Show(Answer answer) {
  node_.Fresh([this, answer = std::move(answer)](Replica::Outcome outcome) {
    if (outcome != Replica::Outcome::kDone) return answer(503, ErrorBody("no majority of the core in touch"));
    std::vector<heaphy::Item> items;
    for (const auto& [key, entry] : node_.replica().entries()) items.push_back(entry.item);
    if (items.empty()) return answer(503, ErrorBody("there is no configuration yet"));
    answer(200, kepler::WriteAll(items));
  });
}

}  // namespace ivygw::mueller
