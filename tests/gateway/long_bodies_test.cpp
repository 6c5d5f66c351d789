// Long bodies through a running gateway, over loopback sockets: both ways, in every framing, slow, broken
// off, many at once.
#include <random>

#include "rig/site_rig.h"

namespace {

using namespace rig;  // NOLINT

std::string Long(size_t size, unsigned seed = 1) {
  std::mt19937 dice(seed);
  std::string out(size, '\0');
  for (char& c : out) c = static_cast<char>(dice());
  return out;
}

std::string InChunks(const std::string& body, size_t chunk) {
  std::string out;
  for (size_t at = 0; at < body.size(); at += chunk) {
    size_t n = std::min(chunk, body.size() - at);
    char size[24];
    std::snprintf(size, sizeof(size), "%zx;x=1\r\n", n);
    out += size + body.substr(at, n) + "\r\n";
  }
  return out + "0\r\nX-After: 1\r\n\r\n";
}

// A message whose body may be chunked or end with the connection.
Message ReadAny(Wire& wire) {
  Message m;
  size_t end;
  while ((end = wire.unread.find("\r\n\r\n")) == std::string::npos) {
    if (!wire.More()) return m;
  }
  m.head = wire.unread.substr(0, end + 2);
  wire.unread.erase(0, end + 4);
  if (m.Header("Transfer-Encoding") != "chunked") {
    std::string told = m.Header("Content-Length");
    bool to_end = told.empty() && m.head.substr(0, 5) == "HTTP/";
    size_t length = to_end ? SIZE_MAX : static_cast<size_t>(std::atoll(told.c_str()));
    while (wire.unread.size() < length) {
      if (!wire.More()) {
        m.whole = to_end;
        break;
      }
    }
    m.whole = m.whole || wire.unread.size() >= length;
    m.body = wire.unread.substr(0, length);
    wire.unread.erase(0, m.body.size());
    return m;
  }
  for (;;) {
    while ((end = wire.unread.find("\r\n")) == std::string::npos) {
      if (!wire.More()) return m;
    }
    size_t size = std::strtoul(wire.unread.c_str(), nullptr, 16);
    wire.unread.erase(0, end + 2);
    while (wire.unread.size() < size + 2) {
      if (!wire.More()) return m;
    }
    m.body += wire.unread.substr(0, size);
    wire.unread.erase(0, size + 2);
    if (size == 0) break;
  }
  m.whole = true;
  return m;
}

// A backend that reads messages in any framing and answers each by `answer`; an empty answer ends the
// connection.
class AnyBackend {
 public:
  using Answer = std::function<std::string(const Message&, Wire&)>;
  explicit AnyBackend(Answer answer)
      : server_([this, answer = std::move(answer)](Wire& wire) {
          for (;;) {
            Message request = ReadAny(wire);
            if (!request.whole) {
              if (!request.head.empty()) broken.Add();
              return;
            }
            requests.Add();
            std::string text = answer(request, wire);
            if (text.empty()) return;
            wire.Write(text);
          }
        }) {}
  int port() const { return server_.port(); }
  Event requests, broken;

 private:
  Server server_;
};

// Writes from a thread of its own, since who answers may do so before it has read all.
class Writing {
 public:
  Writing(Wire* wire, std::string text) : thread_([wire, text = std::move(text)] { wire->Write(text); }) {}
  ~Writing() { thread_.join(); }

 private:
  std::thread thread_;
};

TEST(LongBodies, AnswersComeThroughUnchangedInEveryFraming) {
  std::string body = Long(3 << 20);
  std::atomic<int> framing{0};
  AnyBackend backend([&](const Message&, Wire& wire) -> std::string {
    switch (framing.load()) {
      case 0: return Ok(body, "X-Note: kept\r\n");
      case 1: return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + InChunks(body, 100001);
      case 2:
        return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
               InChunks(body, 77);
      default: wire.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body); return "";
    }
  });
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  for (framing = 0; framing < 4; ++framing) {
    client->Write(Request("quote"));
    Message answer = ReadAny(*client);
    EXPECT_TRUE(answer.whole) << framing;
    EXPECT_EQ(answer.status(), 200) << framing;
    EXPECT_TRUE(answer.body == body) << framing << ": " << answer.body.size() << " bytes";
    if (framing != 0) continue;
    EXPECT_EQ(answer.Header("X-Note"), "kept");
    EXPECT_EQ(answer.Header("Content-Length"), std::to_string(body.size()));
  }
  client->Write(Request("quote"));
  EXPECT_TRUE(ReadAny(*client).body == body) << "the connection goes on";
  // To a client of HTTP/1.0 a length that is not known is told by the end.
  framing = 1;
  std::string old = Request("quote");
  old.replace(old.find("HTTP/1.1"), 8, "HTTP/1.0");
  auto plain = site.gateway->Connect();
  plain->Write(old);
  Message answer = ReadAny(*plain);
  EXPECT_EQ(answer.Header("Transfer-Encoding"), "");
  EXPECT_TRUE(answer.body == body);
}

