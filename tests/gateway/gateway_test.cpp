// The gateway over loopback sockets: each trap that its code guards against, seen from outside.
#include <memory>

#include "net/counter_client.h"
#include "net/discovery_client.h"
#include "rig/counter_calls.h"
#include "rig/site_rig.h"

namespace {

using namespace rig;  // NOLINT

TEST(Gateway, PassesRequestAndAnswerOnUnchangedAndKeepsConnections) {
  Backend backend(
      [](const Message& m, Wire&) { return Ok("echo:" + m.body, "X-Note: kept\r\nX-Cost-Units: 2\r\n"); });
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
  Message answer = Ask(*client, Request("send-lead?a=b%20c", 1, 3000, "X-Own: 7\r\n", "the body"));
  EXPECT_EQ(answer.status(), 200);
  EXPECT_EQ(answer.body, "echo:the body");
  EXPECT_EQ(answer.Header("X-Note"), "kept");
  Message sent = backend.request(0);
  EXPECT_EQ(sent.head.substr(0, sent.head.find("\r\n")), "POST /send-lead?a=b%20c HTTP/1.1");
  EXPECT_EQ(sent.body, "the body");
  EXPECT_EQ(sent.Header("X-Own"), "7");
  EXPECT_FALSE(sent.Header("Request-Id").empty());
  EXPECT_EQ(sent.head.find("Request-Timeout-Ms"), sent.head.rfind("Request-Timeout-Ms"));
  EXPECT_LE(std::atoi(sent.Header("Request-Timeout-Ms").c_str()), 3000);
  EXPECT_EQ(Ask(*client, Request("save-scenario", 1, 3000, "", "b")).status(), 200);
  EXPECT_FALSE(backend.request(1).Header("Idempotency-Key").empty());
  EXPECT_EQ(Ask(*client, Request("quote")).status(), 200);
  EXPECT_EQ(backend.connections(), 1);
}

TEST(Gateway, AnswersBadInputItselfAndGoesOn) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}));
  auto without = [](std::string request, const std::string& header) {
    size_t at = request.find(header + ":");
    return request.erase(at, request.find("\r\n", at) + 2 - at);
  };
  auto with = [](std::string request, const std::string& from, const std::string& to) {
    return request.replace(request.find(from), from.size(), to);
  };
  std::string good = Request("quote"), big(64 * 1024 + 1, 'b'), ready = "GET /-/ready HTTP/1.1\r\n";
  std::vector<std::pair<std::string, int>> cases = {
      {"no http at all\r\n\r\n", 400},
      {"GET /quote HTTP/9.9\r\n\r\n", 400},
      {without(good, "Request-Id"), 400},
      {without(good, "X-Tier"), 400},
      {without(good, "Cookie"), 400},
      {without(good, "Request-Timeout-Ms"), 400},
      {without(good, "X-Call-Terms"), 400},
      {without(Request("save-scenario"), "Idempotency-Key"), 400},
      {with(good, "business", "unheard-of"), 400},
      {with(good, "/quote", "/unheard-of"), 400},
      {with(good, "client=00000000b4d65521", "client=xyz"), 400},
      {with(good, "Ms: 3000", "Ms: soon"), 400},
      {with(good, "Ms: 3000", "Ms: -5"), 400},
      {with(good, "units=1", "units=nan"), 400},
      {with(good, "units=1", "units=-1"), 400},
      {with(good, "spread=1", "spread=0"), 400},
      {with(good, "spread=1", "spread=3"), 400},
      {with(good, "spread=1", "spread=1.5"), 400},
      {with(good, "units=1", "units=8.5"), 400},
      {with(good, "units=1", "units=1,units=2"), 400},
      {with(good, "first=0", "first=2"), 400},
      {with(good, "first=0", "first=-1"), 400},
      {with(good, ",first=0", ""), 400},
      {with(good, "Ms: 3000", "Ms: 9999999"), 400},
      {with(good, "client=00000000b4d65521", "client=0000000200000000"), 400},
      {with(good, "client=00000000b4d65521", "client=1; client=2"), 400},
      {with(good, "X-Tier: business", "X-Tier: business\r\nX-Tier: small"), 400},
      {with(good, "Host", "Request-Id: 7\r\nHost"), 400},
      {std::string(100, '\n') + good, 400},
      {with(good, "GET", "POST"), 405},
      {"GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n", 404},
      {ready + "X-Large: " + std::string(40000, 'h') + "\r\n\r\n", 431},
      {ready + "Content-Length: many\r\n\r\n", 400},
  };
  for (const auto& [text, status] : cases) {
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, text).status(), status) << text.substr(0, 300);
  }
  // Framing that two readers may take two ways: an error and a close, and nothing of it is passed on.
  std::string post = Request("send-lead"), hidden = Request("send-lead");
  std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n", chunked = "chunked\r\n";
  std::string coding = "Transfer-Encoding: ";
  post.resize(post.size() - 2);
  for (const std::string& lines : {length + coding + chunked,
                                   coding + chunked + length,
                                   coding + "identity\r\n" + length,
                                   length + coding + "identity\r\n",
                                   coding + "gzip, " + chunked,
                                   coding + "chunked, gzip\r\n",
                                   coding + "identity\r\n",
                                   coding + "gzip\r\n" + coding + chunked,
                                   coding + "\r\n",
                                   length + length,
                                   length + "Content-Length: 3\r\n",
                                   std::string("Content-Length: -1\r\n"),
                                   std::string("Content-Length: 3, 3\r\n"),
                                   std::string("Content-Length: +3\r\n"),
                                   std::string("Content-Length: 18446744073709551617\r\n"),
                                   std::string("X-Odd: a\r\n folded\r\n"),
                                   std::string("X-Odd: a\r\n\tfolded\r\n"),
                                   std::string("X-Odd : a\r\n"),
                                   std::string("X-Odd\r\n"),
                                   std::string("X-Odd: a\nb: c\r\n"),
                                   "Content-Length : 3\r\n" + length}) {
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, post + lines + "\r\n" + hidden).status(), 400) << lines;
    EXPECT_TRUE(client->Ended()) << lines;
  }
  std::string chunk = post + coding + chunked + "\r\n";
  for (std::string body : {"zz\r\n", "-1\r\n", "ffffffffffffffffff\r\n", "3\r\nabcd\r\n"}) {
    EXPECT_EQ(Ask(*site.gateway->Connect(), chunk + body + hidden).status(), 400) << body;
  }
  EXPECT_EQ(Ask(*site.gateway->Connect(), chunk + "ffffffff\r\n").status(), 413);
  EXPECT_EQ(Ask(*site.gateway->Connect(), post + "Content-Length: 62914560\r\n\r\n" + big).status(), 413);
  EXPECT_EQ(backend.requests.count(), 0);
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, without(good, "X-Tier")).status(), 400);
  EXPECT_EQ(Ask(*client, good).status(), 200) << "the framing was sound, so the connection goes on";
}

