// Follows discovery: the whole list once, then one watch after another. Turns names into the module's ids.
#ifndef IVYGW_NET_DISCOVERY_CLIENT_H_
#define IVYGW_NET_DISCOVERY_CLIENT_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/address.h"
#include "net/clock.h"
#include "net/http.h"
#include "policy/balance.h"
#include "settings/settings.h"

namespace ivygw {

struct Listed {
  micadock::Backend backend;
  tcp::endpoint address;
};
struct BackendList {
  uint64_t index = 0;
  bool full = false;
  std::vector<Listed> entries;
};

// Ids that are the same at every gateway, since they come of the names alone. Two names of one hash are told
// apart by the next free number; only then may gateways that met them in another order differ.
class BackendIds {
 public:
  using Hash = uint32_t (*)(std::string_view);
  explicit BackendIds(Hash hash = &NameHash) : hash_(hash) {}
  uint32_t Of(const std::string& name);
  std::string NameOf(uint32_t id) const {  // empty: of none that was asked for
    auto it = names_.find(id);
    return it == names_.end() ? std::string() : it->second;
  }
  bool Known(const std::string& name) const { return ids_.count(name) != 0; }  // it has been asked for before
  static uint32_t NameHash(std::string_view name);

 private:
  Hash hash_;
  std::unordered_map<std::string, uint32_t> ids_;
  std::unordered_map<uint32_t, std::string> names_;
};

// Throws micadock::WireError on anything that is not a list in discovery's form.
BackendList ParseList(const nlohmann::json& list, const micadock::SiteSettings& site, BackendIds* ids);

class DiscoveryClient {
 public:
  using OnList = std::function<void(BackendList)>;
  using OnFailed = std::function<void()>;

  DiscoveryClient(asio::io_context& io, tcp::endpoint address, const micadock::SiteSettings& site,
                  BackendIds* ids, OnList on_list, OnFailed on_failed);

  void Start();                             // no-op once running: what fails is tried again here
  void Move(const tcp::endpoint& address);  // asks another agent for the whole list, at once

 private:
  void Ask();
  void Connect();
  void Send();
  void Read();
  void Answered();
  void Failed();

  asio::io_context& io_;
  tcp::endpoint address_;
  const micadock::SiteSettings& site_;
  BackendIds* ids_;
  OnList on_list_;
  OnFailed on_failed_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string message_;
  std::optional<uint64_t> index_;
  uint64_t turn_ = 0;  // of the exchange: handlers of an earlier one do nothing
  Clock::duration backoff_{};
  bool running_ = false, whole_next_ = true;
};

}  // namespace ivygw

#endif  // IVYGW_NET_DISCOVERY_CLIENT_H_