TEST(LongBodies, RequestsComeThroughUnchangedInEveryFraming) {
  std::mutex mutex;
  std::vector<Message> seen;
  AnyBackend backend([&](const Message& m, Wire&) {
    std::lock_guard lock(mutex);
    seen.push_back(m);
    return Ok("got " + std::to_string(m.body.size()));
  });
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  size_t sent = 0;
  for (size_t size : {size_t{70000}, size_t{900000}, size_t{5} << 20}) {
    std::string body = Long(size, static_cast<unsigned>(size));
    std::string head = Request("send-lead");
    head.resize(head.size() - 2);
    for (const std::string& text : {head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + body,
                                    head + "Transfer-Encoding: chunked\r\n\r\n" + InChunks(body, 50000)}) {
      std::string fresh = text;
      fresh.replace(fresh.find("Request-Id: ") + 12, 4, std::to_string(7000 + ++sent));
      Writing writing(client.get(), fresh);
      Message answer = ReadAny(*client);
      EXPECT_EQ(answer.status(), 200) << size;
      EXPECT_EQ(answer.body, "got " + std::to_string(size));
      std::lock_guard lock(mutex);
      ASSERT_EQ(seen.size(), sent);
      EXPECT_TRUE(seen.back().body == body) << size;
    }
  }
  EXPECT_EQ(Ask(*client, Request("quote")).status(), 200) << "the connection goes on";
}

TEST(LongBodies, AWholeBodyIsSentAgainAndOneThatHasGoneIsNot) {
  std::string body = Long(300000), longer = Long(4 << 20);
  AnyBackend live([&](const Message& m, Wire&) { return Ok(std::to_string(m.body.size())); });
  std::string head = Request("save-scenario");
  head.resize(head.size() - 2);
  auto post = [&](const std::string& text, int number) {
    std::string out = head + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    return out.replace(out.find("Request-Id: ") + 12, 4, std::to_string(number));
  };
  {  // nothing listens at the first: nothing has gone, so the other gets all of it
    Site site(json::array({Entry("dead", DeadPort()), Entry("live", live.port())}));
    for (int i = 0; i < 4; ++i) {
      auto client = site.gateway->Connect();
      Writing writing(client.get(), post(i % 2 == 0 ? body : longer, 5000 + i));
      Message answer = ReadAny(*client);
      EXPECT_EQ(answer.status(), 200);
      EXPECT_EQ(answer.body, std::to_string(i % 2 == 0 ? body.size() : longer.size()));
    }
  }
  // It breaks off in the middle of the body: that has not run, and what has gone is not sent again.
  std::atomic<int> tries{0};
  Server breaks([&](Wire& wire) {
    size_t got = 0;
    while (got < 200000 && wire.More()) got += std::exchange(wire.unread, "").size();
    if (got > 0) ++tries;
  });
  Site site(json::array({Entry("breaks", breaks.port()), Entry("breaks-too", breaks.port())}));
  auto client = site.gateway->Connect();
  Writing writing(client.get(), post(longer, 5100));
  Message answer = ReadAny(*client);
  EXPECT_EQ(answer.status(), 503) << "it has not run: asking again is harmless";
  EXPECT_EQ(answer.Header("Connection"), "close");
  EXPECT_EQ(tries, 1);
}

// A backend that dies in the middle of an answer: the client can tell that it is not whole.
TEST(LongBodies, AnAnswerThatBreaksOffIsSeenToBeNotWhole) {
  std::string body = Long(2 << 20);
  for (bool chunked : {false, true}) {
    AnyBackend backend([&](const Message&, Wire& wire) {
      std::string text = chunked
                             ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + InChunks(body, 50000)
                             : Ok(body);
      wire.Write(text.substr(0, text.size() / 2));
      return std::string();
    });
    Site site(json::array({Entry("s1", backend.port()), Entry("s2", backend.port())}));
    auto client = site.gateway->Connect();
    client->Write(Request("quote"));
    Message answer = ReadAny(*client);
    EXPECT_FALSE(answer.whole);
    EXPECT_LT(answer.body.size(), body.size());
    EXPECT_TRUE(body.compare(0, answer.body.size(), answer.body) == 0) << "of one attempt alone";
    EXPECT_EQ(backend.requests.count(), 1) << "what has begun is not tried again";
  }
}