// An id is another request's until that has its answer and nothing of it is out.
TEST(Gateway, RefusesAnIdThatIsOpen) {
  Event go;
  Backend backend([&](const Message& m, Wire&) { return go.Wait(), Ok(m.body); });
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect(), other = site.gateway->Connect();
  std::string request = Request("send-lead", 1, 3000, "", "own");
  client->Write(request);
  EXPECT_TRUE(backend.requests.Wait());
  EXPECT_EQ(Ask(*other, request).status(), 400);
  go.Add();
  EXPECT_EQ(client->Read().body, "own");
  EXPECT_EQ(Ask(*other, request).status(), 200);
  EXPECT_EQ(backend.requests.count(), 2);
}

// Those that say nothing, only empty lines, or never all are closed by the gateway itself.
TEST(Gateway, ClosesThoseThatNeverSendARequest) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}));
  auto kept = site.gateway->Connect();
  EXPECT_EQ(Ask(*kept, Request("quote")).status(), 200);
  std::vector<std::unique_ptr<Wire>> bad;
  for (std::string text : {std::string(), std::string("\r\n\r\n"), Request("quote").substr(0, 60),
                           Request("send-lead", 1, 3000, "Content-Length: 99\r\n") + "half"}) {
    bad.push_back(site.gateway->Connect());
    bad.back()->Write(text);
  }
  kept->Write(Request("quote").substr(0, 60));
  auto begin = std::chrono::steady_clock::now();
  for (auto& wire : bad) EXPECT_TRUE(wire->Ended());
  EXPECT_TRUE(kept->Ended());
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(kLimitS / 2))
      << "by its own doing";
}

