// Tests of modules without I/O: configuration, routing, retry budget, load balancing, backend registry, and
// the codec with invalid input.
#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "config_model/model.h"
#include "config_store/configuration_policy.h"
#include "discovery/table_cache.h"
#include "load_balancing/pool.h"
#include "load_balancing/retry_budget.h"
#include "messages/codec.h"
#include "process/settings.h"
#include "registry/allocation_right.h"
#include "registry/backend_records.h"
#include "registry/heartbeat_tracker.h"
#include "replicated_table/known_cores.h"
#include "routing/routes.h"

#include <CppUTest/TestHarness.h>  // last, because it redefines operator new

using namespace ivygw;
using config_model::Change;
using load_balancing::AttemptResult;

namespace {

std::string Route(const std::string& name, const std::string& extra = "", const std::string& service = "s1",
                  const std::string& version = "00000007") {
  return R"({"name":")" + name +
         R"(","host_name":"h.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":900,"target_service":")" +
         service + R"(","max_attempts":2,"config_version":")" + version + "\"" + extra + "}";
}
std::string Call(const std::string& routes, const std::string& tenants = "",
                 const std::string& removed = "") {
  return R"({"upsert_items":{"route_table":[)" + routes + R"(],"tenant_table":[)" + tenants +
         R"(],"service_table":[{"name":"s1","health_path":"/h","config_version":"00000007"}]},"remove_items":{"route_table":[)" +
         removed + "]}}";
}
std::string Tenant(const std::string& name, const std::string& key) {
  return R"({"name":")" + name + R"(","api_keys":[")" + key +
         R"("],"rate_per_s":5,"burst_size":5,"config_version":"00000007"})";
}
std::string FaultOf(const std::string& json) {
  Change change;
  config_model::Fault fault = config_model::ReadChange(json, &change);
  return fault.empty() ? config_model::CheckChange(change, config_model::Index()) : fault;
}
void CheckContains(const std::string& text, const std::string& part) {
  if (text.find(part) == std::string::npos) FAIL(("'" + text + "' does not contain '" + part + "'").c_str());
}
messages::Item Backend(const std::string& id, const std::string& service, const std::string& zone,
                       uint64_t version = 1, bool draining = false) {
  discovery::Backend b;
  b.service = service;
  b.address = "10.0.0." + std::to_string(std::hash<std::string>()(id) % 200) + ":80";
  b.zone = zone;
  b.slot_count = 2;
  b.draining = draining;
  return {"backend/" + id, version, false, discovery::FormatBackend(b)};
}

}  // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, AValidCallIsParsedCompletely) {
  Change change;
  STRCMP_EQUAL(
      "", config_model::ReadChange(
              Call(Route("r1"), Tenant("t1", "k1"), R"({"name":"old","config_version":"0000000a"})"), &change)
              .c_str());
  CHECK_EQUAL(4u, change.items.size());
  CHECK(change.items.back().dropped || change.items.front().dropped || change.items[2].dropped ||
        change.items[1].dropped);
  for (const auto& item : change.items) {
    if (item.dropped) CHECK_EQUAL(10u, item.version);
  }
  STRCMP_EQUAL("", config_model::CheckChange(change, config_model::Index()).c_str());
}

TEST(Configuration, FaultsNameTheInvalidField) {
  struct Case {
    std::string json, field;
  };
  std::string good = Call(Route("r1"));
  for (
      const Case& c :
      {Case{good.substr(0, good.size() / 2), "JSON"}, Case{"[]", "object"}, Case{"{}", "upsert_items"},
       Case{Call(Route("r1", "", "nowhere")), "target_service"},
       Case{Call(Route("r1", R"(,"traffic_split":[{"target_service":"s1","weight":-1}])")), "weight"},
       Case{
           Call(
               R"({"name":"r","host_name":"","path_prefix":"/a/","route_type":"idempotent","timeout_ms":9,"target_service":"s1","config_version":"00000007"})"),
           "host_name"},
       Case{
           Call(
               R"({"name":"r","host_name":"h","path_prefix":"a/","route_type":"idempotent","timeout_ms":9,"target_service":"s1","config_version":"00000007"})"),
           "path_prefix"},
       Case{
           Call(
               R"({"name":"r","host_name":"h","path_prefix":"/a/","route_type":"idempotent","target_service":"s1","config_version":"00000007"})"),
           "timeout_ms"},
       Case{
           Call(
               R"({"name":"r","host_name":"h","path_prefix":"/a/","route_type":"x","timeout_ms":9,"target_service":"s1","config_version":"00000007"})"),
           "route_type"},
       Case{Call(Route("r1", "", "s1", "7")), "config_version"},
       Case{Call(Route("r1", "", "s1", "0000000g")), "config_version"},
       Case{Call(Route("r1"), Tenant("t1", "k") + "," + Tenant("t2", "k")), "api_keys"},
       Case{R"({"upsert_items":{"routes":[]}})", "routes"}}) {
    CheckContains(FaultOf(c.json), c.field);
  }
}

TEST(Configuration, AnApiKeyOfAnotherTenantIsRejectedUnlessMovedInTheSameCall) {
  Change first;
  config_model::ReadChange(Call("", Tenant("t1", "k1")), &first);
  config_model::Index committed;
  for (const auto& item : first.items) committed.ApplyItem(item);
  Change second;
  config_model::ReadChange(Call("", Tenant("t2", "k1")), &second);
  CheckContains(config_model::CheckChange(second, committed), "share a key");
  // Moved in one call: removed from one tenant and added to the other.
  Change moved;
  std::string empty = R"({"name":"t1","api_keys":["k9"],"config_version":"00000009"})";
  config_model::ReadChange(Call("", empty + "," + Tenant("t2", "k1")), &moved);
  STRCMP_EQUAL("", config_model::CheckChange(moved, committed).c_str());
}

