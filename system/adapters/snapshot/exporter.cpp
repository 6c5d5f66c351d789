#include "snapshot/exporter.h"

#include <random>
#include <utility>

namespace ivygw::snapshot {

using replication::CatchUp;

Exporter::Exporter(asio::io_context& io, const tcp::endpoint& core, const std::string& table, double timeout,
                   Done done)
    : table_(table),
      core_name_(core.address().to_string() + ":" + std::to_string(core.port())),
      timeout_(timeout),
      done_(std::move(done)),
      timeout_timer_(io) {
  transport::Dialer::Events events;
  events.up = [this] {
    SendHello();
    RequestNext();
  };
  events.message = [this](const messages::Message& message) { OnMessage(message); };
  events.down = [this] { catch_up_.OnSenderLost(); };
  dialer_ = std::make_unique<transport::Dialer>(io, &link_memory_, core, std::move(events));
  RestartTimeout();
}

void Exporter::SendHello() {
  messages::Hello hello;
  hello.node = table_;
  hello.role = kExporterRole;
  hello.incarnation = std::random_device{}();
  dialer_->Send(hello);
}

// From the beginning, or on from what has been gathered.
void Exporter::RequestNext() {
  messages::PeerMessage message;
  message.body = catch_up_.Request(TimePoint(), core_name_, 0);
  dialer_->Send(message);
}

void Exporter::OnMessage(const messages::Message& message) {
  const auto* peer = std::get_if<messages::PeerMessage>(&message);
  const auto* delta = peer ? std::get_if<messages::Delta>(&peer->body) : nullptr;
  if (!delta) return;
  CatchUp::Step step = catch_up_.OnDelta(core_name_, *delta);
  if (step == CatchUp::Step::kComplete) return Finish();
  if (step == CatchUp::Step::kIgnored) return;
  RestartTimeout();
  RequestNext();
}

void Exporter::Finish() {
  if (catch_up_.membership().epoch == 0) {
    SnapshotError error{SnapshotErrorCode::kUnreadable, "core",
                        core_name_ + ": knows nothing of the table yet"};
    return End({std::nullopt, error});
  }
  Snapshot snapshot;
  snapshot.table = table_;
  snapshot.membership = catch_up_.membership();
  snapshot.revision = catch_up_.end();
  for (const auto& [key, record] : catch_up_.records()) snapshot.records.push_back(record);
  End({std::move(snapshot), {}});
}

void Exporter::RestartTimeout() {
  timeout_timer_.expires_after(Seconds(timeout_));
  timeout_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    SnapshotError error{SnapshotErrorCode::kUnreadable, "core",
                        core_name_ + ": sends nothing of table " + table_};
    End({std::nullopt, error});
  });
}

void Exporter::End(ReadResult result) {
  if (!done_) return;
  timeout_timer_.cancel();
  Done done = std::exchange(done_, nullptr);
  done(std::move(result));
}

}  // namespace ivygw::snapshot
