// The ledger of works, step by step: each promise of book.h, and what is done at each outcome of each call.
#include <gtest/gtest.h>
#include <sodium.h>

#include <random>

#include "ledger/works_rig.h"

namespace ivygw::ledger {
namespace {

struct Sodium : testing::Environment {
  void SetUp() override { ASSERT_GE(sodium_init(), 0); }
};
const auto* const kSodium = testing::AddGlobalTestEnvironment(new Sodium);

TEST(Record, ComesBackAsItWas) {
  Record r;
  r.standing = Standing::kDone;
  r.owner = "g\"1";
  r.boot = "b";
  r.fence = 1ull << 52;
  r.claims = 3;
  r.body = "h";
  r.charged = true;
  r.left_s = 1.25;
  r.lease_s = 61.25;
  r.intents = {{"s1", 1, 2, 0.125, false}, {"s2", 0, 0, 3, true}};
  r.status = 200;
  r.type = "text/x";
  for (int c = 0; c < 256; ++c) r.answer += static_cast<char>(c);
  auto again = Read(Write(r));
  ASSERT_TRUE(again);
  EXPECT_EQ(Write(*again), Write(r));
  EXPECT_EQ(again->answer, r.answer);
  EXPECT_TRUE(again->MayHaveRun());
}

// Every cut and 20,000 changed bytes: none, or a sound one.
TEST(Record, NoBytesHarm) {
  Record r;
  r.standing = Standing::kDone;
  r.status = 200;
  r.answer = "abc";
  r.intents = {{"s1", 1, 2, 0.125, false}};
  std::string text = Write(r);
  for (size_t cut = 0; cut < text.size(); ++cut) EXPECT_FALSE(Read(text.substr(0, cut)));
  std::mt19937_64 random(1);
  int read = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string spoilt = text;
    spoilt[random() % spoilt.size()] = static_cast<char>(random());
    auto got = Read(spoilt);
    if (!got) continue;
    ++read;
    EXPECT_LE(got->intents.size(), kMostIntents);
    for (const Intent& intent : got->intents) EXPECT_GE(intent.age_s, 0);
  }
  EXPECT_LT(read, 20000);
  EXPECT_FALSE(Read("{\"form\":2}"));
  EXPECT_FALSE(Read("[]"));
}

TEST(Names, TellCustomersClassesAndKeysApart) {
  EXPECT_EQ(NameOf(1, "a", "k"), NameOf(1, "a", "k"));
  EXPECT_NE(NameOf(1, "a", "k"), NameOf(2, "a", "k"));
  EXPECT_NE(NameOf(1, "a", "k"), NameOf(1, "b", "k"));
  EXPECT_NE(NameOf(1, "a", "/k"), NameOf(1, "a/", "k")) << "no two fields run together";
}

TEST(Book, AnAttemptIsDurableBeforeItsFirstByte) {
  WorksRig r(1, Effect::kUnsafe);
  r.AskAt(0, 1);
  r.Execute(0), r.Deliver(0);  // the reading
  EXPECT_TRUE(r.At(0).sends.empty());
  r.Execute(0);
  auto stored = r.Stored();
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->intents.size(), 1u);
  EXPECT_TRUE(stored->charged);
  EXPECT_TRUE(r.At(0).sends.empty()) << "not before its word has come back";
  r.Deliver(0);
  ASSERT_EQ(r.At(0).sends.size(), 1u);
  r.Go(0, 0);
  r.Outcome(0, 0, true);
  EXPECT_EQ(r.At(0).answers.at(0).status, 200) << "the answer does not wait for its record";
  r.Settle(0);
  EXPECT_EQ(r.Stored()->standing, Standing::kDone);
  EXPECT_EQ(r.At(0).book->open(), 0u);
}

TEST(Book, WhoComesBackGetsTheRecordedAnswer) {
  WorksRig r(2, Effect::kUnsafe);
  r.AskAt(0, 1);
  r.Settle(0);
  r.Outcome(0, 0, true);
  r.Settle(0);
  for (int i : {0, 1}) {
    r.AskAt(i, 2);
    r.Settle(i);
    EXPECT_EQ(r.At(i).answers.back().status, 200);
    EXPECT_EQ(r.At(i).answers.back().body, "effect 1");
    EXPECT_EQ(r.At(i).answers.back().why, "recorded");
  }
  EXPECT_EQ(r.sent, 1);
  r.AskAt(1, 3, "another body");
  r.Settle(1);
  EXPECT_EQ(r.At(1).answers.back().status, 422);
}

