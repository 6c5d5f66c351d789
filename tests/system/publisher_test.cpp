// What a core tells the gateways that follow its table: lists with proof, and every change besides. The table
// is a real replica, that of a core of one; reads and contact are told by the test.
#include "replicated_table/publisher.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "messages/codec.h"
#include "registry/backend_records.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using messages::Item;

namespace {

replication::LoadedState CoreOfOne() {
  replication::LoadedState loaded;
  loaded.state.store_id = 1;
  loaded.state.membership = {1, {{"10.0.0.1", 1, ""}}};
  return loaded;
}

struct World {
  World() {
    replicated_table::Publisher::Events events;
    events.send = [this](uint64_t peer, const messages::Message& message) { Told(peer, message); };
    events.send_frame = [this](uint64_t peer, const std::string& frame) {
      Told(peer, *messages::Decode(frame.substr(4)));
    };
    events.read = [this](std::function<void(bool)> then) { reads.push_back(std::move(then)); };
    events.has_quorum_contact = [this] { return has_quorum_contact; };
    publisher = std::make_unique<replicated_table::Publisher>(io, replica, "", std::move(events));
    Run([&](replication::Effects* out) { replica.OnTime(now, out); });
  }
  void Run(const std::function<void(replication::Effects*)>& act) {
    replication::Effects effects;
    act(&effects);
    while (true) {
      if (publisher && (!effects.changed.empty() || effects.reset))
        publisher->OnChanged(effects.changed, effects.reset);
      std::vector<replication::StoreBatch> stores = std::move(effects.stores);
      effects = {};
      if (stores.empty()) return;
      for (const replication::StoreBatch& batch : stores) replica.OnStored(now, batch.number, &effects);
    }
  }
  void Decide(std::vector<Item> command) {
    uint64_t before = replica.revision();
    Run([&](replication::Effects* out) { replica.Write(now, ++ticket, std::move(command), out); });
    for (int i = 0; i < 20 && replica.revision() == before; ++i) {
      now += Duration(0.05);
      Run([&](replication::Effects* out) { replica.OnTime(now, out); });
    }
    CHECK(replica.revision() > before);
  }
  void Gather() {  // past the time for which news are gathered
    io.restart();
    io.run_for(std::chrono::milliseconds(20));
  }
  void Follow(uint64_t peer) { publisher->OnSubscriberUp(peer, messages::Hello()); }
  void AskAll(uint64_t peer) {
    publisher->OnRangeDigests(peer, {std::vector<uint64_t>(messages::kListRanges, 0)});
  }
  void EndRead(bool fresh) {
    auto then = std::move(reads.front());
    reads.erase(reads.begin());
    then(fresh);
  }
  void Told(uint64_t peer, const messages::Message& message) {
    if (const auto* push = std::get_if<messages::Push>(&message)) {
      if (push->list_part) parts[peer] = push->number;
      bool provisional = push->number == messages::kProvisionalPush;
      for (const Item& item : push->items) (provisional ? undecided : items)[peer][item.key] = item;
      for (const std::string& key : push->removed_keys) ended[peer].push_back(key);
    }
    if (const auto* state = std::get_if<messages::CoreStatus>(&message)) states[peer].push_back(*state);
  }
  bool Listed(uint64_t peer) const {
    auto it = states.find(peer);
    return it != states.end() && it->second.back().list_complete;
  }

  asio::io_context io{1};
  TimePoint now = TimePointOf(1);
  uint64_t ticket = 0;
  bool has_quorum_contact = true;
  registry::RegistryPolicy policy;
  replication::Replica replica{{"10.0.0.1", "", 5}, CoreOfOne(), &policy};
  std::unique_ptr<replicated_table::Publisher> publisher;
  std::vector<std::function<void(bool)>> reads;
  std::map<uint64_t, std::map<std::string, Item>> items, undecided;
  std::map<uint64_t, std::vector<std::string>> ended;
  std::map<uint64_t, uint64_t> parts;
  std::map<uint64_t, std::vector<messages::CoreStatus>> states;
};

}  // namespace

TEST_GROUP(Publishing){};