TEST(Configuration, TheShownConfigurationCanBeSetAgain) {
  Change change, again;
  config_model::ReadChange(Call(Route("r1") + "," + Route("r2"), Tenant("t1", "k1")), &change);
  std::string all = config_model::WriteAll(change.items);
  STRCMP_EQUAL("", config_model::ReadChange(R"({"upsert_items":)" + all + "}", &again).c_str());
  CHECK(change.items.size() == again.items.size());
}

TEST(Configuration, OfANameSetAndRemovedInOneCallTheHighestVersionWins) {
  Change change;
  config_model::ReadChange(Call(Route("r1"), "", R"({"name":"r1","config_version":"00000009"})"), &change);
  for (const auto& item : change.items) {
    if (item.key == "route_table/r1") CHECK(item.dropped);
  }
}

TEST_GROUP(Routing){};

TEST(Routing, TheLongestPrefixOfTheHostWins) {
  routing::Routes routes;
  auto put = [&](const std::string& name, const std::string& host, const std::string& prefix,
                 uint64_t version, bool dropped = false) {
    std::string body = R"({"name":")" + name + R"(","host_name":")" + host + R"(","path_prefix":")" + prefix +
                       R"(","route_type":"idempotent","timeout_ms":9,"target_service":"s"})";
    STRCMP_EQUAL("", routes.ApplyItem({"route_table/" + name, version, dropped, body}).c_str());
  };
  put("a", "H.example", "/", 1);
  put("b", "h.example", "/x/", 1);
  put("c", "h.example", "/x/y/", 1);
  auto name = [&](const char* host, const char* path) {
    auto route = routes.Find(host, path);
    return route ? route->name : std::string("none");
  };
  STRCMP_EQUAL("c", name("h.EXAMPLE:8080", "/x/y/z?q=/a/").c_str());
  STRCMP_EQUAL("b", name("h.example", "/x/y").c_str());
  STRCMP_EQUAL("a", name("h.example", "/xx").c_str());
  STRCMP_EQUAL("none", name("other", "/x/").c_str());
  put("c", "h.example", "/x/y/", 2, true);
  STRCMP_EQUAL("b", name("h.example", "/x/y/z").c_str());
  put("b", "h.example", "/q/", 2);  // moved to another prefix
  STRCMP_EQUAL("a", name("h.example", "/x/y/z").c_str());
}

TEST(Routing, KeysFollowTheirTenant) {
  routing::Routes routes;
  auto put = [&](const std::string& name, const std::string& keys, uint64_t version, bool dropped = false) {
    routes.ApplyItem({"tenant_table/" + name, version, dropped,
                      R"({"name":")" + name + R"(","api_keys":[)" + keys + "]}"});
  };
  put("t1", R"("k1","k2")", 1);
  STRCMP_EQUAL("t1", routes.FindTenant("k2")->name.c_str());
  put("t2", R"("k2")", 2);  // arrives before the update that removes the key from t1
  put("t1", R"("k1")", 2);
  STRCMP_EQUAL("t2", routes.FindTenant("k2")->name.c_str());
  put("t2", "", 3, true);
  CHECK(!routes.FindTenant("k2"));
  CHECK(routes.has_tenants());
}

TEST(Routing, TrafficSplitsFollowTheWeights) {
  config_model::Route route;
  route.targets = {{"a", 90}, {"b", 10}, {"none", 0}};
  int b = 0;
  for (int i = 0; i < 1000; ++i) {
    std::string id = "id" + std::to_string(i);
    const std::string& to = routing::Routes::PickService(route, id);
    CHECK(to != "none");
    CHECK(to == routing::Routes::PickService(route, id));
    b += to == "b";
  }
  CHECK(b > 70 && b < 130);
}

TEST_GROUP(RetryBudgets){};

TEST(RetryBudgets, HoldOverAllGateways) {
  // Eleven independent gateways in front of a service that always fails.
  std::vector<load_balancing::RetryBudget> budgets(11, load_balancing::RetryBudget(0.2, 10, 62));
  std::deque<double> requests, retries;
  std::mt19937 dice(5);
  for (auto& budget : budgets) budget.SetGatewayCount(11);
  for (double now = 0; now < 60; now += 0.01) {
    bool quiet = now > 20 && now < 32;  // no requests for a while, and then all gateways at once
    for (auto& budget : budgets) {
      if (quiet || dice() % 10 != 0) continue;
      budget.OnRequest(now, "s");
      requests.push_back(now);
      for (int i = 0; i < 3 && budget.MayRetry(now, "s"); ++i) {
        budget.OnRetry(now, "s");
        retries.push_back(now);
      }
    }
    auto in = [&](const std::deque<double>& list, double from, double to) {
      return static_cast<double>(
          std::count_if(list.begin(), list.end(), [&](double at) { return at > from && at <= to; }));
    };
    if (static_cast<int>(now * 100) % 50 != 0) continue;
    double most = std::max(
        {in(requests, now - 10, now), in(requests, now - 20, now - 10), in(requests, now - 15, now - 5)});
    CHECK(in(retries, now - 10, now) <= 0.2 * most + 62);
  }
}

TEST_GROUP(LoadBalancing){};

