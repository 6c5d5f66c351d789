#include "state/learned_file.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace ivygw::state {
namespace {

using micadock::LearnedState;
using nlohmann::json;

constexpr int kVersion = 1;
constexpr size_t kMostBackends = 100000;

}  // namespace

std::string FormatLearned(const LearnedState& learned, double at_s, const std::string& gateway,
                          const std::function<std::string(uint32_t)>& name_of) {
  json backends = json::array();
  for (const LearnedState::BackendEstimate& b : learned.backends) {
    std::string name = name_of(b.id);
    if (name.empty()) continue;
    backends.push_back({{"name", name},
                        {"speed", b.relative_latency},
                        {"pace", b.latency_ratio},
                        {"limit", b.limit},
                        {"fails", b.failure_rate},
                        {"cold_since", b.cold_since}});
  }
  return json{{"version", kVersion},
              {"gateway", gateway},
              {"at", at_s},
              {"backends", std::move(backends)},
              {"work", learned.work},
              {"units", learned.units},
              {"let_in", learned.admit_share},
              {"warm_work", learned.warm_work}}
             .dump() +
         "\n";
}

std::optional<LearnedState> ParseLearned(std::string_view text, double now_s, const std::string& gateway,
                                         const std::function<uint32_t(const std::string&)>& id_of) {
  json all = json::parse(text.begin(), text.end(), nullptr, false);
  if (!all.is_object()) throw StateError("it is not a JSON object");
  std::string at;
  auto field = [&at](const json& from, const char* name) -> const json& {
    at = name;
    auto it = from.find(name);
    if (it == from.end()) throw StateError(std::string("it lacks ") + name);
    return *it;
  };
  try {
    if (field(all, "version") != kVersion) throw StateError("version is not " + std::to_string(kVersion));
    if (field(all, "gateway") != gateway) throw StateError("gateway is not " + gateway);
    double age = now_s - field(all, "at").get<double>();
    if (!(age >= -1 && age <= kLearnedOldS)) return std::nullopt;
    LearnedState learned;
    learned.work = field(all, "work").get<std::vector<double>>();
    learned.units = field(all, "units").get<std::vector<double>>();
    learned.admit_share = field(all, "let_in").get<double>();
    learned.warm_work = field(all, "warm_work").get<double>();
    const json& backends = field(all, "backends");
    if (!backends.is_array() || backends.size() > kMostBackends)
      throw StateError("backends is no list of ours");
    for (const json& entry : backends) {
      if (!entry.is_object()) throw StateError("backends is no list of ours");
      LearnedState::BackendEstimate b;
      b.id = id_of(field(entry, "name").get<std::string>());
      b.relative_latency = field(entry, "speed").get<double>();
      b.latency_ratio = field(entry, "pace").get<double>();
      b.limit = field(entry, "limit").get<double>();
      b.failure_rate = field(entry, "fails").get<double>();
      b.cold_since = field(entry, "cold_since").get<double>();
      learned.backends.push_back(b);
    }
    return learned;
  } catch (const json::exception&) {
    throw StateError(at + " is unreadable");
  }
}

LearnedFile::LearnedFile(const std::string& directory, std::string gateway)
    : path_(PathOf(directory, gateway, "learned.json")), gateway_(std::move(gateway)) {}

void LearnedFile::Write(const LearnedState& learned, double at_s,
                        const std::function<std::string(uint32_t)>& name_of) const {
  WriteWhole(path_, FormatLearned(learned, at_s, gateway_, name_of), Durability::kProcess);
}

std::optional<LearnedState> LearnedFile::Read(
    double now_s, const std::function<uint32_t(const std::string&)>& id_of) const {
  std::optional<std::string> text = ReadWhole(path_);
  if (!text) return std::nullopt;
  try {
    return ParseLearned(*text, now_s, gateway_, id_of);
  } catch (const StateError& error) {
    throw StateError(path_ + ": " + error.what());
  }
}

}  // namespace ivygw::state
