#include "admin/call.h"

#include <algorithm>

namespace ivygw::admin {
namespace {

struct Word {
  std::string_view name;
  CallKind kind;
  bool with_id;
};
constexpr Word kWords[] = {
    {"check", CallKind::kCheck, false},        {"vars", CallKind::kVars, false},
    {"set-down", CallKind::kSetDown, true},    {"set-up", CallKind::kSetUp, true},
    {"members", CallKind::kMembers, false},    {"drain-on", CallKind::kDrainOn, false},
    {"drain-off", CallKind::kDrainOff, false},
};

std::string_view NextWord(std::string_view* rest) {
  constexpr std::string_view kBlank = " \t";
  size_t from = std::min(rest->find_first_not_of(kBlank), rest->size());
  size_t to = std::min(rest->find_first_of(kBlank, from), rest->size());
  std::string_view word = rest->substr(from, to - from);
  rest->remove_prefix(to);
  return word;
}

Parsed Fault(std::string text) { return {Call(), std::move(text)}; }

}  // namespace

Parsed ParseCall(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.size() > kMostLine)
    return Fault("the call is longer than " + std::to_string(kMostLine) + " bytes");
  for (char c : line) {
    auto byte = static_cast<unsigned char>(c);
    if ((byte < 0x20 && c != '\t') || byte >= 0x7f) return Fault("the call holds a byte that is no text");
  }
  std::string_view name = NextWord(&line), id = NextWord(&line), more = NextWord(&line);
  if (name.empty()) return Fault("the call is empty");
  for (const Word& word : kWords) {
    if (name != word.name) continue;
    if (!word.with_id && !id.empty()) return Fault(std::string(name) + " takes nothing after it");
    if (word.with_id && id.empty()) return Fault(std::string(name) + " lacks the backend's id");
    if (!more.empty()) return Fault(std::string(name) + " takes one id");
    if (id.size() > kMostId) return Fault("the id is longer than " + std::to_string(kMostId) + " bytes");
    Parsed parsed;
    parsed.call.kind = word.kind;
    parsed.call.id = std::string(id);
    return parsed;
  }
  return Fault("no such call: " + std::string(name));
}

std::string Yes(std::string_view what) {
  std::string text = "+OK";
  if (!what.empty()) text.append(" ").append(what);
  return text + "\n";
}

std::string No(std::string_view why) {
  return "-ERR " + std::string(why.substr(0, std::min(why.find_first_of("\r\n"), why.size()))) + "\n";
}

std::string YesWith(std::string_view figures) { return "+OK\n" + std::string(figures) + ".\n"; }

}  // namespace ivygw::admin