TEST(LoadBalancing, PrefersOwnSlotsAndAllSlotsAreOwned) {
  std::vector<messages::GatewayInfo> members = {{"g1", "z1"}, {"g2", "z1"}, {"g3", "z2"}};
  std::map<std::string, int> taken;
  for (const auto& member : members) {
    load_balancing::Pool pool(1, member.zone);
    for (const char* id : {"a", "b"}) pool.ApplyItem(0, Backend(id, "s", "z1"));
    pool.ApplyItem(0, Backend("c", "s", "z2"));
    pool.SetGateways(members, member.node);
    for (int i = 0; i < 2; ++i) {
      std::string id = pool.Choose(1, "s", {});
      pool.OnAttemptStarted(id);
      ++taken[id];
    }
  }
  for (const char* id : {"a", "b", "c"}) CHECK_EQUAL(2, taken[id]);
}

TEST(LoadBalancing, SkipsDrainingGoneAndFailingBackends) {
  load_balancing::Pool pool(1, "z1");
  for (const char* id : {"a", "b", "c"}) pool.ApplyItem(0, Backend(id, "s", "z1"));
  pool.ApplyItem(0, Backend("a", "s", "z1", 2, true));
  pool.OnAttemptStarted("b");
  pool.OnAttemptEnded(0, "b", AttemptResult::kConnectionRefused);
  for (int i = 0; i < 20; ++i) STRCMP_EQUAL("c", pool.Choose(0.1, "s", {}).c_str());
  STRCMP_EQUAL("b", pool.Choose(0.1, "s", {"c"}).c_str());  // better than none
  pool.OnAttemptStarted("c");
  pool.OnAttemptEnded(0.1, "c", AttemptResult::kMisdirected);
  STRCMP_EQUAL("b", pool.Choose(0.2, "s", {}).c_str());
  pool.ApplyItem(1, {"backend/b", 5, true, ""});
  STRCMP_EQUAL("", pool.Choose(1, "s", {}).c_str());
  STRCMP_EQUAL("", pool.Choose(1, "unknown", {}).c_str());
}

TEST_GROUP(BackendRegistry){};

TEST(BackendRegistry, ADrainWaitsForCommitAndIsNeverRevoked) {
  discovery::Backend b;
  b.id = "i1";
  b.service = "s";
  b.address = "10.0.0.1:80";
  b.sequence = 4;
  registry::BackendUpdate ready = registry::OnHeartbeat(b, nullptr);
  CHECK(ready.write && !ready.wait_for_commit);
  b.sequence = 5;
  CHECK(!registry::OnHeartbeat(b, &ready.item).write);  // unchanged
  b.draining = true;
  b.sequence = 6;
  registry::BackendUpdate drain = registry::OnHeartbeat(b, &ready.item);
  CHECK(drain.write && drain.wait_for_commit);
  CHECK(messages::Newer(drain.item, ready.item));
  // Repeated while the drain is only proposed: still not acknowledged before the commit.
  b.sequence = 7;
  CHECK(registry::OnHeartbeat(b, &ready.item).write && registry::OnHeartbeat(b, &ready.item).wait_for_commit);
  CHECK(!registry::OnHeartbeat(b, &drain.item).write);
  b.draining = false;
  b.sequence = 9;  // delayed in the network, or faulty
  CHECK(registry::OnHeartbeat(b, &drain.item).item == drain.item);
  CHECK(!registry::OnHeartbeat(b, &drain.item).write);
  registry::BackendUpdate gone = registry::OnDeregister("i1", &drain.item);
  CHECK(gone.write && gone.wait_for_commit && gone.item.dropped && messages::Newer(gone.item, drain.item));
  CHECK(registry::OnHeartbeat(b, &gone.item).item.dropped);
}

TEST(BackendRegistry, AConcurrentCommandDoesNotRevokeADrainOrADeregistration) {
  registry::RegistryPolicy policy;
  replication::Table table;
  auto changes = [&](const messages::Item& item) {
    return policy.Evaluate({item}, replication::TableOverlay(table)).kind ==
           replication::Evaluation::Kind::kApply;
  };
  table.Put({Backend("i", "s", "z", 5, true), 1, {}});
  CHECK(!changes(Backend("i", "s", "z", 4)));
  CHECK(!changes(Backend("i", "s", "z", 9)));
  CHECK(changes(Backend("i", "s", "z", 9, true)));
  table.Put({{"backend/i", 6, true, ""}, 2, {}});
  CHECK(!changes(Backend("i", "s", "z", 9)));
  table.Put({registry::OnExpired(Backend("i", "s", "z", 5)), 3, {}});
  CHECK(changes(Backend("i", "s", "z", 9)));
  CHECK(changes({"holder/c1/g1", 1, false, ""}));
}

// Guards against a deregistration that is acknowledged without effect: a heartbeat was decided between the
// call and the evaluation of its command, so that the command counted as applied already.
TEST(BackendRegistry, ADeregistrationPrevailsOverAHeartbeatThatIsDecidedBeforeIt) {
  registry::RegistryPolicy policy;
  replication::Table table;
  messages::Item known = Backend("i", "s", "z", 3);
  for (const messages::Item* committed :
       {static_cast<const messages::Item*>(nullptr), &std::as_const(known)}) {
    messages::Item gone = registry::OnDeregister("i", committed).item;
    table.Put({Backend("i", "s", "z", 9), 2, {}});
    replication::Evaluation evaluation = policy.Evaluate({gone}, replication::TableOverlay(table));
    CHECK(evaluation.kind == replication::Evaluation::Kind::kApply);
    CHECK(evaluation.records.at(0).item.dropped);
  }
}