TEST(Book, AWorkIsForgottenAfterItsLife) {
  WorksRig r(2, Effect::kUnsafe);
  r.AskAt(0, 1);
  r.Settle(0);
  r.Outcome(0, 0, true);
  r.Settle(0);
  r.now += 71;  // its client's time, and its life
  r.Place(1);
  r.AskAt(1, 2);
  r.Settle(1);
  EXPECT_EQ(r.sent, 2) << "the key is free again";
}

TEST(Book, AnOwnerThatLivesIsWaitedFor) {
  WorksRig r(2, Effect::kUnsafe);
  r.AskAt(0, 1);
  r.Settle(0);
  r.AskAt(1, 2);
  r.Settle(1);
  EXPECT_TRUE(r.At(1).answers.empty());
  EXPECT_EQ(r.At(1).book->figures().waited, 1u);
  r.Outcome(0, 0, true);
  r.Settle(0);
  r.now += 0.3;
  r.Tick(1);
  r.Settle(1);
  ASSERT_EQ(r.At(1).answers.size(), 1u);
  EXPECT_EQ(r.At(1).answers[0].body, "effect 1");
  EXPECT_EQ(r.sent, 1);
}

TEST(Book, ItsClientsTimeIsUpWhileTheOwnerLives) {
  WorksRig r(2, Effect::kUnsafe, 1);
  r.AskAt(0, 1);
  r.Settle(0);
  r.AskAt(1, 2);
  for (int i = 0; i < 30; ++i) {
    r.Settle(1);
    r.now += 0.05;
    r.Tick(1);
  }
  ASSERT_EQ(r.At(1).answers.size(), 1u);
  EXPECT_EQ(r.At(1).answers[0].status, 504);
  EXPECT_EQ(r.At(1).book->open(), 0u);
}

// The lease of the owner is over: one that may have run is gone on with by its class.
TEST(Book, AGoneOwnersWorkIsClaimedByItsClass) {
  for (Effect effect : {Effect::kSafe, Effect::kKeyed, Effect::kUnsafe}) {
    WorksRig r(2, effect);
    r.AskAt(0, 1);
    r.Settle(0);  // its bytes are out
    r.now += WorksRig::kLease + 0.1;
    r.Place(1);
    r.AskAt(1, 2);
    r.Settle(1);
    EXPECT_EQ(r.At(1).book->figures().claimed, 1u);
    EXPECT_TRUE(r.last_prior.may_have_run);
    EXPECT_TRUE(r.last_prior.charged) << "its units are counted once";
    EXPECT_EQ(r.last_prior.backend, "s1");
    EXPECT_EQ(r.last_prior.zone, 1);
    EXPECT_EQ(r.last_prior.cell, 2);
    EXPECT_GE(r.last_prior.ran_age_s, WorksRig::kLease + 0.1 + 0.249)
        << "by the engine's clock, and the most of a pause";
    EXPECT_EQ(r.sent, effect == Effect::kUnsafe ? 1 : 2);
    if (effect == Effect::kUnsafe) {
      EXPECT_EQ(r.At(1).answers.at(0).status, 502);
      r.AskAt(1, 3);
      r.Settle(1);
      EXPECT_EQ(r.At(1).answers.back().status, 502) << "the same for whoever comes";
      EXPECT_EQ(r.At(1).answers.back().why, "recorded");
    }
  }
}

TEST(Book, AnIntentThatNeverWentOutIsNoHindranceWhereItIsKnown) {
  WorksRig r(2, Effect::kUnsafe);
  r.AskAt(0, 1);
  r.Settle(0);
  r.Outcome(0, 0, false);  // known not to have run
  r.Settle(0);
  EXPECT_EQ(r.Stored()->standing, Standing::kFree);
  r.AskAt(1, 2);
  r.Settle(1);
  EXPECT_FALSE(r.last_prior.may_have_run);
  EXPECT_EQ(r.sent, 2);
}

