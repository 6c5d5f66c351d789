// Rees (the driver of a replicated table): one core's copy on its disk, joined to the other cores, and pushed to gateways
// down held connections as numbered changes whose acknowledgements are counted. What the table means is its owner's.
// One thread, that of the event loop.
#ifndef IVYGW_SYSTEM_REES_CORE_NODE_H_
#define IVYGW_SYSTEM_REES_CORE_NODE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "brewster/disk.h"
#include "heaphy/links.h"
#include "luxmore/replica.h"
#include "rakiura/settings.h"

namespace ivygw::rees {

using luxmore::Replica;

class CoreNode {
 public:
  struct Options {
    std::string role;        // the name of the table's owner, which peers must share
    int port = 0;            // internal; the same on every core machine
    // Whether gateways are shown what is safe only, or all that this copy holds.
    bool show_safe_only = true;
    std::string shown_prefix;  // of the keys that gateways are shown; empty: all
  };
  struct Follower {
    std::string node, zone;
    uint64_t boot = 0;
    uint64_t pushed = 0, acknowledged = 0;  // numbers of changes
    uint64_t part = 0;                      // of its list, the number of the part that is out
    bool listed = false;                    // has been given all that it lacked
    bool asked = false, listing = false;    // it has told what it has; a list is under way
    std::vector<bool> ranges;               // of which it is listed
    std::string cursor;                     // the last key that has been listed
  };
  struct Events {
    std::function<void(const std::vector<std::string>& keys)> applied = [](const auto&) {};
    std::function<void(uint64_t peer, const Follower&)> follower_up = [](uint64_t, const auto&) {};
    std::function<void(uint64_t peer, const Follower&)> follower_down = [](uint64_t, const auto&) {};
    // What isn't the table's own: of gateways, of the other process of this machine, of other cores.
    std::function<void(uint64_t peer, heaphy::Message)> message = [](uint64_t, heaphy::Message) {};
    std::function<void(const std::string& core, heaphy::Message)> core_message = [](const std::string&, heaphy::Message) {};
    std::function<void()> tick = [] {};  // some ten times a second
  };
  // Throws std::runtime_error where the disk can't be read, boost::system::system_error where nothing can be listened on.
  CoreNode(asio::io_context& io, const rakiura::Settings& settings, Options options, Events events);

  using Outcome = std::function<void(Replica::Outcome)>;
  void Write(const std::vector<luxmore::Item>& items, Outcome then);
  void Fresh(Outcome then);
  void Forget(const std::string& key);  // a tombstone that nobody will ask for again
  const Replica& replica() const { return *replica_; }
  const std::map<uint64_t, Follower>& followers() const { return followers_; }
  void Send(uint64_t peer, const heaphy::Message& message) { host_.Send(peer, message); }
  void SendCores(const heaphy::Message& message);
  void Tell(std::vector<heaphy::Member> gateways) { gateways_ = std::move(gateways); }  // the members, as gateways are told
  double Now() const;

 private:
  void Run(Replica::Effects effects);
  void Dial(const std::string& core);
  heaphy::Hello Greeting() const;
  void News(const std::vector<std::string>& keys);  // to be pushed, with what else comes in kGather
  void PushNews();
  // Begins a list, or goes on with it: one part after each acknowledgement, so that none piles up here.
  void List(uint64_t peer, Follower* follower);
  const std::vector<uint64_t>& ShownSums();
  void TellState();
  heaphy::State StateNow() const;
  void Tick();
  void Figures() const;
  std::optional<luxmore::Item> Shown(const std::string& key) const;

  asio::io_context& io_;
  const rakiura::Settings settings_;
  const Options options_;
  Events events_;
  std::unique_ptr<brewster::Disk> disk_;
  std::unique_ptr<Replica> replica_;
  heaphy::Host host_;
  std::map<std::string, std::unique_ptr<heaphy::Dialer>> dialers_;
  std::map<uint64_t, std::string> cores_in_;  // connections that other cores have dialled
  std::map<uint64_t, Follower> followers_;
  std::map<uint64_t, Outcome> waiting_;
  std::deque<Replica::Effects> effects_;
  bool running_ = false;
  uint64_t last_ticket_ = 0, boot_ = 0, ticks_ = 0;
  std::vector<heaphy::Member> gateways_;
  std::set<std::string> news_;
  uint64_t pushed_ = 0;  // the number of the last change pushed
  asio::steady_timer gather_;
  heaphy::State told_;
  std::vector<uint64_t> shown_sums_;  // empty: to be added up anew

  asio::steady_timer timer_;
};

}  // namespace ivygw::rees

#endif  // IVYGW_SYSTEM_REES_CORE_NODE_H_