// Guards against a deregistered backend that returns by a late heartbeat, because it had expired before.
TEST(BackendRegistry, ADeregistrationOfAnExpiredBackendIsFinal) {
  registry::RegistryPolicy policy;
  replication::Table table;
  messages::Item expired = registry::OnExpired(Backend("i", "s", "z", 5));
  registry::BackendUpdate gone = registry::OnDeregister("i", &expired);
  CHECK(gone.write && gone.wait_for_commit);
  table.Put({gone.item, 2, {}});
  replication::Evaluation late =
      policy.Evaluate({Backend("i", "s", "z", 9)}, replication::TableOverlay(table));
  CHECK(late.kind == replication::Evaluation::Kind::kAlreadyApplied);
  CHECK(!registry::OnDeregister("i", &gone.item).write);
}

TEST(BackendRegistry, SilentBackendsExpireOnlyWhileAllCoresReportAndMayReturn) {
  registry::HeartbeatTracker tracker;
  std::set<std::string> others = {"c2", "c3"};
  tracker.OnHeartbeat(TimePointOf(0), "here");
  bool c3_unreachable = false;
  std::vector<std::string> silent;
  auto until = [&](double from, double to) {
    for (double now = from; now < to; now += 0.5) {
      tracker.OnReport(TimePointOf(now), "c2", {"there"});
      if (!c3_unreachable) tracker.OnReport(TimePointOf(now), "c3", {});
      for (const std::string& id : tracker.Expired(TimePointOf(now), {"here", "there", "disk"}, others))
        silent.push_back(id);
    }
  };
  until(0, 25);
  CHECK(silent.empty());
  c3_unreachable = true;  // c3 is unreachable and may receive heartbeats of any backend
  until(25, 80);
  CHECK(silent.empty());
  c3_unreachable = false;
  until(80, 109);
  CHECK(silent.empty());
  until(109, 111);
  CHECK(!silent.empty());
  for (const std::string& id : silent) CHECK(id != "there");

  messages::Item item = Backend("i", "s", "z", 7);
  messages::Item gone = registry::OnExpired(item);
  CHECK(messages::Newer(gone, item) && gone.dropped);
  discovery::Backend b;
  discovery::ParseBackend(item.body, &b);
  b.id = "i";
  b.sequence = 8;
  CHECK(!registry::OnHeartbeat(b, &gone).write);  // same version as the tombstone
  b.sequence = 20;
  registry::BackendUpdate back = registry::OnHeartbeat(b, &gone);
  CHECK(back.write && messages::Newer(back.item, gone) && !back.item.dropped);
}

TEST(BackendRegistry, FaultsOfHeartbeatsNameTheInvalidField) {
  discovery::Backend b;
  CheckContains(discovery::ParseHeartbeat("{", &b), "JSON");
  CheckContains(
      discovery::ParseHeartbeat(
          R"({"target_service":"s","address":"nowhere","oper_state":"ready","call_sequence":1})", &b),
      "address");
  CheckContains(
      discovery::ParseHeartbeat(
          R"({"target_service":"s","address":"1.2.3.4:5","oper_state":"odd","call_sequence":1})", &b),
      "oper_state");
  CheckContains(
      discovery::ParseHeartbeat(R"({"target_service":"s","address":"1.2.3.4:5","oper_state":"ready"})", &b),
      "call_sequence");
  CheckContains(
      discovery::ParseHeartbeat(
          R"({"target_service":"s","address":"1.2.3.4:5","oper_state":"ready","call_sequence":1e17})", &b),
      "call_sequence");
}

TEST_GROUP(ConfigurationCommands){};

TEST(ConfigurationCommands, VersionsAreTotallyOrdered) {
  using messages::Newer;
  messages::Item a{"k", 3, false, "x"}, b{"k", 3, false, "y"}, c{"k", 3, true, ""}, d{"k", 4, false, "x"};
  for (const auto& one : {a, b, c}) {
    CHECK(Newer(d, one));
    CHECK(!Newer(one, d));
    CHECK(!Newer(one, one));
  }
  CHECK(Newer(a, b) != Newer(b, a));
  CHECK(Newer(a, c) != Newer(c, a));
}

TEST(ConfigurationCommands, AVersionIsConfirmedWithOneContentAndARepeatIsAccepted) {
  using Kind = replication::Evaluation::Kind;
  config_store::ConfigurationPolicy policy;
  replication::Table table;
  auto evaluate = [&](const std::string& call) {
    Change change;
    STRCMP_EQUAL("", config_model::ReadChange(call, &change).c_str());
    return policy.Evaluate(change.items, replication::TableOverlay(table));
  };
  auto apply = [&](const replication::Evaluation& evaluation) {
    for (const replication::Record& record : evaluation.records) {
      table.Put(record);
      policy.OnRecord(record);
    }
  };
  replication::Evaluation first = evaluate(Call(Route("r1")));
  CHECK(first.kind == Kind::kApply);
  apply(first);
  CHECK(evaluate(Call(Route("r1"))).kind == Kind::kAlreadyApplied);
  replication::Evaluation other = evaluate(Call(Route("r1", R"(,"priority":3)") + "," + Route("r2")));
  CHECK(other.kind == Kind::kRejected);
  CHECK(other.rejection.code == replication::RejectionCode::kConflict);
  CheckContains(other.rejection.field, "route_table/r1");
  CHECK(other.records.empty());
  apply(evaluate(Call(Route("r1", R"(,"priority":4)", "s1", "00000009"))));
  CHECK(evaluate(Call(Route("r1"))).kind ==
        Kind::kAlreadyApplied);  // the first command repeated after a newer one
  replication::Evaluation invalid = evaluate(Call(Route("r3", "", "nowhere", "0000000a")));
  CHECK(invalid.kind == Kind::kRejected);
  CHECK(invalid.rejection.code == replication::RejectionCode::kInvalid);
  CheckContains(invalid.rejection.message, "r3");
}