TEST(Book, WhoWakesAfterItsWorkWasClaimedSendsNothing) {
  WorksRig r(2, Effect::kUnsafe);
  r.AskAt(0, 1);
  r.Execute(0), r.Deliver(0);  // read up, and the intent is on its way
  double paused_at = r.now;
  r.now += WorksRig::kLease + 0.1;
  r.Place(1);
  r.AskAt(1, 2);
  r.Settle(1);
  EXPECT_EQ(r.sent, 1);
  r.Outcome(1, 0, true);
  r.Settle(1);
  r.Settle(
      0);  // the intent comes to the engine now: the place is no longer its own, and the record has changed
  EXPECT_EQ(r.sent, 1);
  ASSERT_EQ(r.At(0).answers.size(), 1u);
  EXPECT_EQ(r.At(0).answers[0].body, "effect 1") << "its client hears the one outcome";
  EXPECT_EQ(r.At(0).book->figures().lost, 1u);
  (void)paused_at;
}

TEST(Book, AnAnswerOfOneThatIsNotSureWaitsForItsRecord) {
  WorksRig r(2, Effect::kKeyed);
  r.AskAt(0, 1);
  r.Settle(0);
  r.now += 0.95 * WorksRig::kLease;  // past its own margin, and its place still stands
  r.Outcome(0, 0, true);
  EXPECT_TRUE(r.At(0).answers.empty());
  r.Place(0);
  r.now += 0.3;
  r.Tick(0);
  r.Settle(0);
  ASSERT_EQ(r.At(0).answers.size(), 1u);
  EXPECT_EQ(r.At(0).answers[0].status, 200);
}

// What can't be recorded in its client's time is not kept from it for longer.
TEST(Book, AHeldAnswerIsNotHeldForEver) {
  for (double step : {0.01, 0.4}) {
    WorksRig r(2, Effect::kKeyed);
    r.AskAt(0, 1);
    r.Settle(0);
    r.now += 0.95 * WorksRig::kLease;
    r.Outcome(0, 0, true);
    EXPECT_TRUE(r.At(0).answers.empty());
    double up = 100 + 10;  // when its time is up
    while (r.now < up) {
      double due = r.At(0).book->NextDue();
      ASSERT_LE(due, up);
      r.now = std::max(r.now + step, due);
      r.Tick(0);
    }
    ASSERT_EQ(r.At(0).answers.size(), 1u);
    EXPECT_EQ(r.At(0).answers[0].status, 502);
  }
}

TEST(Book, OneThatWasClaimedMeanwhileGivesTheClaimantsAnswer) {
  WorksRig r(2, Effect::kUnsafe);
  r.AskAt(0, 1);
  r.Settle(0);
  r.now += WorksRig::kLease + 0.1;
  r.Place(1);
  r.AskAt(1, 2);
  r.Settle(1);
  EXPECT_EQ(r.At(1).answers.at(0).status, 502);
  r.Place(0);  // awake again, in its place
  r.At(0).sure_until = 0;
  r.Outcome(0, 0, true);
  EXPECT_TRUE(r.At(0).answers.empty());
  r.At(0).sure_until = r.now + 1;
  r.now += 0.3;
  r.Tick(0);
  r.Settle(0);
  ASSERT_EQ(r.At(0).answers.size(), 1u);
  EXPECT_EQ(r.At(0).answers[0].status, 502) << "as whoever asked has been told";
}

TEST(Book, WithoutTheEnginesWord) {
  for (Effect effect : {Effect::kSafe, Effect::kKeyed, Effect::kUnsafe}) {
    WorksRig r(1, effect);
    r.AskAt(0, 1);
    r.now += 0.2;
    r.Tick(0);
    if (effect == Effect::kSafe) {
      EXPECT_EQ(r.At(0).sends.size(), 1u) << "goes on without the promises";
      EXPECT_FALSE(r.last_prior.recorded);
    } else {
      ASSERT_EQ(r.At(0).answers.size(), 1u);
      EXPECT_EQ(r.At(0).answers[0].status, 503);
      EXPECT_EQ(r.At(0).answers[0].why, "no-engine");
    }
  }
}

TEST(Book, WithoutAPlaceOfItsOwnNothingIsSent) {
  WorksRig r(1, Effect::kUnsafe);
  r.At(0).sure_until = 0;
  r.AskAt(0, 1);
  r.Settle(0);
  EXPECT_EQ(r.sent, 0);
  ASSERT_EQ(r.At(0).answers.size(), 1u);
  EXPECT_EQ(r.At(0).answers[0].status, 503);
}

