#include "net/discovery_client.h"

#include <algorithm>
#include <cmath>

namespace ivygw {
namespace {

using micadock::WireError;
using nlohmann::json;

constexpr size_t kMaxList = size_t{8} << 20;
// Of a watch. A connection that has gone silent is noticed this and kPatience after its last word: three
// times over within the 6 s after which a change counts as told, come what may.
constexpr int kWaitMs = 1000;
constexpr auto kPatience = std::chrono::milliseconds(900);
constexpr auto kBackoffLeast = std::chrono::milliseconds(50), kBackoffMost = std::chrono::milliseconds(1000);

int Position(const std::vector<std::string>& names, const std::string& name) {
  auto it = std::find(names.begin(), names.end(), micadock::PlainName(name));
  return static_cast<int>(it -
                          names.begin());  // one that the settings do not name comes after all that they do
}

}  // namespace

uint32_t BackendIds::NameHash(std::string_view name) {
  uint32_t hash = 2166136261u;  // FNV-1a
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  return hash;
}

uint32_t BackendIds::Of(const std::string& name) {
  auto it = ids_.find(name);
  if (it != ids_.end()) return it->second;
  uint32_t id = hash_(name);
  while (!names_.try_emplace(id, name).second) ++id;
  ids_[name] = id;
  return id;
}

BackendList ParseList(const json& list, const micadock::SiteSettings& site, BackendIds* ids) {
  BackendList out;
  std::vector<std::pair<std::string, Listed>> named;
  try {
    out.index = list.at("index").get<uint64_t>();
    out.full = list.at("snapshot").get<bool>();
    for (const json& entry : list.at("endpoints")) {
      Listed listed;
      micadock::Backend& b = listed.backend;
      std::string status = entry.at("status").get<std::string>();
      if (status == "active") {
        b.state = micadock::BackendState::kReady;
      } else if (status == "leaving") {
        b.state = micadock::BackendState::kDraining;
      } else if (status == "left") {
        b.state = micadock::BackendState::kGone;
      } else {
        throw WireError("unknown status " + status);
      }
      if (b.state != micadock::BackendState::kGone || entry.contains("address")) {
        listed.address = ParseAddress("address", entry.at("address").get<std::string>());
      }
      b.kind = Position(site.kinds, entry.value("type", ""));
      b.zone = Position(site.zones, entry.value("zone", ""));
      b.cell = entry.value("group", 0);
      b.weight = entry.value("weight", 1.0);
      b.started_s = entry.value("since_ms", 0.0) / 1000;
      if (!std::isfinite(b.weight) || !std::isfinite(b.started_s)) throw WireError("a figure is not finite");
      named.emplace_back(entry.at("name").get<std::string>(), listed);
    }
  } catch (const json::exception& error) {
    throw WireError(error.what());
  }
  // By name, so that names of one hash get the same ids wherever they are first met together.
  std::vector<std::string> names;
  names.reserve(named.size());
  for (const auto& [name, listed] : named) names.push_back(name);
  std::sort(names.begin(), names.end());
  for (const std::string& name : names) ids->Of(name);
  for (auto& [name, listed] : named) {
    listed.backend.id = ids->Of(name);
    out.entries.push_back(std::move(listed));
  }
  return out;
}

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint address,
                                 const micadock::SiteSettings& site, BackendIds* ids, OnList on_list,
                                 OnFailed on_failed)
    : io_(io),
      address_(std::move(address)),
      site_(site),
      ids_(ids),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      socket_(io),
      timer_(io) {}

void DiscoveryClient::Start() {
  if (running_) return;
  running_ = true;
  Ask();
}

// A version that the agent before gave means nothing to this one.
void DiscoveryClient::Move(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  whole_next_ = true;
  backoff_ = {};
  CloseNow(socket_);
  Ask();
}

void DiscoveryClient::Ask() {
  if (!running_) return;
  uint64_t turn = ++turn_;
  bool watch = index_.has_value() && !whole_next_;
  message_ = "GET /api/targets";
  if (watch) message_ += "?after=" + std::to_string(*index_) + "&wait_ms=" + std::to_string(kWaitMs);
  message_ += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
  Renew(&parser_, kMaxList);
  timer_.expires_after(kPatience + std::chrono::milliseconds(watch ? kWaitMs : 0));
  timer_.async_wait([this, turn](error_code cancelled) {
    if (!cancelled && turn == turn_) Failed();
  });
  if (socket_.is_open() && !Stale(socket_)) {
    Send();
  } else {
    CloseNow(socket_);
    Connect();
  }
}

void DiscoveryClient::Connect() {
  buffer_.clear();
  error_code error = Open(socket_, address_);
  if (error) return Failed();
  socket_.async_connect(address_, [this, turn = turn_](error_code failed) {
    if (turn != turn_) return;
    if (failed) return Failed();
    Send();
  });
}

void DiscoveryClient::Send() {
  WriteAll(socket_, message_, [this, turn = turn_](error_code error) {
    if (turn != turn_) return;
    if (error) return Failed();
    Read();
  });
}

void DiscoveryClient::Read() {
  socket_.async_read_some(buffer_.prepare(kReadChunk), [this, turn = turn_](error_code error, size_t n) {
    if (turn != turn_) return;
    buffer_.commit(n);
    error_code bad;
    if (error == asio::error::eof && parser_->got_some()) {
      parser_->put_eof(bad);
    } else if (error) {
      return Failed();
    }
    if (!bad && !parser_->is_done()) bad = Feed(*parser_, buffer_);
    if (bad) return Failed();
    if (parser_->is_done()) return Answered();
    if (error) return Failed();
    Read();
  });
}

void DiscoveryClient::Answered() {
  if (parser_->get().result_int() != 200) return Failed();
  BackendList list;
  try {
    list = ParseList(json::parse(parser_->get().body()), site_, ids_);
  } catch (const std::exception&) {
    return Failed();  // what is no list changes nothing: the old list is kept
  }
  if (whole_next_ && !list.full) return Failed();
  if (!parser_->keep_alive() || buffer_.size() > 0) CloseNow(socket_);
  whole_next_ = false;
  index_ = list.index;
  backoff_ = {};
  Ask();  // renewed at once: a watch lives on only for 200 ms between its calls
  on_list_(std::move(list));
}

void DiscoveryClient::Failed() {
  uint64_t turn = ++turn_;
  CloseNow(socket_);
  backoff_ = std::clamp<Clock::duration>(backoff_ * 2, kBackoffLeast, kBackoffMost);
  // A watch that broke goes on after the same version. After a longer gap the whole list is asked for again,
  // so that no change is missed whatever the agent remembers.
  if (backoff_ > 2 * kBackoffLeast) whole_next_ = true;
  timer_.expires_after(backoff_);
  timer_.async_wait([this, turn](error_code cancelled) {
    if (!cancelled && turn == turn_) Ask();
  });
  on_failed_();
}

}  // namespace ivygw