TEST(ConfigurationCommands, ErasedItemsAreNotPartOfTheValidation) {
  config_store::ConfigurationPolicy policy;
  replication::Table table;
  Change change;
  config_model::ReadChange(Call("", Tenant("t1", "k1")), &change);
  for (const messages::Item& item : change.items) policy.OnRecord({item, 1, {}});
  Change second;
  config_model::ReadChange(Call("", Tenant("t2", "k1")), &second);
  auto kind = [&] { return policy.Evaluate(second.items, replication::TableOverlay(table)).kind; };
  CHECK(kind() == replication::Evaluation::Kind::kRejected);
  policy.OnErased("tenant_table/t1");
  CHECK(kind() == replication::Evaluation::Kind::kApply);
  for (const messages::Item& item : change.items) policy.OnRecord({item, 1, {}});
  policy.OnReset();
  CHECK(kind() == replication::Evaluation::Kind::kApply);
}

TEST_GROUP(AllocationRights){};

namespace {

messages::Membership Epoch(uint64_t epoch, std::vector<messages::Member> members) {
  return {epoch, std::move(members)};
}

}  // namespace

TEST(AllocationRights, AReplacementAllocatesOnlyAfterTheLeasesOfItsPredecessor) {
  using registry::AllocationRight;
  messages::Member a{"10.0.0.1", 1, ""}, b{"10.0.0.2", 1, ""}, c{"10.0.0.3", 1, ""}, d{"10.0.0.4", 7, ""},
      c_new_disk{"10.0.0.3", 9, ""};
  AllocationRight founder(TimePointOf(0), a.address, a.store_id, Epoch(1, {a, b, c}), 0);
  CHECK(founder.MayAllocate(TimePointOf(0)));
  AllocationRight successor(TimePointOf(0), d.address, d.store_id, Epoch(0, {}), 0);
  successor.OnMembership(TimePointOf(1), Epoch(1, {a, b, c}), 0, false);
  CHECK(!successor.MayAllocate(TimePointOf(100)));
  founder.OnMembership(TimePointOf(100), Epoch(2, {a, b, d}), 1, false);
  successor.OnMembership(TimePointOf(100), Epoch(2, {a, b, d}), 0, false);
  CHECK(founder.MayAllocate(TimePointOf(100)));
  CHECK(!successor.MayAllocate(
      TimePointOf(100 + rate_limit::kLeaseTerm + replication::kContactTimeout.count())));
  CHECK(successor.MayAllocate(TimePointOf(100 + AllocationRight::kTakeoverDelay.count())));
  // Holders of the one before retain something for longer; nobody retains anything of a founder's
  // predecessor.
  double retained = 100 + AllocationRight::kTakeoverDelay.count() + AllocationRight::kRetentionDelay.count();
  CHECK(successor.predecessor_retained_until() == TimePointOf(retained));
  CHECK(founder.predecessor_retained_until() == TimePointOf(0));
  // One that was replaced does not lend; one that comes back waits for its successor's loans, also where it
  // saw neither epoch.
  AllocationRight replaced(TimePointOf(0), c.address, c.store_id, Epoch(1, {a, b, c}), 1);
  AllocationRight absent(TimePointOf(0), c.address, c.store_id, Epoch(1, {a, b, c}), 1);
  replaced.OnMembership(TimePointOf(100), Epoch(2, {a, b, d}), 1, false);
  CHECK(!replaced.MayAllocate(TimePointOf(200)));
  replaced.OnMembership(TimePointOf(300), Epoch(3, {a, b, c}), 1, false);
  CHECK(!replaced.MayAllocate(TimePointOf(310)));
  absent.OnMembership(TimePointOf(300), Epoch(3, {a, b, c}), 1, false);
  CHECK(!absent.MayAllocate(TimePointOf(310)));
  // Its disk is lost: it takes its own place at once.
  AllocationRight wiped(TimePointOf(400), c_new_disk.address, c_new_disk.store_id, Epoch(0, {}), 0);
  wiped.OnMembership(TimePointOf(401), Epoch(1, {a, b, c}), 1, false);
  CHECK(!wiped.MayAllocate(TimePointOf(500)));
  wiped.OnMembership(TimePointOf(402), Epoch(2, {a, b, c_new_disk}), 1, false);
  CHECK(wiped.MayAllocate(TimePointOf(402)));
}

// Guards against: a core that is added while the system starts for the first time withholds its part of all
// limits for a minute, or allocates beside what others were granted of it before.
TEST(AllocationRights, AnAddedMemberAllocatesAtOnceOnlyWhereNothingIsGranted) {
  using registry::AllocationRight;
  messages::Member a{"10.0.0.1", 1, ""}, b{"10.0.0.2", 1, ""}, c{"10.0.0.3", 1, ""}, d{"10.0.0.4", 7, ""},
      e{"10.0.0.5", 8, ""};
  AllocationRight added(TimePointOf(0), d.address, d.store_id, Epoch(1, {a, b, c}), 0);
  added.OnMembership(TimePointOf(1), Epoch(2, {a, b, c, d}), 0, true);
  CHECK(added.MayAllocate(TimePointOf(1)));
  CHECK(added.predecessor_retained_until() == TimePointOf(1));
  AllocationRight late(TimePointOf(0), d.address, d.store_id, Epoch(1, {a, b, c}), 0);
  late.OnMembership(TimePointOf(1), Epoch(2, {a, b, c, d}), 0, false);
  CHECK(!late.MayAllocate(TimePointOf(1)));
  // Two epochs at once, as a delta may tell of them; and no member in the end.
  AllocationRight skipped(TimePointOf(0), e.address, e.store_id, Epoch(1, {a, b, c}), 0);
  skipped.OnMembership(TimePointOf(1), Epoch(3, {a, b, c, d, e}), 0, true);
  CHECK(skipped.MayAllocate(TimePointOf(1)));
  AllocationRight spare(TimePointOf(0), e.address, e.store_id, Epoch(1, {a, b, c}), 0);
  spare.OnMembership(TimePointOf(1), Epoch(2, {a, b, c, d}), 0, true);
  CHECK(!spare.MayAllocate(TimePointOf(100)));
}

