// The links to backends over real sockets, where the kernel matters: what is known of a write when a
// connection ends before, during or after it, and which answers leave a connection fit for use. The peer is a
// plain socket of the test, so each thing happens at the very moment that a case is about.
#include "net/backend_links.h"

#include <sys/socket.h>

#include <memory>
#include <string>
#include <vector>

// clang-format off
#include <CppUTest/TestHarness.h>  // after all others: it names new anew
// clang-format on

using namespace ivygw;

namespace {

constexpr uint64_t kConnection = 1;
const std::string kRequest = "GET /a/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: own\r\n\r\n";
const std::string kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nAttempt-Id: own\r\nServer-Seal: s\r\n\r\nhello";

// Notes what the links tell, in order, and what is known of the write at each loss.
class Recorder : public BackendEvents {
 public:
  void OnConnected(uint64_t) override { told += "connected "; }
  void OnWritten(uint64_t) override { told += "written "; }
  void OnAnswer(uint64_t, BackendAnswer answer) override {
    told += answer.keep ? "answer,keep " : "answer ";
    last = std::move(answer);
    if (after_answer) after_answer();
  }
  void OnLost(uint64_t connection) override {
    told += links->AnyWritten(connection) ? "lost,written " : "lost,unwritten ";
    links->Close(connection);
  }
  void OnStale(uint64_t connection) override {
    told += "stale ";
    links->Close(connection);
  }

  std::string told;
  BackendAnswer last;
  BackendLinks* links = nullptr;
  std::function<void()> after_answer;
};

// A link to a socket of the test's own.
class Pair {
 public:
  Pair()
      : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        peer(io),
        links(io, &memory_, &recorder, AnswerStyle::kEvery) {
    recorder.links = &links;
    links.Connect(kConnection, acceptor_.local_endpoint());
    acceptor_.accept(peer);
    Settle();
  }
  // Until nothing more comes: on the loopback, what has been sent is there.
  void Settle() {
    for (int quiet = 0; quiet < 3; ++quiet) {
      io.restart();
      if (io.poll() > 0) quiet = 0;
    }
  }
  void Write(bool kept, const std::string& request = kRequest) {
    links.Write(kConnection, request, kept);
    Settle();
  }
  void PeerReads() {
    std::string bytes(kRequest.size(), '\0');
    asio::read(peer, asio::buffer(bytes));
  }
  void PeerSends(const std::string& bytes) {
    asio::write(peer, asio::buffer(bytes));
    Settle();
  }
  void PeerFinishes() {
    peer.shutdown(tcp::socket::shutdown_send);
    Settle();
  }
  void PeerResets() {
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    Settle();
  }
  void ServeOne() {
    Write(false);
    PeerReads();
    PeerSends(kAnswer);
    STRCMP_EQUAL("connected written answer,keep ", recorder.told.c_str());
    recorder.told.clear();
  }
  void Told(const char* expected) const { STRCMP_EQUAL(expected, recorder.told.c_str()); }

  asio::io_context io;
  Recorder recorder;

 private:
  tcp::acceptor acceptor_;
  bodies::BodyMemory memory_{size_t{64} << 20};

 public:
  tcp::socket peer;
  BackendLinks links;
};

}  // namespace

TEST_GROUP(Links){};

TEST(Links, ARefusedConnectionHasWrittenNothing) {
  asio::io_context io;
  Recorder recorder;
  bodies::BodyMemory memory(size_t{1} << 20);
  BackendLinks links(io, &memory, &recorder, AnswerStyle::kEvery);
  recorder.links = &links;
  tcp::endpoint nobody;
  {
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    nobody = acceptor.local_endpoint();
  }
  links.Connect(kConnection, nobody);
  io.run();
  STRCMP_EQUAL("lost,unwritten ", recorder.told.c_str());
}

TEST(Links, AFreshConnectionThatIsResetBeforeTheWriteIsStale) {
  Pair pair;
  pair.PeerResets();
  pair.Write(true);
  pair.Told("connected stale ");
}

TEST(Links, AResetBetweenTheLookAndTheWriteLeavesNothingWritten) {
  Pair pair;
  pair.PeerResets();
  pair.Write(false);  // not looked at: the write itself is refused
  pair.Told("connected lost,unwritten ");
}

TEST(Links, AKeptConnectionThatWasFinishedIsStale) {
  Pair pair;
  pair.recorder.after_answer = [&pair] {
    pair.peer.shutdown(tcp::socket::shutdown_send);
    pair.links.Write(kConnection, kRequest, true);  // before the end has been read
  };
  pair.Write(false);
  pair.PeerReads();
  pair.PeerSends(kAnswer);
  pair.Told("connected written answer,keep stale ");
}

TEST(Links, AKeptConnectionWithAByteInFlightIsStale) {
  Pair pair;
  pair.recorder.after_answer = [&pair] {
    asio::write(pair.peer, asio::buffer("H", 1));
    pair.links.Write(kConnection, kRequest, true);
  };
  pair.Write(false);
  pair.PeerReads();
  pair.PeerSends(kAnswer);
  pair.Told("connected written answer,keep stale ");
}

