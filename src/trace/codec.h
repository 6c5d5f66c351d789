// Events and effects of the core as bytes (MessagePack,
// https://github.com/msgpack/msgpack/blob/master/spec.md) and as text. Pure.
//
// Left out or made unreadable: bodies, which the core never sees; customers, clients' request ids and names
// at the counter, which stand as keyed hashes or numbers of their own (Mask).
#ifndef IVYGW_TRACE_CODEC_H_
#define IVYGW_TRACE_CODEC_H_

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/effects.h"
#include "core/events.h"

namespace ivygw::trace {

// What is wrong with a trace, in plain words that name the file and the place.
class TraceError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr int kVersion = 4;  // of the form of records; another is refused

// Hides who it was about and keeps who is the same: the decisions of the core depend on no more.
class Mask {
 public:
  Mask();  // with a random key that is kept nowhere
  uint64_t Customer(uint64_t customer) const;
  std::string Id(const std::string& id) const;

 private:
  std::array<unsigned char, 16> key_;
};

// Names at the counter come of the customer, so a replay with hashed customers has other names: they stand
// for the order in which they were first met.
class CounterNames {
 public:
  uint64_t Of(uint64_t name) { return numbers_.try_emplace(name, numbers_.size() + 1).first->second; }

 private:
  std::unordered_map<uint64_t, uint64_t> numbers_;
};

// One turn of the core. `start`: there is no event, the effects are those of the core's start.
struct Turn {
  double now = 0;
  bool start = false;
  core::Event event;
  std::string effects;  // as EncodeEffects gives them
};

std::string EncodeEffects(const core::Effects& effects, CounterNames* names);
// `event` null: the core's start. `effects` as encoded.
void EncodeTurn(double now, const core::Event* event, const std::string& effects, std::string* out);
core::Event Masked(const core::Event& event, const Mask& mask);

// The turns in `bytes`, one after the other. Throws TraceError on what is none.
std::vector<Turn> DecodeTurns(std::string_view bytes);
core::Effects DecodeEffects(std::string_view bytes);

std::string Text(const core::Event& event);
std::string Text(const core::Effect& effect);
// The request that an effect is about; 0: none.
uint32_t RequestOf(const core::Effect& effect);

}  // namespace ivygw::trace

#endif  // IVYGW_TRACE_CODEC_H_