TEST(AllocationRights, ARestartDuringTheWaitBeginsItAgain) {
  using registry::AllocationRight;
  messages::Member a{"10.0.0.1", 1, ""}, b{"10.0.0.2", 1, ""}, d{"10.0.0.4", 7, ""};
  AllocationRight restarted(TimePointOf(100), d.address, d.store_id, Epoch(2, {a, b, d}), 0);
  CHECK(!restarted.MayAllocate(TimePointOf(110)));
  CHECK(restarted.MayAllocate(TimePointOf(100 + AllocationRight::kTakeoverDelay.count())));
  AllocationRight recorded(TimePointOf(100), d.address, d.store_id, Epoch(2, {a, b, d}), 2);
  CHECK(recorded.MayAllocate(TimePointOf(100)));
}

// All cores lose power after an epoch has begun and before any of them has recorded it.
TEST(AllocationRights, AContinuingMemberAllocatesAtOnceAfterARestartBeforeTheEpochWasRecorded) {
  using registry::AllocationRight;
  messages::Member a{"10.0.0.1", 1, ""}, b{"10.0.0.2", 1, ""}, c{"10.0.0.3", 1, ""},
      c_new_disk{"10.0.0.3", 9, ""}, d{"10.0.0.4", 7, ""};
  AllocationRight stayed(TimePointOf(100), a.address, a.store_id, Epoch(3, {a, b, c_new_disk}), 2);
  CHECK(stayed.MayAllocate(TimePointOf(100)));
  AllocationRight returned(TimePointOf(100), c_new_disk.address, c_new_disk.store_id,
                           Epoch(3, {a, b, c_new_disk}), 2);
  CHECK(returned.MayAllocate(TimePointOf(100)));
  // The record was only accepted, not applied, on its disk; it is applied during catch-up.
  AllocationRight lagging(TimePointOf(100), a.address, a.store_id, Epoch(3, {a, b, c_new_disk}), 0);
  CHECK(!lagging.MayAllocate(TimePointOf(101)));
  lagging.OnRecordedEpoch(TimePointOf(101), 3);
  CHECK(lagging.MayAllocate(TimePointOf(101)));
  // A core that joined in this epoch has recorded none, or one before the epoch in which it was replaced.
  AllocationRight joined(TimePointOf(100), d.address, d.store_id, Epoch(3, {a, b, d}), 0);
  CHECK(!joined.MayAllocate(TimePointOf(110)));
  AllocationRight rejoined(TimePointOf(100), c.address, c.store_id, Epoch(4, {a, b, c}), 2);
  CHECK(!rejoined.MayAllocate(TimePointOf(110)));
  // A learner that was never a member.
  AllocationRight learner(TimePointOf(100), d.address, d.store_id, Epoch(0, {}), 0);
  CHECK(!learner.MayAllocate(TimePointOf(200)));
}

// After any series of restarts, epochs and lost disks, a member may allocate a takeover delay after the last
// event. Restarts alone never delay it.
TEST(AllocationRights, NoSeriesOfFaultsDelaysAllocationLonger) {
  using registry::AllocationRight;
  enum class Event { kRestart, kOtherReplaced, kOwnDiskLost, kRemoved, kJoined, kTwoEpochsMissed, kCount };
  constexpr int kSeriesLength = 5, kKinds = static_cast<int>(Event::kCount);
  const messages::Member b{"10.0.0.2", 1, ""}, c{"10.0.0.3", 1, ""}, spare{"10.0.0.4", 1, ""};
  int series_count = 1;
  for (int i = 0; i < kSeriesLength; ++i) series_count *= kKinds;
  for (double gap : {0.05, 5.0, 20.0}) {
    for (int series = 0; series < series_count; ++series) {
      messages::Member self{"10.0.0.1", 1, ""};
      messages::Membership membership = Epoch(1, {self, b, c});
      uint64_t recorded = 0;
      double now = 0;
      bool only_restarts = true;
      auto right = std::make_unique<AllocationRight>(TimePointOf(now), self.address, self.store_id,
                                                     membership, recorded);
      auto begin_epoch = [&](std::vector<messages::Member> members) {
        membership = Epoch(membership.epoch + 1, std::move(members));
        right->OnMembership(TimePointOf(now), membership, recorded, false);
      };
      for (int i = 0, left = series; i < kSeriesLength; ++i, left /= kKinds) {
        now += gap;
        // The epoch is recorded shortly after allocation is allowed.
        if (gap > 1 && right->MayAllocate(TimePointOf(now - 1))) recorded = right->epoch();
        Event event = static_cast<Event>(left % kKinds);
        bool member = membership.Contains(self.address, self.store_id);
        only_restarts = only_restarts && event == Event::kRestart;
        if (event == Event::kRestart || event == Event::kOwnDiskLost) {
          if (event == Event::kOwnDiskLost) ++self.store_id;
          right = std::make_unique<AllocationRight>(TimePointOf(now), self.address, self.store_id, membership,
                                                    recorded);
          if (event == Event::kOwnDiskLost && member) begin_epoch({self, b, c});
        } else if (event == Event::kOtherReplaced && member) {
          begin_epoch({self, b, c});
        } else if (event == Event::kRemoved && member) {
          begin_epoch({b, c, spare});
        } else if (event == Event::kJoined && !member) {
          begin_epoch({self, b, c});
        } else if (event == Event::kTwoEpochsMissed && member) {
          membership.epoch += 1;
          begin_epoch({self, b, c});
        }
      }
      bool member = membership.Contains(self.address, self.store_id);
      CHECK_EQUAL(member, right->MayAllocate(TimePointOf(now + AllocationRight::kTakeoverDelay.count())));
      if (only_restarts) CHECK(right->MayAllocate(TimePointOf(now)));
    }
  }
}