TEST(Links, AnEndOfAnIdleConnectionIsTold) {
  Pair finished, reset, surplus;
  finished.ServeOne();
  finished.PeerFinishes();
  finished.Told("lost,written ");
  reset.ServeOne();
  reset.PeerResets();
  reset.Told("lost,written ");
  surplus.ServeOne();
  surplus.PeerSends(kAnswer);  // a second one, late
  surplus.Told("lost,written ");
}

TEST(Links, AResetBetweenWriteAndReadMayHaveRun) {
  Pair pair;
  pair.Write(false);
  pair.PeerResets();  // with the request unread
  pair.Told("connected written lost,written ");
}

TEST(Links, AnEndInsteadOfAnAnswerMayHaveRun) {
  Pair pair;
  pair.Write(false);
  pair.PeerReads();
  pair.PeerFinishes();
  pair.Told("connected written lost,written ");
}

TEST(Links, AResetAfterAPartOfTheRequestMayHaveRun) {
  Pair pair;
  pair.Write(false,
             "POST /a/x HTTP/1.1\r\nContent-Length: 33554432\r\n\r\n" + std::string(size_t{32} << 20, 'x'));
  pair.PeerReads();
  pair.PeerResets();
  pair.Told("connected lost,written ");
}

TEST(Links, DataAndEndTogetherAreAWholeAnswerAndAnEnd) {
  Pair pair;
  pair.Write(false);
  pair.PeerReads();
  asio::write(pair.peer, asio::buffer(kAnswer));
  pair.PeerFinishes();
  pair.Told("connected written answer,keep lost,written ");
}

TEST(Links, AnAnswerThatOnlyTheEndDelimitsIsNone) {
  Pair pair;
  pair.Write(false);
  pair.PeerReads();
  asio::write(pair.peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\nAttempt-Id: own\r\n\r\nhello")));
  pair.PeerFinishes();
  pair.Told("connected written lost,written ");
}

TEST(Links, BytesAfterTheEndOfAnAnswerEndItsConnection) {
  for (const std::string& extra : {std::string("x"), kAnswer, kAnswer.substr(0, 20)}) {
    Pair pair;
    pair.Write(false);
    pair.PeerReads();
    pair.PeerSends(kAnswer + extra);
    pair.Told("connected written answer ");
    STRCMP_EQUAL("hello", pair.recorder.last.body.c_str());
  }
}

TEST(Links, AnAnswerAheadOfTheRequestsEndEndsItsConnection) {
  Pair pair;
  pair.Write(false,
             "POST /a/x HTTP/1.1\r\nContent-Length: 33554432\r\n\r\n" + std::string(size_t{32} << 20, 'x'));
  pair.PeerSends(kAnswer);
  pair.Told("connected answer ");
}

TEST(Links, AnAnswerCutAtAnyByteIsNone) {
  for (size_t cut = 0; cut < kAnswer.size(); ++cut) {
    Pair finished, reset;
    for (Pair* pair : {&finished, &reset}) {
      pair->Write(false);
      pair->PeerReads();
      pair->PeerSends(kAnswer.substr(0, cut));
    }
    finished.PeerFinishes();
    reset.PeerResets();
    finished.Told("connected written lost,written ");
    reset.Told("connected written lost,written ");
  }
}

TEST(Links, AnAnswerInTwoPiecesIsWhole) {
  for (size_t cut = 1; cut < kAnswer.size(); ++cut) {
    Pair pair;
    pair.Write(false);
    pair.PeerReads();
    pair.PeerSends(kAnswer.substr(0, cut));
    pair.PeerSends(kAnswer.substr(cut));
    pair.Told("connected written answer,keep ");
    STRCMP_EQUAL("own", pair.recorder.last.attempt_id.c_str());
  }
}

TEST(Links, TheTimeThatAnIdleConnectionIsKeptIsRead) {
  Pair pair;
  pair.Write(false);
  pair.PeerReads();
  std::string answer = kAnswer;
  pair.PeerSends(answer.insert(answer.find("Attempt-Id"), "Keep-Alive: max=100, timeout=7\r\nX-Padding: 0\r\n"));
  pair.Told("connected written answer,keep ");
  DOUBLES_EQUAL(7, pair.recorder.last.keep_alive_s, 0);
}

TEST(Links, InterimAnswersArePassedOverUpToABound) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  Pair few, many;
  std::string lot;
  for (int i = 0; i < 17; ++i) lot += interim;
  few.Write(false);
  few.PeerReads();
  few.PeerSends(interim + interim + kAnswer);
  few.Told("connected written answer,keep ");
  many.Write(false);
  many.PeerReads();
  many.PeerSends(lot + kAnswer);
  many.Told("connected written lost,written ");
}
