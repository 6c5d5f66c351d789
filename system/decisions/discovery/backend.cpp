#include "discovery/backend.h"

#include "config_model/json.h"

namespace ivygw::discovery {
namespace {

constexpr double kMaxSequence = 9007199254740992;  // 2^53: up to it JSON numbers are exact integers

std::string Read(const config_model::Object& root, Backend* out) {
  std::string state, fault;
  if (!(fault = root.Get("target_service", &out->service)).empty()) return fault;
  if (!(fault = root.Get("address", &out->address)).empty()) return fault;
  if (!(fault = root.Get("zone", &out->zone, false)).empty()) return fault;
  if (!(fault = root.Get("slot_count", &out->slot_count, false)).empty()) return fault;
  if (!(fault = root.Get("oper_state", &state)).empty()) return fault;
  if (!(fault = root.Get("warmup_left_ms", &out->warmup_left_ms, false)).empty()) return fault;
  if (state != "ready" && state != "draining") return "oper_state: ready or draining is wanted";
  out->draining = state == "draining";
  if (out->slot_count < 1) return "slot_count: must be 1 or more";
  if (out->address.find(':') == std::string::npos) return "address: IP:port is wanted";
  return {};
}

}  // namespace

std::string ParseHeartbeat(const std::string& json, Backend* out) {
  config_model::Document document;
  config_model::Object root;
  std::string fault = document.Read(json, &root);
  if (fault.empty()) fault = Read(root, out);
  double sequence = 0;
  if (fault.empty()) fault = root.Get("call_sequence", &sequence);
  if (fault.empty() && !(sequence >= 0 && sequence <= kMaxSequence))
    fault = "call_sequence: must be between 0 and 2^53";
  if (fault.empty()) out->sequence = static_cast<uint64_t>(sequence);
  return fault;
}

std::string FormatBackend(const Backend& b) {
  using config_model::Quoted;
  return "{\"target_service\":" + Quoted(b.service) + ",\"address\":" + Quoted(b.address) +
         ",\"zone\":" + Quoted(b.zone) + ",\"slot_count\":" + std::to_string(b.slot_count) +
         ",\"oper_state\":\"" + (b.draining ? "draining" : "ready") +
         "\",\"warmup_left_ms\":" + std::to_string(b.warmup_left_ms) + "}";
}

std::string ParseBackend(const std::string& json, Backend* out) {
  config_model::Document document;
  config_model::Object root;
  if (std::string fault = document.Read(json, &root); !fault.empty()) return fault;
  return Read(root, out);
}

}  // namespace ivygw::discovery
