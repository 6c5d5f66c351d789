#include "trace/codec.h"

#include <sodium.h>

#include <cstring>
#include <msgpack.hpp>
#include <sstream>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace ivygw::trace {

namespace {

// A length that is only claimed must not fill the memory: room for an array is made before its parts are
// there.
const msgpack::unpack_limit kLimits(1 << 16, 0, 1 << 20, 64 << 20, 0, 8);

// The fields of each, in the order in which they are written. A field added here is a new version of the
// form.
auto Tie(core::RequestArrived& e) {
  return std::tie(e.client, e.id, e.cls, e.plan, e.customer, e.units, e.entries, e.timeout_s, e.body_s,
                  e.recorded, e.resumed, e.may_have_run, e.ran_age_s, e.ran_zone, e.ran_cell);
}
auto Tie(core::ClientDisconnected& e) { return std::tie(e.client); }
auto Tie(core::ConnectionOpened& e) { return std::tie(e.connection); }
auto Tie(core::RequestWritten& e) { return std::tie(e.connection); }
auto Tie(core::ResponseReceived& e) { return std::tie(e.connection, e.result, e.true_units, e.reusable); }
auto Tie(core::ConnectionLost& e) { return std::tie(e.connection); }
auto Tie(core::ConnectionStale& e) { return std::tie(e.connection); }
auto Tie(core::BackendListUpdated& e) { return std::tie(e.kind, e.entries); }
auto Tie(core::DiscoveryFailed&) { return std::tuple<>(); }
auto Tie(core::CounterCallWritten& e) { return std::tie(e.call); }
auto Tie(core::CounterResponseReceived& e) { return std::tie(e.call, e.result, e.total); }
auto Tie(core::CounterCallLost& e) { return std::tie(e.call); }
auto Tie(core::TimerExpired&) { return std::tuple<>(); }
auto Tie(core::ShutdownRequested&) { return std::tuple<>(); }
auto Tie(core::BackendBanChanged& e) { return std::tie(e.backend, e.banned); }
auto Tie(core::DrainChanged& e) { return std::tie(e.on); }
auto Tie(core::BodyDiscarded& e) { return std::tie(e.request); }
auto Tie(core::BodyCompleted& e) { return std::tie(e.request); }
auto Tie(core::ResponseStarted& e) { return std::tie(e.connection); }
auto Tie(core::IntentResolved& e) { return std::tie(e.request, e.attempt, e.ok); }
auto Tie(core::RequestWithdrawn& e) { return std::tie(e.client); }
auto Tie(core::FleetSizeChanged& e) { return std::tie(e.gateways, e.counted); }
auto Tie(core::QuotaShareGranted& e) { return std::tie(e.customer, e.share, e.seconds); }
auto Tie(core::LearnedStateRestored& e) {
  micadock::LearnedState& l = e.learned;
  return std::tie(l.backends, l.work, l.units, l.admit_share, l.warm_work);
}
auto Tie(micadock::LearnedState::BackendEstimate& b) {
  return std::tie(b.id, b.relative_latency, b.latency_ratio, b.limit, b.failure_rate, b.cold_since);
}
auto Tie(core::ListedBackend& e) {
  micadock::Backend& b = e.backend;
  return std::tie(b.id, b.state, b.kind, b.zone, b.cell, b.weight, b.started_s, e.address);
}
auto Tie(core::RegisterRequest& e) { return std::tie(e.request, e.client); }
auto Tie(core::SendResponse& e) {
  return std::tie(e.client, e.request, e.status, e.retry_after_s, e.connection);
}
auto Tie(core::ReleaseRequest& e) { return std::tie(e.request); }
auto Tie(core::OpenConnection& e) { return std::tie(e.connection, e.address); }
auto Tie(core::WriteRequest& e) {
  return std::tie(e.connection, e.request, e.attempt, e.timeout_s, e.reused);
}
auto Tie(core::CloseConnection& e) { return std::tie(e.connection); }
auto Tie(core::CallCounter& e) { return std::tie(e.call, e.name, e.amount, e.ttl_s); }
auto Tie(core::CancelCounterCall& e) { return std::tie(e.call); }
auto Tie(core::Log& e) { return std::tie(e.text); }
auto Tie(core::SubscribeToDiscovery&) { return std::tuple<>(); }
auto Tie(core::DisableClientKeepAlive&) { return std::tuple<>(); }
auto Tie(core::CloseIdleClientConnections&) { return std::tuple<>(); }
auto Tie(core::StopIfIdle&) { return std::tuple<>(); }
auto Tie(core::Stop&) { return std::tuple<>(); }
auto Tie(core::EnableClientKeepAlive&) { return std::tuple<>(); }
auto Tie(core::StartResponse& e) { return std::tie(e.client, e.request, e.connection); }
auto Tie(core::AbortResponse& e) { return std::tie(e.client, e.request); }
auto Tie(core::RecordIntent& e) { return std::tie(e.request, e.attempt, e.backend); }
auto Tie(core::RecordAttemptEnd& e) { return std::tie(e.request, e.attempt, e.may_have_run); }

constexpr const char* kEventNames[] = {
    "arrival",      "client_gone", "connected",   "written",       "answered",       "lost",
    "stale",        "list",        "list_failed", "count_written", "count_answered", "count_lost",
    "time",         "shutdown",    "ban",         "drain",         "body_gone",      "body_ended",
    "answer_begun", "learned",     "intent",      "withdrawn",     "fleet",          "share"};
constexpr const char* kEffectNames[] = {"hold",
                                        "answer",
                                        "forget",
                                        "connect",
                                        "write",
                                        "close",
                                        "count",
                                        "drop_count",
                                        "log",
                                        "subscribe",
                                        "ask_clients_to_close",
                                        "close_idle_clients",
                                        "stop_if_quiet",
                                        "stop",
                                        "keep_clients",
                                        "begin_answer",
                                        "break_answer",
                                        "intend",
                                        "attempt_over"};
static_assert(std::size(kEventNames) == std::variant_size_v<core::Event>);
static_assert(std::size(kEffectNames) == std::variant_size_v<core::Effect>);

// Lists whose parts have fields of their own.
template <typename Field>
constexpr bool kListOfStructs = std::is_same_v<Field, std::vector<core::ListedBackend>> ||
                                std::is_same_v<Field, std::vector<micadock::LearnedState::BackendEstimate>>;

// What msgpack's packer writes to.
struct Sink {
  std::string* out;
  void write(const char* bytes, size_t size) { out->append(bytes, size); }
};
using Packer = msgpack::packer<Sink>;

template <typename Field>
void Put(Packer* p, Field& field) {
  if constexpr (std::is_enum_v<Field>) {
    p->pack(static_cast<int>(field));
  } else if constexpr (kListOfStructs<Field>) {
    p->pack_array(static_cast<uint32_t>(field.size()));
    for (auto& listed : field) {
      std::apply(
          [p](auto&... f) {
            p->pack_array(sizeof...(f));
            (Put(p, f), ...);
          },
          Tie(listed));
    }
  } else {
    p->pack(field);
  }
}

template <typename Field>
void Get(const msgpack::object& from, Field* field);

template <typename Struct>
void GetAll(const msgpack::object& from, size_t skip, Struct* out) {
  std::apply(
      [&](auto&... f) {
        if (from.type != msgpack::type::ARRAY || from.via.array.size != skip + sizeof...(f))
          throw msgpack::type_error();
        size_t at = skip;
        (Get(from.via.array.ptr[at++], &f), ...);
      },
      Tie(*out));
}

template <typename Field>
void Get(const msgpack::object& from, Field* field) {
  if constexpr (std::is_enum_v<Field>) {
    *field = static_cast<Field>(from.as<int>());
  } else if constexpr (kListOfStructs<Field>) {
    if (from.type != msgpack::type::ARRAY) throw msgpack::type_error();
    field->resize(from.via.array.size);
    for (size_t i = 0; i < field->size(); ++i) GetAll(from.via.array.ptr[i], 0, &(*field)[i]);
  } else {
    from.convert(*field);
  }
}

// [number of the kind, fields...]
template <typename Variant>
void PutVariant(Packer* p, Variant what) {
  uint64_t kind = what.index();
  std::visit(
      [&](auto& e) {
        std::apply(
            [&](auto&... f) {
              p->pack_array(1 + sizeof...(f));
              p->pack(kind);
              (Put(p, f), ...);
            },
            Tie(e));
      },
      what);
}

template <typename Variant, size_t... Kinds>
Variant Make(size_t kind, std::index_sequence<Kinds...>) {
  Variant out;
  bool known = ((kind == Kinds && (out.template emplace<Kinds>(), true)) || ...);
  if (!known) throw msgpack::type_error();
  return out;
}

template <typename Variant>
Variant GetVariant(const msgpack::object& from) {
  if (from.type != msgpack::type::ARRAY || from.via.array.size == 0) throw msgpack::type_error();
  auto out = Make<Variant>(from.via.array.ptr[0].as<size_t>(),
                           std::make_index_sequence<std::variant_size_v<Variant>>());
  std::visit([&](auto& e) { GetAll(from, 1, &e); }, out);
  return out;
}

template <typename Field>
void Print(std::ostream& out, const Field& field) {
  if constexpr (std::is_enum_v<Field>) {
    out << ' ' << static_cast<int>(field);
  } else if constexpr (std::is_same_v<Field, std::vector<core::ListedBackend>>) {
    for (const core::ListedBackend& l : field) {
      bool ready = l.backend.state == micadock::BackendState::kReady,
           gone = l.backend.state == micadock::BackendState::kGone;
      out << ' ' << l.backend.id << (ready ? "+" : gone ? "-" : "~");
    }
  } else if constexpr (std::is_same_v<Field, std::vector<micadock::LearnedState::BackendEstimate>>) {
    for (const auto& b : field) out << ' ' << b.id << (b.cold_since > 0 ? "c" : "") << ':' << b.limit;
  } else if constexpr (std::is_same_v<Field, std::vector<double>>) {
    for (double value : field) out << ' ' << value;
  } else {
    out << ' ' << field;
  }
}

template <typename Variant>
std::string TextOf(Variant what, const char* const* names) {
  std::ostringstream out;
  out.precision(10);
  out << names[what.index()];
  std::visit([&](auto& e) { std::apply([&](auto&... f) { (Print(out, f), ...); }, Tie(e)); }, what);
  return out.str();
}

}  // namespace

