// A gateway process among a counter, discovery and backends that behave.
#ifndef IVYGW_TESTS_SITE_RIG_H_
#define IVYGW_TESTS_SITE_RIG_H_

#include <memory>
#include <string>
#include <vector>

#include "rig/gateway_rig.h"

namespace rig {

// The counter: answers one call after another by `answer(name, amount)`; an empty text answers nothing.
class Counter {
 public:
  using Answer = std::function<std::string(const std::string&, double)>;
  explicit Counter(Answer answer)
      : server_([this, answer = std::move(answer)](Wire& wire) {
          for (;;) {
            std::vector<std::string> parts;
            std::string first;
            if (!Line(wire, &first)) return;
            for (int i = 0; i < std::atoi(first.c_str() + 1); ++i) {
              std::string size, part;
              if (!Line(wire, &size) || !Line(wire, &part)) return;
              EXPECT_EQ(static_cast<size_t>(std::atoi(size.c_str() + 1)), part.size());
              parts.push_back(part);
            }
            EXPECT_EQ(parts.size(), 4u);
            EXPECT_LE(parts[1].size(), 64u);
            calls.Add();
            wire.Write(answer(parts[1], std::atof(parts[2].c_str())));
          }
        }) {}
  int port() const { return server_.port(); }
  int connections() const { return server_.connections; }
  void Stop() { server_.Stop(); }
  Event calls;

 private:
  static bool Line(Wire& wire, std::string* line) {
    size_t end;
    while ((end = wire.unread.find("\r\n")) == std::string::npos) {
      if (!wire.More()) return false;
    }
    *line = wire.unread.substr(0, end);
    wire.unread.erase(0, end + 2);
    return true;
  }
  Server server_;
};

inline std::string Bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

// A gateway among peers that behave, with the given backends.
struct Site {
  explicit Site(const json& entries, json config = {}, const char* program = IVYGW, rlim_t descriptors = 0,
                const std::map<std::string, std::string>& environment = {}, int inherited = -1) {
    discovery.Set(entries);
    if (!config.is_object()) config = Config(0, 0);
    config["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
    config["counter"] = "127.0.0.1:" + std::to_string(counter.port());
    gateway = std::make_unique<Process>(config, program, descriptors, environment, inherited);
    EXPECT_NE(gateway->port, 0) << gateway->line;
    EXPECT_TRUE(discovery.Told());
  }
  Counter counter{[](const std::string&, double) { return Bulk("0"); }};
  Discovery discovery;
  std::unique_ptr<Process> gateway;
};

inline Backend::Answer Says(const std::string& text) {
  return [text](const Message&, Wire&) { return text; };
}
// Says nothing until the gateway gives the attempt up.
inline Backend::Answer Hangs(Event* given_up) {
  return [given_up](const Message&, Wire& wire) {
    if (wire.Ended()) given_up->Add();
    return std::string();
  };
}

}  // namespace rig

#endif  // IVYGW_TESTS_SITE_RIG_H_
