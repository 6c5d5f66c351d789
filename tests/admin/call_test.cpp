// The line parser: every call, and one clear reason for everything else.
#include "admin/call.h"

#include <gtest/gtest.h>

#include <random>

namespace ivygw::admin {
namespace {

TEST(Call, EachCallIsRead) {
  struct Case {
    std::string line;
    CallKind kind;
    std::string id;
  };
  for (const Case& c : std::initializer_list<Case>{{"check", CallKind::kCheck, ""},
                                                   {"vars\r", CallKind::kVars, ""},
                                                   {"set-down s-5be2a07c", CallKind::kSetDown, "s-5be2a07c"},
                                                   {" set-up \t s-1 \r", CallKind::kSetUp, "s-1"},
                                                   {"drain-on ", CallKind::kDrainOn, ""},
                                                   {"drain-off", CallKind::kDrainOff, ""}}) {
    Parsed parsed = ParseCall(c.line);
    EXPECT_EQ(parsed.fault, "") << c.line;
    EXPECT_EQ(parsed.call.kind, c.kind) << c.line;
    EXPECT_EQ(parsed.call.id, c.id) << c.line;
  }
}

TEST(Call, EverythingElseIsOneReason) {
  const std::pair<std::string, std::string> cases[] = {
      {"", "the call is empty"},
      {" \t\r", "the call is empty"},
      {"Check", "no such call: Check"},
      {"checks", "no such call: checks"},
      {"check now", "check takes nothing after it"},
      {"set-down", "set-down lacks the backend's id"},
      {"set-up  ", "set-up lacks the backend's id"},
      {"set-down a b", "set-down takes one id"},
      {"set-down " + std::string(kMostId + 1, 'x'), "the id is longer than 256 bytes"},
      {std::string(kMostLine + 1, 'x'), "the call is longer than 512 bytes"},
      {std::string("check\0", 6), "the call holds a byte that is no text"},
      {"check\x80", "the call holds a byte that is no text"},
      {"check\rvars", "the call holds a byte that is no text"},
  };
  for (const auto& [line, why] : cases) EXPECT_EQ(ParseCall(line).fault, why);
}

TEST(Call, AnswersAreWholeLines) {
  EXPECT_EQ(Yes(), "+OK\n");
  EXPECT_EQ(Yes("done"), "+OK done\n");
  EXPECT_EQ(No("one\r\n+OK two"), "-ERR one\n") << "a reason can't pass for another line";
  EXPECT_EQ(YesWith("a=1\n"), "+OK\na=1\n.\n");
}

// Any bytes: a call whose id holds nothing but text, or a reason that is one line.
TEST(Call, AnyBytes) {
  std::mt19937 dice(7);
  const std::string words[] = {"check",     "vars", "set-down", "set-up", "drain-on",
                               "drain-off", " ",    "\t",       "\r",     "s-1"};
  int sound = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string line;
    for (unsigned n = dice() % 6; n > 0; --n) {
      line += dice() % 3 == 0 ? std::string(1, static_cast<char>(dice())) : words[dice() % std::size(words)];
    }
    Parsed parsed = ParseCall(line);
    sound += parsed.fault.empty();
    for (char c : parsed.call.id) EXPECT_TRUE(c > ' ' && c < 0x7f);
    std::string no = No(parsed.fault);
    EXPECT_EQ(no.find('\n'), no.size() - 1);
  }
  EXPECT_GT(sound, 100);
}

}  // namespace
}  // namespace ivygw::admin
