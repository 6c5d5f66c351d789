// Callers of a core over real sockets, at the server of clients that the registry has its door on: a body
// that is still being read when its connection ends, and calls that are pipelined on one connection.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "call_routing/pending_calls.h"
#include "net/client_server.h"
#include "net/clock.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // after all others: it names new anew
// clang-format on

using namespace ivygw;

namespace {

constexpr size_t kLongBody = size_t{1} << 20;
constexpr std::chrono::seconds kLongestTransfer{5};  // what hasn't come by then never will

std::string Call(const std::string& path, const std::string& body, size_t length) {
  return "POST " + path + " HTTP/1.1\r\nHost: core\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n" + body;
}

// A door that passes calls on, as the registry's, and whose answers the test gives.
class Door {
 public:
  Door()
      : server_(io, 10, &memory_,
                {[this](uint64_t from, ClientMessage message) { OnCall(from, std::move(message)); },
                 [this](uint64_t from, bool) {
                   calls.Forget(from);
                   ++closed;
                 },
                 [this](uint64_t from, std::string, bool last) {
                   last ? Pass(from, "body") : server_.ReadBody(from);
                 }}),
        caller(io) {
    server_.Listen({asio::ip::address_v4::loopback(), 0});
    caller.connect(server_.local());
    Settle();
  }
  // Until nothing is left to do, and all that the caller has sent has reached the server's socket: the kernel
  // may still be bringing it.
  void Settle() {
    Clock::time_point give_up = Clock::now() + kLongestTransfer;
    for (int quiet = 0; quiet < 3; ++quiet) {
      io.restart();
      bool on_the_way = BytesOnTheWay() > 0 && Clock::now() < give_up;
      if (io.poll() > 0 || on_the_way) quiet = 0;
    }
  }
  void Send(const std::string& text) {
    caller.non_blocking(true);
    for (size_t sent = 0; sent < text.size(); Settle()) {
      error_code full;
      sent += caller.send(asio::buffer(text.data() + sent, text.size() - sent), 0, full);
    }
    Settle();
  }
  // The answer of the other process, as far as it belongs to anybody here.
  void Complete(call_routing::CallNumber number, const std::string& body) {
    if (auto to = calls.Complete(number)) Reply(*to, body);
    Settle();
  }
  void Reply(uint64_t to, const std::string& body) {
    Answer answer;
    answer.status = 200;
    answer.body = body;
    server_.Reply(to, answer);
    Settle();
  }
  std::string Received() {
    std::string bytes(65536, '\0');
    error_code none;
    bytes.resize(caller.receive(asio::buffer(bytes), 0, none));
    return bytes;
  }

  asio::io_context io;
  call_routing::PendingCalls calls{7};
  std::vector<call_routing::CallNumber> numbers;
  std::vector<std::string> passed;
  int closed = 0;

 private:
  void OnCall(uint64_t from, ClientMessage message) {
    if (message.more) return server_.ReadBody(from);
    Pass(from, std::string(View(message.head.target())));
  }
  void Pass(uint64_t from, const std::string& what) {
    passed.push_back(what);
    numbers.push_back(calls.Add(from, 1));
  }
  int BytesOnTheWay() {
    int bytes = 0;
    return caller.is_open() && ioctl(caller.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
  }
  bodies::BodyMemory memory_{size_t{8} << 20};
  ClientServer server_;

 public:
  tcp::socket caller;
};

bool Ends(const std::string& text, const std::string& with) {
  return text.size() >= with.size() && text.compare(text.size() - with.size(), with.size(), with) == 0;
}

}  // namespace

TEST_GROUP(CallersWire){};

TEST(CallersWire, ABodyThatIsStillBeingReadWhenItsConnectionEndsIsNeverPassedOn) {
  for (bool reset : {false, true}) {
    Door door;
    door.Send(Call("/x", std::string(kLongBody / 2, 'b'), kLongBody));
    if (reset) door.caller.set_option(asio::socket_base::linger(true, 0));
    door.caller.close();
    door.Settle();
    CHECK_EQUAL(1, door.closed);
    CHECK(door.passed.empty());
  }
}

TEST(CallersWire, AWholeLongBodyIsPassedOnOnce) {
  Door door;
  door.Send(Call("/x", std::string(kLongBody, 'b'), kLongBody));
  CHECK_EQUAL(1u, door.passed.size());
}

TEST(CallersWire, PipelinedCallsAreAnsweredInTheirOrderEachByItsOwn) {
  Door door;
  door.Send(Call("/one", "", 0) + Call("/two", "", 0));
  CHECK_EQUAL(1u, door.passed.size());  // the second waits for the first's answer
  door.Complete(door.numbers[0], "first");
  CHECK(Ends(door.Received(), "first"));
  CHECK_EQUAL(2u, door.passed.size());
  STRCMP_EQUAL("/two", door.passed[1].c_str());
  door.Complete(door.numbers[0], "first again");  // a second answer to the first
  CHECK_EQUAL(1u, door.calls.dropped_answers());
  door.Complete(door.numbers[1], "second");
  CHECK(Ends(door.Received(), "second"));
}

TEST(CallersWire, ALateAnswerToACallThatWasGivenUpIsNotTheNextOnes) {
  Door door;
  door.Send(Call("/one", "", 0) + Call("/two", "", 0));
  for (uint64_t caller : door.calls.TakeExpired(1)) door.Reply(caller, "given up");
  CHECK(Ends(door.Received(), "given up"));
  door.Complete(door.numbers[0], "late");
  STRCMP_EQUAL("", door.Received().c_str());
  door.Complete(door.numbers[1], "second");
  CHECK(Ends(door.Received(), "second"));
}

TEST(CallersWire, AnAnswerToACallerThatHasGoneIsNobodys) {
  Door door;
  door.Send(Call("/one", "", 0));
  door.caller.close();
  door.Settle();
  door.Complete(door.numbers[0], "late");
  CHECK_EQUAL(1u, door.calls.dropped_answers());
}