// Half requests fill the table no more than idle connections do.
TEST(Gateway, MakesRoomAmongHalfRequests) {
  Backend backend(Says(Ok("x")));
  json config = Config(0, 0);
  config["limits"]["sockets"] = 64;
  Site site(json::array({Entry("s1", backend.port())}), config);
  std::vector<std::unique_ptr<Wire>> half;
  for (int i = 0; i < 80; ++i) {
    half.push_back(site.gateway->Connect());
    half.back()->Write(Request("quote").substr(0, 60));
  }
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
}

// The connections that clients may hold follow from the memory as well.
TEST(Gateway, BoundsItsMemoryByTheLimit) {
  json config = Config(0, 0);
  config["limits"]["memory_mb"] = 16;
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}), config);
  std::string half = Request("send-lead", 1, 3000, "Content-Length: 65536\r\n") + std::string(65000, 'b');
  std::vector<std::unique_ptr<Wire>> clients;
  for (int i = 0; i < 400; ++i) {
    clients.push_back(site.gateway->Connect());
    clients.back()->Write(half);
  }
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
  EXPECT_LT(site.gateway->peak_mb(), 16);
}

// Bytes that come before the answer to the request before them are the next request.
TEST(Gateway, LosesNoPipelinedBytes) {
  Backend backend([](const Message& m, Wire&) { return Ok(m.body); });
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  std::string third = Request("send-lead", 1, 3000, "", "three");
  client->Write(Request("send-lead", 1, 3000, "", "one") + Request("send-lead", 1, 3000, "", "two") +
                third.substr(0, 40));
  EXPECT_EQ(client->Read().body, "one");
  EXPECT_EQ(client->Read().body, "two");
  client->Write(third.substr(40));
  EXPECT_EQ(client->Read().body, "three");
}

TEST(Gateway, NeverSendsAnUnsafeRequestAgainOnceItMayHaveRun) {
  std::vector<std::string> ends = {"", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                                   "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "garbage\r\n\r\n"};
  for (const std::string& end : ends) {
    Backend backend([end](const Message&, Wire& wire) {
      wire.Write(end);
      return std::string();
    });
    Site site(json::array({Entry("s1", backend.port())}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 502) << end;
    EXPECT_EQ(backend.requests.count(), 1) << end;
  }
}

// An answer that can't be read has failed and may have run, and costs no more memory than a good one.
TEST(Gateway, OutlivesAnswersThatCannotBeRead) {
  std::string many, lines(100000, 'h'), ok = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 100; ++i) many += "HTTP/1.1 103 Early Hints\r\n\r\n";
  for (std::string spoilt :
       {ok + "Content-Length: 3000000000\r\n\r\nand more", ok + "X-Endless: " + lines, std::string(200, '\1'),
        ok + "Content-Length: -4\r\n\r\nbody", ok + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
        ok + "Content-Length: 4\r\nTransfer-Encoding: identity\r\n\r\nbody",
        ok + "Content-Length: 4, 4\r\n\r\nbody", many + Ok("x")}) {
    Event given_up;
    Backend backend([&](const Message&, Wire& wire) {
      wire.Write(spoilt);
      if (wire.Ended()) given_up.Add();
      return std::string();
    });
    json config = Config(0, 0);
    config["limits"]["memory_mb"] = 32;
    Site site(json::array({Entry("s1", backend.port())}), config);
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, Request("send-lead", 1, 1000)).status(), 502) << spoilt.substr(0, 99);
    EXPECT_TRUE(given_up.Wait());
    EXPECT_LT(site.gateway->peak_mb(), 32) << spoilt.substr(0, 99);
  }
}

TEST(Gateway, TakesOnlyNotStartedAsTurnedAway) {
  Backend full(Says("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"));
  Site site(json::array({Entry("s1", full.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 503) << "it never ran, so asking again is harmless";
}

// What could not be connected to has not run, so another backend may get even an unsafe request.
TEST(Gateway, TriesElsewhereWhatCouldNotConnect) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("dead", DeadPort()), Entry("live", backend.port())}));
  auto client = site.gateway->Connect();
  for (int i = 0; i < 6; ++i) EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 200);
  EXPECT_EQ(backend.requests.count(), 6);
}