TEST(AllocationRights, AddressesThatAreNoLongerKnownAreNotDialled) {
  replicated_table::KnownCores known("10.0.0.1", {"10.0.0.1", "10.0.0.2"});
  known.SetMembers(Epoch(1, {{"10.0.0.1", 1, ""}, {"10.0.0.3", 1, ""}}));
  known.OnSeen(TimePointOf(5), "10.0.0.4");
  CHECK((known.DialTargets(TimePointOf(5)) == std::set<std::string>{"10.0.0.2", "10.0.0.3", "10.0.0.4"}));
  CHECK((known.DialTargets(TimePointOf(64)) == std::set<std::string>{"10.0.0.2", "10.0.0.3", "10.0.0.4"}));
  CHECK((known.DialTargets(TimePointOf(66)) == std::set<std::string>{"10.0.0.2", "10.0.0.3"}));
  known.SetMembers(Epoch(2, {{"10.0.0.1", 1, ""}, {"10.0.0.5", 2, ""}}));
  CHECK((known.DialTargets(TimePointOf(67)) == std::set<std::string>{"10.0.0.2", "10.0.0.5"}));
}

TEST_GROUP(Plumbing){};

TEST(Plumbing, MessagesSurviveEncodingAndInvalidBytesAreTolerated) {
  messages::Push push{7, true, 5, {{"k", 3, false, "body"}, {"q", 9, true, ""}}, {"e"}};
  std::string frame = messages::Encode(push);
  messages::FrameReader reader;
  for (char c : frame) reader.Add(std::string_view(&c, 1));
  std::string_view content;
  CHECK(reader.Next(&content) == messages::FrameReader::ReadStatus::kFrame);
  auto back = messages::Decode(content);
  CHECK(back && std::get<messages::Push>(*back).items == push.items);
  CHECK(std::get<messages::Push>(*back).removed_keys == push.removed_keys);
  std::mt19937 dice(3);
  for (int i = 0; i < 20000; ++i) {
    std::string bad = frame.substr(4, dice() % (frame.size() - 3));
    for (int n = 0; n < 3 && !bad.empty(); ++n) bad[dice() % bad.size()] = static_cast<char>(dice());
    messages::Decode(bad);
  }
  messages::FrameReader large;
  large.Add(std::string("\xff\xff\xff\xff", 4));
  CHECK(large.Next(&content) == messages::FrameReader::ReadStatus::kTooLong);
}

namespace {

// A gateway's table cache and the last item of each key that its views received.
struct CachedTable {
  CachedTable() {
    journal.Attach([this](const discovery::ItemChange& event) {
      CHECK(undecided || event.item.version >= received[event.item.key].version);
      received[event.item.key] = event.item;
    });
  }
  void Push(uint64_t revision, std::vector<messages::Item> items, std::vector<std::string> ended = {}) {
    cache.OnPush(1, {1, false, revision, std::move(items), std::move(ended)});
    journal.Run();
  }
  void PushUndecided(uint64_t revision, messages::Item item, double now = 1) {
    undecided = true;
    cache.OnPush(now, {messages::kProvisionalPush, false, revision, {std::move(item)}, {}});
    journal.Run();
  }
  void State(uint64_t epoch, bool complete, uint64_t list_revision, bool all_ranges) {
    messages::CoreStatus state;
    state.epoch = epoch;
    state.list_complete = complete;
    state.list_revision = list_revision;
    for (uint32_t range = 0; all_ranges && range < messages::kListRanges; ++range)
      state.listed_ranges.push_back(range);
    cache.OnStatus(1, state);
    journal.Run();
  }
  bool Empty() const {
    return std::all_of(cache.digests().begin(), cache.digests().end(),
                       [](uint64_t digest) { return digest == 0; });
  }
  discovery::Journal<discovery::ItemChange> journal;
  discovery::TableCache cache{discovery::Table::kConfiguration, &journal};
  std::map<std::string, messages::Item> received;
  bool undecided = false;  // an undecided item has been pushed; it may end in favour of a lower version
};

}  // namespace

TEST(Plumbing, ACacheNeverReturnsToAnOlderVersion) {
  CachedTable gateway;
  for (uint64_t version : {3, 5, 4, 5, 2, 9}) gateway.Push(version, {{"k", version, false, "x"}});
  CHECK_EQUAL(9u, gateway.received["k"].version);
}

TEST(Plumbing, ACacheIsCompleteAfterOneListOfTheHighestKnownEpoch) {
  CachedTable gateway;
  gateway.State(2, false, 0, false);  // a core without quorum contact
  CHECK(!gateway.cache.complete());
  gateway.State(1, true, 7, true);  // of an old epoch
  CHECK(!gateway.cache.complete());
  gateway.State(2, true, 9, true);
  CHECK(gateway.cache.complete());
  gateway.State(3, false, 0, false);
  CHECK(gateway.cache.complete());
}

