// Adapter: hosts one Balancer for each instance on the bench's wire (standard input and output).
#include <cstdio>
#include <cstring>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "policy/balance.h"
#include "simwire/wire.h"

namespace micadock {
namespace {

// False at a clean end of input; throws when it ends inside a frame.
bool ReadFrame(std::FILE* in, std::string* frame) {
  frame->resize(4);
  size_t got = std::fread(frame->data(), 1, 4, in);
  if (got == 0) return false;
  if (got < 4) throw WireError("input ends inside a frame length");
  uint32_t size;
  std::memcpy(&size, frame->data(), sizeof(size));
  if (size < 16) throw WireError("frame length " + std::to_string(size) + " is below its header");
  if (size > kMaxFrameBytes) throw WireError("frame length " + std::to_string(size) + " is too large");
  frame->resize(size);
  if (std::fread(frame->data() + 4, 1, size - 4, in) != size - 4)
    throw WireError("input ends inside a frame");
  return true;
}

class Host {
 public:
  void Run(std::FILE* in, std::FILE* out) {
    std::string frame;
    while (ReadFrame(in, &frame)) {
      WireBatch batch = ParseBatch(frame);
      reply_.Reset();
      for (WireEvent& event : batch.events) Handle(batch.now, &event);
      const std::string& bytes = reply_.Finish();
      if (std::fwrite(bytes.data(), 1, bytes.size(), out) != bytes.size() || std::fflush(out) != 0) {
        throw WireError("cannot write the reply");
      }
    }
  }

 private:
  void Handle(double now, WireEvent* event) {
    if (auto* table = std::get_if<WireTable>(&event->body)) {
      tables_[table->bank] = std::move(table->entries);
      return;
    }
    const std::vector<Backend>* entries = &no_entries_;
    if (auto* view = std::get_if<WireView>(&event->body);
        view != nullptr && view->kind != ListKind::kFailed) {
      if (view->bank > 15 || !tables_[view->bank].has_value()) {
        throw WireError("view names table " + std::to_string(view->bank) + ", which was never sent");
      }
      entries = &*tables_[view->bank];
    }
    actions_.clear();
    try {
      Deliver(now, event, *entries);
    } catch (const WireError&) {
      throw;
    } catch (const std::exception& error) {
      reply_.AppendBroken(event->instance, error.what());
      return;
    }
    for (const Action& action : actions_) reply_.Append(event->instance, action);
  }

  void Deliver(double now, WireEvent* event, const std::vector<Backend>& entries) {
    if (auto* up = std::get_if<WireUp>(&event->body)) {
      instances_[event->instance] =
          std::make_unique<Balancer>(ParseSettings(up->settings), up->seed, now, &actions_);
      return;
    }
    if (std::holds_alternative<WireExit>(event->body)) {
      instances_.erase(event->instance);
      return;
    }
    auto found = instances_.find(event->instance);
    if (found == instances_.end()) return;  // what belongs to an earlier life is passed over
    Balancer& balancer = *found->second;
    if (auto* view = std::get_if<WireView>(&event->body)) {
      balancer.OnList(now, view->kind, entries, &actions_);
    } else if (auto* request = std::get_if<Request>(&event->body)) {
      balancer.OnRequest(now, *request, &actions_);
    } else if (auto* outcome = std::get_if<Outcome>(&event->body)) {
      balancer.OnOutcome(now, *outcome, &actions_);
    } else if (auto* begun = std::get_if<WireBegun>(&event->body)) {
      balancer.OnStreamBegun(now, begun->request, &actions_);
    } else if (auto* gone = std::get_if<WireAbandoned>(&event->body)) {
      balancer.OnAbandoned(now, gone->request, &actions_);
    } else if (auto* tick = std::get_if<WireTick>(&event->body)) {
      balancer.OnTimer(now, tick->tag, &actions_);
    } else if (auto* count = std::get_if<CountAnswer>(&event->body)) {
      balancer.OnCount(now, *count, &actions_);
    }
  }

  std::array<std::optional<std::vector<Backend>>, 16> tables_;
  const std::vector<Backend> no_entries_ = {};
  std::map<uint32_t, std::unique_ptr<Balancer>> instances_;
  Actions actions_;
  ReplyWriter reply_;
};

}  // namespace
}  // namespace micadock

int main() {
  try {
    micadock::Host host;
    host.Run(stdin, stdout);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "micadock_simhost: %s\n", error.what());
    return 1;
  }
  return 0;
}