// A kept connection that the backend has ended, or written to unasked, takes no further request.
TEST(Gateway, ReusesNoStaleConnection) {
  for (std::string after : {"close", "bytes", "header"}) {
    Event closed;
    Backend backend([&](const Message&, Wire& wire) {
      if (after == "header") return Ok("x", "Connection: close\r\n");
      wire.Write(Ok("x") + (after == "bytes" ? "unasked" : ""));
      if (after == "bytes") {
        if (wire.Ended()) closed.Add();
      }
      return std::string();
    });
    Site site(json::array({Entry("s1", backend.port())}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 200) << after;
    if (after == "bytes") {
      EXPECT_TRUE(closed.Wait());
    }
    // The end may cross the next request; from the one after it on the connection is known to be over.
    if (after == "close") Ask(*client, Request("quote"));
    EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 200) << after;
  }
}

TEST(Gateway, ClosesKeptConnectionsBeforeTheIdleLimit) {
  Event closed;
  Backend backend([&](const Message&, Wire& wire) {
    wire.Write(Ok("x"));
    if (wire.Ended()) closed.Add();
    return std::string();
  });
  json config = Config(0, 0);
  config["settings"]["limits"]["conn-idle-s"] = 0.5;
  Site site(json::array({Entry("s1", backend.port())}), config);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
  EXPECT_TRUE(closed.Wait());
}

TEST(Gateway, GivesUpASilentBackendInTimeAndClosesItsConnection) {
  Event given_up;
  Backend backend(Hangs(&given_up));
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, Request("send-lead", 1, 400)).status(), 502);
  EXPECT_TRUE(given_up.Wait());
  EXPECT_EQ(backend.requests.count(), 1);
}

// What is given up is closed before another attempt goes out: never two at once.
TEST(Gateway, ClosesAnAttemptBeforeItSendsTheNext) {
  Event given_up;
  std::atomic<int> seen{0};
  auto answer = [&](const Message&, Wire& wire) {
    if (seen++ == 0) {
      if (wire.Ended()) given_up.Add();
      return std::string();
    }
    return given_up.Wait() ? Ok("second") : std::string();
  };
  Backend one(answer), two(answer);
  Site site(json::array({Entry("s1", one.port()), Entry("s2", two.port())}));
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).body, "second");
}

// A connection that comes up after its attempt was given up carries nothing.
TEST(Gateway, SendsNothingOnALateConnection) {
  sockaddr_in at;
  int fd = Loopback(&at, 0);
  ASSERT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
  ASSERT_EQ(listen(fd, 0), 0);
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  auto filler = Wire::To(ntohs(at.sin_port));  // takes the only place in the listener's queue
  {
    Site site(json::array({Entry("s1", ntohs(at.sin_port))}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 503);
  }
  // The gateway has ended, so all that it ever sent is here.
  pollfd ready{fd, POLLIN, 0};
  for (int i = 0; i < 20 && poll(&ready, 1, 0) > 0; ++i) {
    Wire late(accept(fd, nullptr, nullptr));
    filler->Close();
    late.More();
    EXPECT_EQ(late.unread, "");
  }
  close(fd);
}

TEST(Gateway, CancelsWhatIsOutWhenItsClientHasGone) {
  Event given_up;
  Backend backend(Hangs(&given_up));
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  client->Write(Request("send-lead", 1, 60000));
  EXPECT_TRUE(backend.requests.Wait());
  client->Close();
  EXPECT_TRUE(given_up.Wait());
}

// The module's refusal comes at once, with the time after which to come back.
TEST(Gateway, RefusesBeyondTheQuotaAtOnceWithRetryAfter) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  Message last;
  for (int i = 0; i < 10 && last.status() != 429; ++i) {
    std::string request = Request("quote", 1, 60000);
    request.replace(request.find("X-Tier: business"), 16, "X-Tier: small");
    last = Ask(*client, request);
  }
  EXPECT_EQ(last.status(), 429);
  EXPECT_GT(std::atof(last.Header("Retry-After").c_str()), 0);
}