Mask::Mask() {
  if (sodium_init() < 0) throw TraceError("no random key is to be had");
  static_assert(crypto_shorthash_KEYBYTES == 16);
  randombytes_buf(key_.data(), key_.size());
}

uint64_t Mask::Customer(uint64_t customer) const {
  unsigned char hash[crypto_shorthash_BYTES];
  crypto_shorthash(hash, reinterpret_cast<const unsigned char*>(&customer), sizeof(customer), key_.data());
  uint64_t out;
  std::memcpy(&out, hash, sizeof(out));
  return out;
}

std::string Mask::Id(const std::string& id) const {
  unsigned char hash[crypto_shorthash_BYTES];
  crypto_shorthash(hash, reinterpret_cast<const unsigned char*>(id.data()), id.size(), key_.data());
  char hex[2 * crypto_shorthash_BYTES + 1];
  sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
  return hex;
}

core::Event Masked(const core::Event& event, const Mask& mask) {
  core::Event out = event;
  if (auto* arrival = std::get_if<core::RequestArrived>(&out)) {
    arrival->customer = mask.Customer(arrival->customer);
    arrival->id = mask.Id(arrival->id);
  }
  return out;
}

std::string EncodeEffects(const core::Effects& effects, CounterNames* names) {
  std::string bytes;
  Sink sink{&bytes};
  Packer packer(sink);
  packer.pack_array(static_cast<uint32_t>(effects.size()));
  for (const core::Effect& effect : effects) {
    core::Effect plain = effect;
    if (auto* count = std::get_if<core::CallCounter>(&plain)) count->name = names->Of(count->name);
    PutVariant(&packer, std::move(plain));
  }
  return bytes;
}

