// Copies one table from a running core, at one revision, while changes go on. One thread, that of the event
// loop.
#ifndef IVYGW_SYSTEM_SNAPSHOT_EXPORTER_H_
#define IVYGW_SYSTEM_SNAPSHOT_EXPORTER_H_

#include <functional>
#include <memory>
#include <string>

#include "replication/catch_up.h"
#include "snapshot/snapshot.h"
#include "transport/links.h"

namespace ivygw::snapshot {

// The role in the Hello of who asks for a copy; its node is the name of the table.
inline constexpr char kExporterRole[] = "snapshot";
// For which a core may send nothing of the table before the copy is given up.
inline constexpr double kExportTimeout = 10;  // s

class Exporter {
 public:
  // Called once, with the table or with why there is none; not after the end of this object.
  using Done = std::function<void(ReadResult)>;
  Exporter(asio::io_context& io, const tcp::endpoint& core, const std::string& table, double timeout,
           Done done);
  Exporter(const Exporter&) = delete;
  Exporter& operator=(const Exporter&) = delete;

 private:
  void SendHello();
  void RequestNext();
  void OnMessage(const messages::Message& message);
  void Finish();
  void RestartTimeout();
  void End(ReadResult result);

  const std::string table_;
  const std::string core_name_;
  const double timeout_;  // s
  Done done_;
  replication::CatchUp catch_up_;
  asio::steady_timer timeout_timer_;
  transport::LinkMemory link_memory_{transport::LinkMemory::kUnlimited};
  std::unique_ptr<transport::Dialer> dialer_;
};

}  // namespace ivygw::snapshot

#endif  // IVYGW_SYSTEM_SNAPSHOT_EXPORTER_H_
