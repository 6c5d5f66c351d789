// The replicated table on a simulated network: seeded days of troubles, rules checked after each step; and that the rules find
// what they are for.

#include <cstdlib>

#include "system/sim.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using sim::Mistake;
using sim::World;

namespace {

// A day: writes, reads, and troubles within what is to be borne (one disk lost at a time, anybody killed).
std::string Day(uint64_t seed, size_t cores, Mistake mistake, size_t* acked = nullptr, size_t* shown = nullptr) {
  World w(seed, cores, mistake);
  std::string lost;  // the core whose disk is lost and not whole again
  uint64_t version = 0;
  w.Until(0.3);
  for (int step = 0; step < 120 && w.broken().empty(); ++step) {
    w.Until(w.now() + 0.02 + 0.15 * w.Chance());
    if (!lost.empty() && w.complete(lost) && !w.blank(lost) && !w.refuses(lost)) lost.clear();
    std::string core = w.Any();
    double what = w.Chance();
    if (what < 0.55) {
      // Now and then two operators at the same version, and an older change again.
      version += w.Chance() < 0.8 ? 1 + w.Pick(3) : 0;
      std::string key = "route_table/r" + std::to_string(w.Pick(4));
      w.Write(core, key, version, w.Chance() < 0.1);
      if (w.Chance() < 0.2) w.Write(w.Any(), key, version);
      if (w.Chance() < 0.1 && version > 2) w.Write(w.Any(), key, version - 2);
      if (w.Chance() < 0.15) {  // right after an acknowledgement
        w.Until(w.now() + 0.012);
        w.Kill(core, true, false);
      }
    } else if (what < 0.7) {
      w.Read(core);
    } else if (what < 0.76) {
      w.Kill(core, w.Chance() < 0.7, false);
    } else if (what < 0.82 && lost.empty()) {
      bool others = w.Chance() < 0.4;  // the other counted machines lose power meanwhile
      w.Kill(core, true, true);
      lost = core;
      for (const std::string& other : w.names()) {
        if (others && other != core) w.Kill(other, true, false);
      }
    } else if (what < 0.88) {
      w.Cut(core, w.Any(), w.Chance() < 0.5);
    } else if (what < 0.92) {
      w.Hang(core, 0.5 * w.Chance());
    } else if (what < 0.94 && lost.empty()) {  // a disk in trouble is the one that is lost
      w.Refuse(core, true);
      lost = core;
    } else if (!lost.empty() && w.refuses(lost)) {
      w.Refuse(lost, false);
      w.Until(w.now() + 1.5);
    }
    for (const std::string& name : w.names()) {
      if (!w.up(name) && w.Chance() < 0.5) w.Start(name, false);
    }
  }
  if (!w.broken().empty()) return w.broken();
  // All is well again: the copies come to be the same.
  for (const std::string& a : w.names()) {
    w.Refuse(a, false);
    for (const std::string& b : w.names()) {
      if (a != b) w.Cut(a, b, false);
    }
  }
  for (const std::string& name : w.names()) {
    if (!w.up(name)) w.Start(name, false);
  }
  w.Until(w.now() + 3);
  for (const std::string& name : w.names()) w.Read(name);
  size_t reads = w.reads;
  w.Until(w.now() + 2);
  if (!w.broken().empty()) return w.broken();
  if (w.reads < reads + w.names().size()) return "a read of a calm core has no answer";
  if (!w.Even()) return "copies differ when all is well again";
  if (acked) *acked += w.acked;
  if (shown) *shown += w.shown;
  return {};
}

size_t Seeds() {
  const char* told = std::getenv("IVYGW_SEEDS");
  return told ? std::strtoul(told, nullptr, 10) : 200;
}

// Within how many seeds a mistake is found.
size_t FoundAfter(Mistake mistake, size_t most) {
  for (size_t seed = 1; seed <= most; ++seed) {
    if (!Day(seed, 3, mistake).empty()) return seed;
  }
  return 0;
}

}  // namespace

TEST_GROUP(Replica) {};

TEST(Replica, KeepsItsPromisesOnDaysOfTrouble) {
  size_t acked = 0, shown = 0;
  for (size_t seed = 1; seed <= Seeds(); ++seed) {
    std::string broken = Day(seed, seed % 4 == 0 ? 5 : 3, Mistake::kNone, &acked, &shown);
    if (!broken.empty()) FAIL(("seed " + std::to_string(seed) + " " + broken).c_str());
  }
  CHECK(acked > 10 * Seeds());  // and it did take changes
  CHECK(shown > 10 * Seeds());
}

TEST(Replica, AnAckBeforeTheSyncIsFound) { CHECK(FoundAfter(Mistake::kAckBeforeSync, 40) > 0); }
TEST(Replica, ACoreThatVotesWithoutItsDiskIsFound) { CHECK(FoundAfter(Mistake::kWipedVotes, 40) > 0); }
TEST(Replica, AnOlderItemThatIsAcceptedIsFound) { CHECK(FoundAfter(Mistake::kOlderAccepted, 40) > 0); }
TEST(Replica, WhatIsShownBeforeItIsSafeIsFound) { CHECK(FoundAfter(Mistake::kShownBeforeSafe, 40) > 0); }
TEST(Replica, AWordAcknowledgedWithoutAMajorityIsFound) { CHECK(FoundAfter(Mistake::kAckWithoutMajority, 40) > 0); }

TEST(Replica, OneOrderOverAnyContents) {
  luxmore::Item a{"k", 3, false, "x"}, b{"k", 3, false, "y"}, c{"k", 3, true, ""}, d{"k", 4, false, "x"};
  for (const auto& one : {a, b, c}) {
    CHECK(luxmore::Newer(d, one));
    CHECK(!luxmore::Newer(one, d));
    CHECK(!luxmore::Newer(one, one));
  }
  CHECK(luxmore::Newer(a, b) != luxmore::Newer(b, a));
  CHECK(luxmore::Newer(a, c) != luxmore::Newer(c, a));
}