TEST(Book, NobodyComesBack) {
  WorksRig r(3, Effect::kUnsafe);
  r.AskAt(0, 1);
  r.Settle(0);
  std::string boot = r.At(0).boot;
  r.now += WorksRig::kLease + 0.1;
  r.Place(1), r.Place(2);
  int closes = 0;
  for (int i : {1, 2}) {
    Decisions out;
    r.At(i).book->OnGone(
        r.now, boot, [i](const std::string&) { return i == 2; }, &out);
    r.Do(i, std::move(out));
    r.Settle(i);
  }
  r.now += 20;
  r.Place(1), r.Place(2);
  for (int i : {1, 2}) {
    r.Tick(i);
    r.Settle(i);
    closes += static_cast<int>(r.At(i).book->figures().closed);
  }
  EXPECT_EQ(closes, 1) << "by the one to which it falls";
  EXPECT_EQ(r.Stored()->standing, Standing::kFree);
  EXPECT_TRUE(r.Stored()->MayHaveRun()) << "and nothing of what was tried is forgotten";
  EXPECT_EQ(r.store.Take(shared::Range("open/"), r.now).entries.size(), 0u);
}

// Each call of a work's life, and of a second client's at another gateway, fails in each way at each place:
// one final answer each, and what may have been done is settled by reading.
TEST(Book, TheNthCallFailsInEachWay) {
  enum Way { kNotDone, kMaybeNot, kMaybeDone, kNothing, kNothingDone, kWays };
  int settled = 0;
  for (Effect effect : {Effect::kSafe, Effect::kKeyed, Effect::kUnsafe}) {
    for (int way = 0; way < kWays; ++way) {
      for (int n = 1; n <= 12; ++n) {
        SCOPED_TRACE(testing::Message()
                     << "class " << static_cast<int>(effect) << " way " << way << " call " << n);
        WorksRig r(2, effect, 5);
        int calls = 0;
        auto run = [&](int i, size_t answers) {
          for (int step = 0; step < 400 && r.At(i).answers.size() < answers; ++step) {
            auto& g = r.At(i);
            if (!g.calls.empty()) {
              if (++calls == n) {
                auto under = std::move(g.calls.front());
                g.calls.pop_front();
                bool writes = under.ask.call.kind == shared::CallKind::kCommit;
                if (way == kMaybeDone || way == kNothingDone) r.store.Take(under.ask.call, r.now);
                shared::Reply reply = way == kNotDone || !writes
                                          ? shared::NotDone(shared::Fault::kUnreachable, "test")
                                          : shared::MaybeDone(shared::Fault::kUnreachable, "test");
                if (way == kNotDone || way == kMaybeNot || way == kMaybeDone) {
                  Decisions out;
                  g.book->OnReply(r.now, under.ask.number, reply, &out);
                  r.Do(i, std::move(out));
                }
                continue;
              }
              r.Execute(i), r.Deliver(i);
              continue;
            }
            if (!g.sends.empty()) {
              if (!g.sends[0].out) r.Go(i, 0);
              r.Outcome(i, 0, true);
              continue;
            }
            r.now += 0.05;
            r.Place(0), r.Place(1);
            r.Tick(i);
          }
          EXPECT_EQ(r.At(i).answers.size(), answers);
        };
        r.AskAt(0, 1);
        run(0, 1);
        r.AskAt(1, 2);
        run(1, 1);
        if (effect == Effect::kUnsafe) {
          EXPECT_LE(r.sent, 1);
        }
        if (effect != Effect::kSafe) {
          EXPECT_LE(r.effects, 1) << "no outcome was lost to who came next";
        }
        if (r.At(0).answers[0].status == 200 && r.At(1).answers[0].status == 200 && effect != Effect::kSafe) {
          EXPECT_EQ(r.At(0).answers[0].body, r.At(1).answers[0].body);
        }
        for (int step = 0; step < 400; ++step) {  // what is left is recorded, and nothing stays open
          r.now += 0.05;
          r.Place(0), r.Place(1);
          for (int i : {0, 1}) r.Tick(i), r.Settle(i);
        }
        EXPECT_EQ(r.At(0).book->open(), 0u);
        EXPECT_EQ(r.At(1).book->open(), 0u);
        settled += r.At(0).answers[0].status == 200;
      }
    }
  }
  EXPECT_GT(settled, 100);
}

}  // namespace
}  // namespace ivygw::ledger