// What claims next to nothing is charged like the least that a request can cost.
TEST(Gateway, ChargesAUnitAtTheLeast) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  int served = 0, refused = 0;
  auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 40 && refused == 0; ++i) {
    std::string request = Request("quote", 1, 60000);
    request.replace(request.find("X-Tier: business"), 16, "X-Tier: small");
    request.replace(request.find("units=1,"), 8, i % 2 == 0 ? "units=1e-320," : "units=0.001,");
    int status = Ask(*client, request).status();
    served += status == 200;
    refused += status == 429;
  }
  double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  EXPECT_EQ(refused, 1);
  EXPECT_LE(served, 3 + took) << "a store of 2 that gains one a second";
}

// If the module says nothing the answer still comes in time, and promises harmlessness only where that is
// known.
TEST(Gateway, AnswersInTimeForAModuleThatIsSilent) {
  Event given_up;
  Backend backend(Hangs(&given_up));
  Site site(json::array({Entry("s1", backend.port())}), {}, IVYGW_SILENT);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote", 1, 200)).status(), 503);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("send-lead", 1, 200)).status(), 503);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("save-scenario", 1, 200)).status(), 504);
  EXPECT_TRUE(given_up.Wait()) << "what is out at the answer is given up";
}

TEST(Gateway, FollowsDiscovery) {
  Backend one(Says(Ok("one"))), two(Says(Ok("two")));
  Site site(json::array({Entry("a", one.port())}));
  auto client = site.gateway->Connect();
  auto told = [&] {
    EXPECT_TRUE(site.discovery.Told());
    return Ask(*client, Request("quote")).body;
  };
  EXPECT_EQ(told(), "one");
  site.discovery.Set(json::array({Entry("b", two.port())}));
  EXPECT_EQ(told(), "two") << "what a whole list does not name is gone";
  site.discovery.Set(json::array({Entry("b", one.port())}));
  EXPECT_EQ(told(), "one") << "an address may change";
  site.discovery.Set(json::array({Entry("a", two.port()), Entry("b", one.port(), "leaving")}), false,
                     json::array({Entry("a", two.port()), Entry("b", one.port(), "leaving")}));
  EXPECT_EQ(told(), "two") << "nothing new to one that leaves";
  site.discovery.Set(json::array({Entry("a", two.port())}), true, {}, "no list");
  EXPECT_EQ(told(), "two") << "garbage changes nothing, and is asked for again";
}

// An agent's connection that goes silent is given up and asked anew well before what it holds counts as told.
TEST(Gateway, NoticesAWatchThatGoesSilent) {
  Backend one(Says(Ok("one"))), two(Says(Ok("two")));
  std::atomic<int> asked{0}, wait_ms{0};
  Event renewed;
  Counter counter([](const std::string&, double) { return Bulk("0"); });
  Server agent([&](Wire& wire) {
    for (Message ask = wire.Read(); ask.whole; ask = wire.Read()) {
      size_t wait = ask.head.find("wait_ms=");
      int turn = ++asked;
      if (turn == 2 && wait != std::string::npos) wait_ms = std::atoi(ask.head.c_str() + wait + 8);
      if (turn == 2) return void(wire.Ended());  // the first watch is never answered
      if (turn > 3) renewed.Add();
      json entries = json::array({turn == 1 ? Entry("a", one.port()) : Entry("b", two.port())});
      wire.Write(Ok(json{{"index", turn}, {"snapshot", true}, {"endpoints", entries}}.dump()));
      if (turn > 3) return void(wire.Ended());
    }
  });
  Process gateway(Config(agent.port(), counter.port()));
  EXPECT_TRUE(renewed.Wait());
  EXPECT_EQ(Ask(*gateway.Connect(), Request("quote")).body, "two");
  EXPECT_GT(wait_ms, 0);
  EXPECT_LE(wait_ms, 2000);
  agent.Stop();
}