TEST(Publishing, AListWaitsForAReadThatIsLaterThanItsQuestion) {
  World world;
  world.Decide({{"a", 1, false, "x"}});
  world.Follow(1);
  world.Follow(2);
  world.AskAll(1);
  CHECK_EQUAL(1u, world.reads.size());
  world.AskAll(2);
  CHECK_EQUAL(1u, world.reads.size());  // the one under way is too old for the second
  CHECK(!world.Listed(1));
  world.EndRead(true);
  CHECK(world.Listed(1));
  CHECK(!world.Listed(2));
  world.EndRead(false);
  CHECK(!world.Listed(2));
  world.publisher->OnTime();
  world.EndRead(true);
  CHECK(world.Listed(2));
  CHECK_EQUAL(1u, world.items[2]["a"].version);
}

TEST(Publishing, OutOfContactThereIsNoListAndTheGatewayIsToldSo) {
  World world;
  world.Decide({{"a", 1, false, "x"}});
  world.Follow(1);
  world.has_quorum_contact = false;
  world.AskAll(1);
  CHECK_EQUAL(1u, world.states[1].size());
  CHECK(!world.Listed(1));
  CHECK(world.reads.empty());
  world.has_quorum_contact = true;
  world.publisher->OnTime();
  world.has_quorum_contact = false;
  world.EndRead(true);
  CHECK(!world.Listed(1));
  world.has_quorum_contact = true;
  world.publisher->OnTime();
  if (!world.reads.empty()) world.EndRead(true);
  CHECK(world.Listed(1));
}

TEST(Publishing, WhatChangesDuringAListIsToldWhereverItStands) {
  World world;
  std::vector<Item> items;
  for (int i = 0; i < 40; ++i)
    items.push_back({"k" + std::to_string(10 + i), 1, false, std::string(20000, 'x')});
  world.Decide(items);
  world.Follow(1);
  // The gateway has the last key's range already.
  std::vector<uint64_t> known_digests(messages::kListRanges, 0);
  size_t same = messages::RangeOf("k49", messages::kListRanges);
  for (const Item& item : items) {
    if (messages::RangeOf(item.key, messages::kListRanges) == same)
      known_digests[same] ^= messages::DigestOf(item);
  }
  world.publisher->OnRangeDigests(1, {known_digests});
  world.EndRead(true);
  CHECK(!world.Listed(1));  // the first part waits for its acknowledgement
  CHECK(world.items[1].count("k49") == 0);
  world.publisher->PushProvisional({"k49", 3, false, "undecided"});
  world.Gather();
  CHECK_EQUAL(3u, world.undecided[1]["k49"].version);
  world.Decide({{"k10", 2, false, "behind the cursor"},
                {"k48", 2, false, "before it"},
                {"k49", 2, false, "not to be listed"}});
  for (int i = 0; i < 20 && !world.Listed(1); ++i) world.publisher->OnPushAck(1, {world.parts[1]});
  CHECK(world.Listed(1));
  for (const char* key : {"k10", "k48", "k49"}) CHECK_EQUAL(2u, world.items[1][key].version);
  CHECK(world.states[1].back().list_revision < world.replica.revision());
}

TEST(Publishing, WhatIsNotDecidedIsToldToThoseListedAndNotKept) {
  World world;
  world.Decide({{"a", 1, false, "x"}});
  world.Follow(1);
  world.Follow(2);
  world.AskAll(1);
  world.EndRead(true);
  world.publisher->PushProvisional({"a", 2, false, "y"});
  world.Gather();
  CHECK_EQUAL(2u, world.undecided[1]["a"].version);
  CHECK_EQUAL(1u, world.items[1]["a"].version);
  CHECK(world.undecided[2].empty());
  CHECK(world.items[2].empty());
  world.AskAll(2);
  world.EndRead(true);
  CHECK_EQUAL(1u, world.items[2]["a"].version);
}

TEST(Publishing, AnEndedTombstoneIsNoDifferenceAndIsTold) {
  World world;
  world.Decide({{"a", 1, false, "x"}, {"b", 1, false, "x"}});
  world.Follow(1);
  world.AskAll(1);
  world.EndRead(true);
  world.Decide({{"a", 2, true, ""}});
  std::vector<uint64_t> known_digests(messages::kListRanges, 0);
  known_digests[messages::RangeOf("b", messages::kListRanges)] = messages::DigestOf({"b", 1, false, "x"});
  world.Follow(2);
  world.publisher->OnRangeDigests(2, {known_digests});
  world.EndRead(true);
  CHECK(world.states[2].back().listed_ranges.empty());
  uint64_t before = world.replica.revision();
  world.Run([&](replication::Effects* out) { world.replica.Prune(world.now, {{"a", 2, true, ""}}, out); });
  CHECK(world.replica.revision() > before);
  world.Gather();
  CHECK_EQUAL(1u, world.ended[1].size());
}