TEST(Plumbing, AListRemovesAbsentKeysAndOlderUpdatesDoNotRestoreThem) {
  CachedTable gateway;
  gateway.Push(10, {{"a", 1, false, "x"}, {"b", 1, false, "x"}});
  gateway.Push(12, {{"c", 1, false, "x"}});
  gateway.Push(11, {{"b", 1, false, "x"}});  // part of a list that began at 11, from a core that lags
  gateway.State(1, true, 11, true);
  CHECK(gateway.received["a"].dropped);
  CHECK(!gateway.received["b"].dropped);
  CHECK(!gateway.received["c"].dropped);                          // newer than the start of the list
  gateway.Push(9, {{"a", 1, false, "x"}, {"d", 1, false, "x"}});  // from a core that lags far behind
  CHECK(gateway.received["a"].dropped);
  CHECK(gateway.received.count("d") == 0);
  gateway.Push(13, {{"a", 2, false, "x"}}, {"c"});
  CHECK(!gateway.received["a"].dropped);
  CHECK(gateway.received["c"].dropped);
  gateway.Push(12, {{"c", 1, false, "x"}});
  CHECK(gateway.received["c"].dropped);
}

// Guards against a backend that stays in use after its acknowledged deregistration, because an undecided
// report of a higher version had been pushed before (review/2).
TEST(Plumbing, ADecidedTombstoneEndsAnUndecidedItemOfAnyVersion) {
  CachedTable gateway;
  gateway.PushUndecided(7, {"k", 2, false, "x"});
  CHECK(!gateway.received["k"].dropped);
  gateway.Push(8, {{"k", 1, true, ""}});
  CHECK(gateway.received["k"].dropped);
  CHECK_EQUAL(1u, gateway.cache.overruled_items());
  gateway.PushUndecided(7, {"k", 3, false, "x"});  // of a core that lags
  CHECK(gateway.received["k"].dropped);
  CHECK(gateway.Empty());
}

// Guards against a drain that is told and taken back, as an earlier report is decided after it.
TEST(Plumbing, AnUndecidedItemStaysUntilOneThatIsNoOlderIsDecided) {
  CachedTable gateway;
  gateway.Push(5, {{"k", 3, false, "ready"}});
  gateway.PushUndecided(7, {"k", 5, false, "draining"});
  gateway.Push(8, {{"k", 4, false, "warm"}});
  CHECK(gateway.received["k"].body == "draining");
  gateway.Push(9, {{"k", 5, false, "draining"}});
  CHECK(gateway.received["k"].body == "draining");
  CHECK_EQUAL(0u, gateway.cache.provisional_items());
  CHECK_EQUAL(0u, gateway.cache.overruled_items());
  gateway.PushUndecided(9, {"k", 6, false, "undecided"});
  gateway.Push(10, {{"k", 7, false, "decided"}});
  CHECK(gateway.received["k"].body == "decided");
  CHECK_EQUAL(1u, gateway.cache.overruled_items());
}

TEST(Plumbing, AnUndecidedItemEndsWithAListThatLacksItOrWithARemovedKey) {
  CachedTable gateway;
  gateway.PushUndecided(7, {"listed", 1, false, "x"});
  CHECK(!gateway.Empty());  // so that its range is listed
  gateway.State(1, true, 7, true);
  CHECK(!gateway.received["listed"].dropped);  // the list began no later than the report
  gateway.State(1, true, 8, true);
  CHECK(gateway.received["listed"].dropped);
  gateway.PushUndecided(8, {"removed", 1, false, "x"});
  gateway.Push(9, {}, {"removed"});
  CHECK(gateway.received["removed"].dropped);
  gateway.PushUndecided(7, {"late", 1, false, "x"});  // older than the list
  CHECK(gateway.received.count("late") == 0);
  CHECK(gateway.Empty());
}

TEST(Plumbing, AnUndecidedItemThatIsNotReportedAgainIsGivenUp) {
  CachedTable gateway;
  gateway.Push(5, {{"known", 3, false, "decided"}});
  gateway.PushUndecided(7, {"known", 4, false, "undecided"}, 10);
  gateway.PushUndecided(7, {"new", 1, false, "x"}, 10);
  gateway.PushUndecided(7, {"new", 1, false, "x"}, 20);  // reported again
  auto on_time = [&](double now) {
    gateway.cache.OnTime(now);
    gateway.journal.Run();
  };
  on_time(10 + discovery::TableCache::kProvisionalLifetime);
  CHECK(gateway.received["known"].body == "decided");
  CHECK(!gateway.received["new"].dropped);
  on_time(20 + discovery::TableCache::kProvisionalLifetime);
  CHECK(gateway.received["new"].dropped);
}

TEST(Plumbing, DigestsOfACacheExcludeTombstones) {
  CachedTable gateway;
  CHECK(gateway.Empty());
  gateway.Push(1, {{"k", 1, false, "x"}});
  CHECK(!gateway.Empty());
  gateway.Push(2, {{"k", 2, true, ""}});
  CHECK(gateway.Empty());
  gateway.Push(3, {}, {"k"});
  CHECK(gateway.Empty());
}

TEST(Plumbing, FaultsOfSettingsNameEveryInvalidField) {
  process::Settings settings;
  auto faults = process::ReadSettings(
      R"({"node_name":5,"zone":"z","internal_port_range":[9],"seed_nodes":"x","fault_tolerance":{"machine_failures":-1},"timing_bounds":{"grace_s":"long"}})",
      &settings);
  std::string all;
  for (const auto& fault : faults) all += fault + "\n";
  for (const char* field : {"node_name", "ip_address", "internal_port_range", "seed_nodes",
                            "fault_tolerance.machine_failures", "timing_bounds.grace_s"})
    CheckContains(all, field);
}
