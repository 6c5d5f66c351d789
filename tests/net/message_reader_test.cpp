// Messages in pieces of any size, in every framing: what arrives is compared byte for byte with what was
// sent.
#include "net/message_reader.h"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <vector>

namespace ivygw {
namespace {

std::string Bytes(std::mt19937* dice, size_t size) {
  std::string out(size, '\0');
  for (char& c : out) c = static_cast<char>((*dice)());
  return out;
}

// The body in chunks of any size, some with extensions, with trailers at times.
std::string Chunked(std::mt19937* dice, const std::string& body) {
  std::string out;
  for (size_t at = 0; at < body.size();) {
    size_t size = std::min<size_t>(1 + (*dice)() % 5000, body.size() - at);
    char text[32];
    std::snprintf(text, sizeof(text), (*dice)() % 2 == 0 ? "%zx" : "%zX", size);
    out += std::string(text) + ((*dice)() % 4 == 0 ? ";name=\"v\";x" : "") + "\r\n" + body.substr(at, size) +
           "\r\n";
    at += size;
  }
  return out + "0\r\n" + ((*dice)() % 3 == 0 ? "X-Sum: 1\r\n" : "") + "\r\n";
}

// One message after another on one stream, read with any room for the body at any time.
TEST(MessageReader, AnyFramingInAnyPieces) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 dice(seed);
    std::string stream;
    std::vector<std::string> bodies;
    for (int i = 0; i < 6; ++i) {
      std::string body = Bytes(&dice, dice() % 3 == 0 ? dice() % 200000 : dice() % 300);
      std::string head = "POST /send-lead HTTP/1.1\r\nHost: x\r\nX-Number: " + std::to_string(i) + "\r\n";
      if (dice() % 2 == 0) {
        stream += head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      } else {
        stream += head + "Transfer-Encoding: chunked\r\n\r\n" + Chunked(&dice, body);
      }
      bodies.push_back(std::move(body));
    }
    size_t piece = std::array<size_t, 4>{1, 7, 1000, 70000}[seed % 4], at = 0;
    if (piece == 1 && stream.size() > 200000) piece = 13;
    MessageReader<true> reader(kLongestBody);
    for (size_t i = 0; i < bodies.size(); ++i) {
      std::string got;
      while (!reader.done()) {
        std::string part;
        ASSERT_FALSE(reader.Parse(&part, 1 + dice() % 9000)) << "seed " << seed << ", message " << i;
        got += part;
        if (!part.empty() || reader.done()) continue;
        ASSERT_LT(at, stream.size()) << "it waits for more than there is";
        size_t n = std::min<size_t>(1 + dice() % piece, stream.size() - at);
        reader.Add(std::string_view(stream).substr(at, n));
        at += n;
      }
      ASSERT_EQ(got, bodies[i]) << "seed " << seed << ", message " << i;
      ASSERT_EQ(View(reader.head()["X-Number"]), std::to_string(i));
      reader.Next();
    }
    EXPECT_EQ(reader.unread(), 0u);
  }
}

TEST(MessageReader, AnAnswerMayEndWithItsConnection) {
  MessageReader<false> reader(kLongestBody);
  std::string body;
  reader.Add("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the ");
  EXPECT_FALSE(reader.Parse(&body, 1000));
  reader.Add("end");
  EXPECT_FALSE(reader.Parse(&body, 1000));
  EXPECT_FALSE(reader.done());
  EXPECT_FALSE(reader.End());
  EXPECT_TRUE(reader.done());
  EXPECT_EQ(body, "to the end");
  EXPECT_FALSE(reader.keep_alive());
}

TEST(MessageReader, AnEndInTheMiddleIsAnError) {
  for (std::string text : {"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}) {
    MessageReader<false> reader(kLongestBody);
    std::string body;
    reader.Add(text);
    EXPECT_FALSE(reader.Parse(&body, 1000));
    EXPECT_TRUE(reader.End()) << text;
  }
}

// Beast waits for the rest of a first line that is too short to be one, though its head has ended: found by
// fuzzing.
TEST(MessageReader, AHeadThatIsWholeAndTooShortIsAnError) {
  for (std::string text : {"@\r\n\r\n", "HTTP/1.1\r\n\r\n", "\r\n\r\n"}) {
    MessageReader<false> reader(kLongestBody);
    std::string body;
    reader.Add(text);
    EXPECT_TRUE(reader.Parse(&body, 1000)) << text;
  }
}

TEST(MessageReader, PastABoundItIsAnError) {
  struct Case {
    std::string text;
    error_code error;
  };
  std::string post = "POST /a HTTP/1.1\r\n", chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  for (const Case& c : std::initializer_list<Case>{
           {post + "Content-Length: " + std::to_string(kLongestBody + 1) + "\r\n\r\n",
            http::error::body_limit},
           {post + "X: " + std::string(kMaxHeader, 'x'), http::error::header_limit},
           {chunked + "3;" + std::string(kMaxHeader + 9, 'x'), http::error::header_limit},
           {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            http::error::bad_transfer_encoding},
           {post + "X: a\r\n b\r\n\r\n", http::error::bad_obs_fold}}) {
    MessageReader<true> reader(kLongestBody);
    std::string body;
    reader.Add(c.text);
    EXPECT_EQ(reader.Parse(&body, 1000), c.error) << c.text.substr(0, 80);
  }
  MessageReader<true> small(1000);
  std::string body;
  small.Add(chunked + "3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\nx\r\n0\r\n\r\n");
  EXPECT_EQ(small.Parse(&body, 1 << 20), http::error::body_limit) << "chunks are added up";
}

// Noise of any kind, also in the middle of what is sound: an error or a message, and no more held than was
// given.
TEST(MessageReader, NoiseHarmsNothing) {
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::mt19937 dice(seed);
    std::string text = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       Chunked(&dice, Bytes(&dice, 500));
    for (int i = 0; i < 3; ++i) text[dice() % text.size()] = static_cast<char>(dice());
    MessageReader<true> reader(kLongestBody);
    std::string body;
    for (size_t at = 0; at < text.size(); at += 97) {
      reader.Add(std::string_view(text).substr(at, 97));
      if (reader.Parse(&body, 1 << 20) || reader.done()) break;
    }
    EXPECT_LE(body.size() + reader.unread(), text.size());
  }
}

}  // namespace
}  // namespace ivygw
