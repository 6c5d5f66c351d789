// What operators call: one line each, and how it is answered. Pure: no sockets, no clock.
#ifndef IVYGW_ADMIN_CALL_H_
#define IVYGW_ADMIN_CALL_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace ivygw::admin {

enum class CallKind { kCheck, kVars, kSetDown, kSetUp, kDrainOn, kDrainOff, kMembers };

struct Call {
  CallKind kind = CallKind::kCheck;
  std::string id;  // of a backend, as discovery names it; set-down and set-up only
};

inline constexpr size_t kMostLine = 512;  // bytes of a call, without its line end
inline constexpr size_t kMostId = 256;

// A call, or in `fault` why the line is none (a few words, no line end).
struct Parsed {
  Call call;
  std::string fault;  // empty: `call` is sound
};
// `line` has no "\n" at its end; a "\r" there is passed over, and so are spaces and tabs round the words.
Parsed ParseCall(std::string_view line);

// The whole answer, with its line end. `why` must hold no line end: it is cut there.
std::string Yes(std::string_view what = {});
std::string No(std::string_view why);
// Of `vars`: the yes, the figures as `figures` gives them (each a line, with its end), and the line that ends
// them.
std::string YesWith(std::string_view figures);

}  // namespace ivygw::admin

#endif  // IVYGW_ADMIN_CALL_H_