// A client that leaves in the middle of an answer, and one that leaves in the middle of its body.
TEST(LongBodies, WhatAClientLeavesIsGivenUp) {
  Event ended;
  std::string body = Long(30 << 20);
  AnyBackend backend([&](const Message&, Wire& wire) {
    wire.Write(Ok(body));  // fails when the gateway closes
    ended.Add();
    return std::string();
  });
  json config = Config(0, 0);
  config["admin"] = "127.0.0.1:0";
  Site site(json::array({Entry("s1", backend.port())}), config);
  auto client = site.gateway->Connect();
  client->Write(Request("quote"));
  ASSERT_TRUE(client->More());
  client->Close();
  EXPECT_TRUE(ended.Wait());
  auto sender = site.gateway->Connect();
  std::string head = Request("send-lead");
  head.resize(head.size() - 2);
  sender->Write(head + "Content-Length: 30000000\r\n\r\n" + Long(3 << 20));
  sender->Close();
  EXPECT_TRUE(backend.broken.Wait()) << "the backend sees that the rest will not come";
  EXPECT_EQ(Ask(*site.gateway->Connect(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
}

// Clients who take in nothing, of answers that together are far more than the memory: what has begun waits in
// the backends, and all of it comes in the end.
TEST(LongBodies, ManyAtOnceStayWithinTheMemory) {
  std::string body = Long(8 << 20);
  AnyBackend backend(
      [&](const Message& m, Wire&) { return Ok(m.head.substr(0, 3) == "GET" ? body : "got"); });
  json config = Config(0, 0);
  config["limits"]["memory_mb"] = 32;
  config["settings"]["tiers-of-service"][0]["units-per-s"] = 1000.0;
  config["settings"]["tiers-of-service"][0]["store-size"] = 1000.0;
  Site site(json::array({Entry("s1", backend.port()), Entry("s2", backend.port())}), config);
  std::vector<std::unique_ptr<Wire>> clients;
  for (int i = 0; i < 40; ++i) {
    auto client = site.gateway->Connect();
    client->Write(Request("quote", 1, 3000));
    ASSERT_TRUE(client->More());
    bool begun = client->unread.substr(0, 15) == "HTTP/1.1 200 OK";
    if (begun) clients.push_back(std::move(client));
  }
  EXPECT_GT(clients.size(), 3u);
  EXPECT_LT(site.gateway->peak_mb(), 32);
  for (auto& client : clients) {
    Message answer = ReadAny(*client);
    EXPECT_TRUE(answer.whole);
    EXPECT_TRUE(answer.body == body);
  }
  EXPECT_LT(site.gateway->peak_mb(), 32);
}

// Bodies and framings of any size, byte for byte, each way at once.
TEST(LongBodies, AnyBodiesInAnyPieces) {
  AnyBackend backend([&](const Message& m, Wire&) -> std::string {
    return m.body.size() % 2 == 0 ? Ok(m.body)
                                  : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                        InChunks(m.body, 1 + m.body.size() / 3);
  });
  json config = Config(0, 0);
  config["settings"]["tiers-of-service"][0]["units-per-s"] = 1000.0;
  config["settings"]["tiers-of-service"][0]["store-size"] = 1000.0;
  Site site(json::array({Entry("s1", backend.port())}), config);
  auto client = site.gateway->Connect();
  std::mt19937 dice(11);
  for (int i = 0; i < 60; ++i) {
    size_t size = std::array<size_t, 5>{dice() % 10, dice() % 5000, 65530 + dice() % 12, dice() % 300000,
                                        dice() % 3000000}[dice() % 5];
    std::string body = Long(size, dice()), head = Request("send-lead");
    head.resize(head.size() - 2);
    std::string text = dice() % 2 == 0
                           ? head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + body
                           : head + "Transfer-Encoding: chunked\r\n\r\n" + InChunks(body, 1 + dice() % 60000);
    size_t first = dice() % text.size();
    client->Write(text.substr(0, first));
    Writing writing(client.get(), text.substr(first));
    Message answer = ReadAny(*client);
    ASSERT_EQ(answer.status(), 200) << i << ": " << size;
    ASSERT_TRUE(answer.body == body) << i << ": " << size << " sent, " << answer.body.size() << " back";
  }
}

}  // namespace