void EncodeTurn(double now, const core::Event* event, const std::string& effects, std::string* out) {
  Sink sink{out};
  Packer packer(sink);
  packer.pack_array(3);
  packer.pack(now);
  if (event != nullptr) {
    PutVariant(&packer, *event);
  } else {
    packer.pack_nil();
  }
  packer.pack_bin(static_cast<uint32_t>(effects.size()));
  packer.pack_bin_body(effects.data(), static_cast<uint32_t>(effects.size()));
}

std::vector<Turn> DecodeTurns(std::string_view bytes) {
  std::vector<Turn> turns;
  size_t at = 0;
  try {
    while (at < bytes.size()) {
      msgpack::object_handle handle =
          msgpack::unpack(bytes.data(), bytes.size(), at, nullptr, nullptr, kLimits);
      const msgpack::object& o = handle.get();
      if (o.type != msgpack::type::ARRAY || o.via.array.size != 3) throw msgpack::type_error();
      Turn turn;
      o.via.array.ptr[0].convert(turn.now);
      turn.start = o.via.array.ptr[1].is_nil();
      if (!turn.start) turn.event = GetVariant<core::Event>(o.via.array.ptr[1]);
      const msgpack::object& effects = o.via.array.ptr[2];
      if (effects.type != msgpack::type::BIN) throw msgpack::type_error();
      turn.effects.assign(effects.via.bin.ptr, effects.via.bin.size);
      turns.push_back(std::move(turn));
    }
  } catch (const std::exception&) {
    throw TraceError("no record at byte " + std::to_string(at) + " of its chunk");
  }
  return turns;
}

core::Effects DecodeEffects(std::string_view bytes) {
  core::Effects effects;
  try {
    msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, kLimits);
    const msgpack::object& o = handle.get();
    if (o.type != msgpack::type::ARRAY) throw msgpack::type_error();
    for (size_t i = 0; i < o.via.array.size; ++i)
      effects.push_back(GetVariant<core::Effect>(o.via.array.ptr[i]));
  } catch (const std::exception&) {
    throw TraceError("a record's effects cannot be read");
  }
  return effects;
}

std::string Text(const core::Event& event) { return TextOf(event, kEventNames); }
std::string Text(const core::Effect& effect) { return TextOf(effect, kEffectNames); }

uint32_t RequestOf(const core::Effect& effect) {
  return std::visit(
      [](const auto& e) -> uint32_t {
        if constexpr (requires { e.request; }) return e.request;
        return 0;
      },
      effect);
}

}  // namespace ivygw::trace