TEST(Gateway, ServesByTheKnownListWhileDiscoveryIsSilent) {
  Backend backend(Says(Ok("x")));
  Discovery discovery;
  discovery.Silence(true);
  Counter counter([](const std::string&, double) { return Bulk("0"); });
  Process gateway(Config(discovery.port(), counter.port(), json::array({Entry("s1", backend.port())})));
  auto client = gateway.Connect();
  EXPECT_EQ(Ask(*client, Request("quote")).status(), 200);
  for (int i = 0; i < 3000; ++i) {  // ready without discovery, once its first call has failed
    if (Ask(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(Ask(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
}

TEST(Gateway, ServesWithACounterThatFails) {
  for (std::string answer :
       {"", "-BUSY full\r\n", "-ERR no\r\n", "garbage\r\n", "$999999999\r\n", "$3\r\nabc\r\n"}) {
    Backend backend(Says(Ok("x")));
    Discovery discovery;
    discovery.Set(json::array({Entry("s1", backend.port())}));
    Counter counter([&](const std::string&, double) { return answer; });
    Process gateway(Config(discovery.port(), counter.port()));
    EXPECT_TRUE(discovery.Told());
    auto client = gateway.Connect();
    for (int i = 0; i < 8; ++i) EXPECT_EQ(Ask(*client, Request("quote", 2)).status(), 200) << answer;
    EXPECT_GT(counter.calls.count(), 0) << answer;
  }
}

// A counter answers when a call has had its turn. What it says after its time-out counts all the same.
TEST(Gateway, TakesWhatTheCounterSaysLate) {
  Event answered;
  Counter slow([&](const std::string&, double) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    answered.Add();
    return Bulk("1000000000");
  });
  Backend backend(Says(Ok("x")));
  Discovery discovery;
  discovery.Set(json::array({Entry("s1", backend.port())}));
  json config = Config(discovery.port(), slow.port());
  config["settings"]["specifics"]["counter-timeout-s"] = 1.0;
  config["settings"]["tiers-of-service"][0]["store-size"] = 12000000;  // a window of 11 days
  Process gateway(config);
  EXPECT_TRUE(discovery.Told());
  auto client = gateway.Connect();
  EXPECT_EQ(Ask(*client, Request("quote", 2)).status(), 200);
  EXPECT_TRUE(answered.Wait());
  int status = 0;
  for (int i = 0; i < 40 && status != 429; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
    status = Ask(*client, Request("quote", 2)).status();
  }
  EXPECT_EQ(status, 429) << "others have used all that there is";
}

TEST(Gateway, OnSigtermFinishesWhatItHoldsAndServesWhatStillComes) {
  Event held, go;
  Backend backend([&](const Message&, Wire&) {
    held.Add();
    go.Wait();
    return Ok("x");
  });
  Backend other([&](const Message& m, Wire&) { return held.Add(), go.Wait(), Ok(m.body); });
  Site site(json::array({Entry("s1", backend.port()), Entry("s2", other.port())}));
  auto client = site.gateway->Connect(), later = site.gateway->Connect();
  client->Write(Request("send-lead", 1, 3000));
  EXPECT_TRUE(held.Wait());
  std::string begun = Request("save-scenario");
  later->Write(begun.substr(0, 50));
  site.gateway->Signal(SIGTERM);
  auto probe = site.gateway->Connect();
  for (int i = 0; i < 3000 && Ask(*probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200; ++i) {
  }
  // A new connection, and one that was there before. Like a client, it asks again if the gateway's closing of
  // idle connections has crossed its request.
  later->Write(begun.substr(50));
  EXPECT_TRUE(held.Wait(2));
  std::unique_ptr<Wire> fresh;
  for (int i = 0; i < 50 && held.count() < 3; ++i) {
    fresh = site.gateway->Connect();
    fresh->Write(Request("save-scenario"));
    while (held.count() < 3 && fresh->Open()) std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  ASSERT_NE(fresh, nullptr);
  go.Add();
  for (Wire* wire : {client.get(), fresh.get(), later.get()}) {
    Message answer = wire->Read();
    EXPECT_EQ(answer.status(), 200);
    EXPECT_EQ(answer.Header("Connection"), "close");
    EXPECT_TRUE(wire->Ended());
  }
  EXPECT_EQ(site.gateway->Exit(), 0);
}

// SIGHUP: the file is read again, and discovery and counter are those that it names now. The list of before
// serves until the new agent has given its own; a file that can't be read changes nothing.
TEST(Gateway, MovesToOtherAddressesOnSighup) {
  Backend one(Says(Ok("one"))), two(Says(Ok("two")));
  Counter counter([](const std::string&, double) { return Bulk("0"); });
  Discovery discovery;
  discovery.Silence(true);
  discovery.Set(json::array({Entry("s2", two.port())}));
  Site site(json::array({Entry("s1", one.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, Request("quote", 2)).body, "one");
  site.gateway->Reload("{");
  EXPECT_EQ(Ask(*client, Request("quote", 2)).body, "one");
  json config = Config(discovery.port(), counter.port());
  for (int i = 0; i < 3; ++i) site.gateway->Reload(config.dump());
  EXPECT_TRUE(discovery.asked.Wait()) << "at once";
  EXPECT_EQ(Ask(*client, Request("quote", 2)).body, "one") << "the list as last known";
  discovery.Silence(false);
  EXPECT_TRUE(discovery.Told());
  EXPECT_EQ(Ask(*client, Request("quote", 2)).body, "two") << "the new agent's whole list";
  for (int i = 0; i < 100 && counter.calls.count() == 0; ++i) Ask(*client, Request("quote", 2));
  EXPECT_GT(counter.calls.count(), 0);
  site.gateway->Signal(SIGHUP);
  site.gateway->Signal(SIGTERM);
  EXPECT_EQ(site.gateway->Exit(), 0);
  EXPECT_NE(site.gateway->rest.find("kept as it was"), std::string::npos);
}

// More connections than there are descriptors: the longest idle make room, and what waits is taken later.
TEST(Gateway, SurvivesRunningOutOfDescriptors) {
  Backend backend(Says(Ok("x")));
  json config = Config(0, 0);
  config["limits"]["sockets"] = 64;
  for (rlim_t limit : {64, 16}) {  // within its budget, and with less than that
    Site site(json::array({Entry("s1", backend.port())}), config, IVYGW, limit);
    std::vector<std::unique_ptr<Wire>> idle;
    for (int i = 0; i < 60; ++i) idle.push_back(site.gateway->Connect());
    auto client = site.gateway->Connect();
    if (limit < 64) idle.clear();
    EXPECT_NE(Ask(*client, Request("quote")).status(), 0);
    idle.clear();
    int status = 0;
    for (int i = 0; i < 100 && status != 200; ++i)
      status = Ask(*site.gateway->Connect(), Request("quote")).status();
    EXPECT_EQ(status, 200);
  }
}

TEST(Gateway, SaysInOneLineWhatSettingIsMissing) {
  json missing = Config(1, 1), bad = Config(1, 1), list = Config(1, 1);
  missing["settings"]["invariants"].erase("cold-from");
  bad["listen"] = "nowhere";
  list["known"] = {{"index", "x"}};
  std::vector<std::pair<std::string, std::string>> cases = {{missing.dump(), "invariants.cold-from"},
                                                            {bad.dump(), "listen=nowhere"},
                                                            {list.dump(), "known"},
                                                            {"{", "JSON"}};
  for (const auto& [text, word] : cases) {
    Process gateway(text, IVYGW, 0);
    EXPECT_NE(gateway.Exit(), 0);
    EXPECT_NE(gateway.line.find(word), std::string::npos) << gateway.line;
    EXPECT_EQ(gateway.rest, "") << "one line";
  }
}

// Names of one hash get ids of their own, the same whatever order they come in.
TEST(BackendIds, TellsNamesOfOneHashApart) {
  ivygw::BackendIds one([](std::string_view) { return 7u; }), two([](std::string_view) { return 7u; });
  micadock::SiteSettings site;
  json ab = {{"index", 1}, {"snapshot", true}, {"endpoints", {Entry("a", 1), Entry("b", 2)}}};
  json ba = {{"index", 1}, {"snapshot", true}, {"endpoints", {Entry("b", 2), Entry("a", 1)}}};
  auto first = ivygw::ParseList(ab, site, &one), second = ivygw::ParseList(ba, site, &two);
  EXPECT_NE(first.entries[0].backend.id, first.entries[1].backend.id);
  EXPECT_EQ(first.entries[0].backend.id, second.entries[1].backend.id);
  EXPECT_EQ(first.entries[1].backend.id, second.entries[0].backend.id);
}

using Calls = ivygw::CounterCalls;

// An answer past its call's time-out is matched to that call, not to the next one on the connection.
TEST(CounterClient, MatchesAnswersInOrderAlsoLateOnes) {
  Event go;
  Counter counter([&](const std::string&, double amount) {
    if (amount == 1) go.Wait();
    return Bulk(std::to_string(amount));
  });
  Calls calls(counter.port(), 0.5);
  calls.Call(11, 1, 5);
  calls.Until([&] { return calls.answers.size() == 1; });
  EXPECT_EQ(calls.answers[0].result, micadock::Result::kTimeout) << "it may have been added";
  go.Add();
  for (int i = 0; i < 20; ++i) {
    calls.Call(20 + i, 2 + i, 5);
    calls.Until([&] { return calls.answers.size() == 2 + static_cast<size_t>(i); });
    if (calls.answers.back().result != micadock::Result::kOk) continue;
    EXPECT_EQ(calls.answers.back().name, 20u + i);
    EXPECT_EQ(calls.answers.back().total, 2.0 + i);
  }
}

// Calls out when the address changes end by what the old counter says; new ones go to the new one.
TEST(CounterClient, MovesToAnotherAddressAndEndsWhatIsOut) {
  Event go;
  Counter before([&](const std::string&, double) { return go.Wait(), Bulk("7"); });
  Counter after([](const std::string&, double) { return Bulk("9"); });
  Calls calls(before.port(), 30);
  calls.Call(1, 1, 5);
  calls.Until([&] { return before.calls.count() == 1; });
  calls.client.Move({boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(after.port())});
  calls.Call(2, 1, 5);
  calls.Until([&] { return calls.answers.size() == 1; });
  EXPECT_EQ(calls.answers[0].name, 2u);
  EXPECT_EQ(calls.answers[0].total, 9);
  go.Add();
  calls.Until([&] { return calls.answers.size() == 2; });
  EXPECT_EQ(calls.answers[1].name, 1u);
  EXPECT_EQ(calls.answers[1].total, 7);
}

TEST(CounterClient, TellsWhatWasNeverAddedFromWhatMayHaveBeen) {
  Counter busy([](const std::string&, double) { return std::string("-BUSY\r\n"); });
  Calls turned_away(busy.port(), 30);
  turned_away.Call(1, 1, 5);
  turned_away.Until([&] { return turned_away.answers.size() == 1; });
  EXPECT_EQ(turned_away.answers[0].result, micadock::Result::kFull);

  Calls refused(DeadPort(), 30);
  for (int i = 0; i < 200; ++i) refused.Call(i, 1, 5);
  refused.Until([&] { return refused.answers.size() == 200; });
  for (const auto& a : refused.answers) EXPECT_EQ(a.result, micadock::Result::kConnectFailed);

  Counter broken([](const std::string&, double) { return std::string("?\r\n"); });
  Calls broke(broken.port(), 30);
  broke.Call(1, 1, 5);
  broke.Until([&] { return broke.answers.size() == 1; });
  EXPECT_EQ(broke.answers[0].result, micadock::Result::kTimeout);
}

// One answer that can't be read ends what was out on its connection, all of which may have been added, and
// nothing else: the next call goes out at once on another.
TEST(CounterClient, GoesOnAfterASpoiltAnswer) {
  std::atomic<int> seen{0};
  Counter counter([&](const std::string&, double) { return seen++ % 2 == 0 ? "$x\r\n" : Bulk("3"); });
  Calls calls(counter.port(), 30);
  for (size_t i = 0; i < 40; ++i) {
    calls.Call(i, 1, 5);
    calls.Until([&] { return calls.answers.size() == i + 1; });
    EXPECT_EQ(calls.answers[i].result, i % 2 == 0 ? micadock::Result::kTimeout : micadock::Result::kOk) << i;
  }
}

// A silent counter: what is out is bounded, every call ends, and once it is silent for long the connections
// are opened anew.
TEST(CounterClient, BoundsItsQueuesAndReconnects) {
  std::atomic<bool> silent{true};
  Counter counter([&](const std::string&, double) { return silent ? std::string() : Bulk("5"); });
  Calls calls(counter.port(), 0.05);
  for (int i = 0; i < 5000; ++i) calls.Call(i, 1, 5);
  calls.Until([&] { return calls.answers.size() == 5000; });
  EXPECT_LE(counter.calls.count(), 32 * 64);
  EXPECT_LE(counter.connections(), 32);
  silent = false;
  uint64_t name = 10000;
  calls.Until([&] {
    if (calls.answers.back().result == micadock::Result::kOk) return true;
    size_t before = calls.answers.size();
    calls.Call(++name, 1, 5);
    calls.Until([&] { return calls.answers.size() > before; });
    return calls.answers.back().result == micadock::Result::kOk;
  });
}

}  // namespace
