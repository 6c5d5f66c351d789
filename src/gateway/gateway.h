// The core's driver on sockets: turns what happens there into the core's events, and its effects into work.
// Keeps the clock, the bodies of what is held, and no book.
#ifndef IVYGW_GATEWAY_GATEWAY_H_
#define IVYGW_GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admin/server.h"
#include "core/driver.h"
#include "gateway/client_call.h"
#include "gateway/config.h"
#include "gateway/fleet_port.h"
#include "net/backend_links.h"
#include "net/client_server.h"
#include "net/counter_client.h"
#include "net/discovery_client.h"
#include "state/learned_file.h"
#include "state/operators_file.h"

namespace ivygw {

class Gateway : private BackendEvents, private CounterEvents {
 public:
  using Tap = core::Driver<Gateway>::Tap;
  // `tap`, if there is one, sees each event of the core with its effects. `make_fleet` is called where the
  // configuration names a fleet.
  Gateway(asio::io_context& io, const Config& config, Tap tap = nullptr,
          const MakeFleet& make_fleet = nullptr);
  ~Gateway() override;

  tcp::endpoint local() const { return server_.local(); }
  std::optional<tcp::endpoint> admin() const {
    return admin_ ? std::optional(admin_->local()) : std::nullopt;
  }
  // Goes on serving what comes, asks clients to close, and stops the io_context when nothing is held any more
  // or the time for that is over.
  void Close();
  void Reload(const Config& fresh);  // moves to the discovery and counter that it names
  void ReloadFailed() { ++failed_reloads_; }

 private:
  // Of a message to backends: all but the time-out.
  struct Message {
    std::string head, body;
    std::unique_ptr<bodies::BodyShare> share;  // of a body that is more than a few pages
    // Where the body was not whole when the request came:
    bool more = false;     // it still is not
    bool gone = false;     // its beginning has gone on, and is not kept
    bool chunked = false;  // towards the backend, since its length is not known
    uint64_t client = 0;
    uint64_t connection = 0;  // on which it goes on; 0: none
    double timeout_s = 0;
  };

  friend class core::Driver<Gateway>;
  double Now() const;
  void AfterTurn();

  void Execute(core::RegisterRequest& effect);
  void Send(uint64_t client, Answer answer);
  void Execute(core::SendResponse& effect);
  void Execute(core::StartResponse& effect);
  void Execute(core::AbortResponse& effect);
  void Execute(core::ReleaseRequest& effect);
  void Execute(core::OpenConnection& effect);
  void Execute(core::WriteRequest& effect);
  void Execute(core::CloseConnection& effect);
  void Execute(core::CallCounter& effect);
  void Execute(core::CancelCounterCall& effect);
  void Execute(core::Log& effect);
  void Execute(core::SubscribeToDiscovery& effect);
  void Execute(core::DisableClientKeepAlive& effect);
  void Execute(core::EnableClientKeepAlive& effect);
  void Execute(core::CloseIdleClientConnections& effect);
  void Execute(core::StopIfIdle& effect);
  void Execute(core::Stop& effect);
  void Stop();
  void Execute(core::RecordIntent& effect);
  void Execute(core::RecordAttemptEnd& effect);

  // Of works that outlive their gateway.
  void StartFleet(const MakeFleet& make);
  bool IsWork(const ClientMessage& message) const;
  bool TakeWork(uint64_t client, const ClientMessage& message, const ClientCall& call,
                const core::RequestArrived& arrival, Message* held);
  void OnAdmitted(const FleetEvents::Admission& admission);
  void OnTold(uint64_t client, int status, double retry_after_s, const std::string& type,
              const std::string& body, const char* why);

  // What operators call. The answer is what they are told.
  std::string OnCall(const admin::Call& call);
  std::string OnBan(const std::string& name, bool out);
  std::string OnDrain(bool on);
  std::string Figures() const;
  // Writes what operators say down for this gateway's other process, now or later; and follows what that one
  // wrote.
  std::string Keep(const std::function<void(state::OperatorsWord*)>& change);
  void Follow(const state::OperatorsWord& word);
  void Look();
  // What the module has learned, for the process that takes this one's place, and from the one before.
  static void Again(asio::steady_timer* timer, Clock::duration every, std::function<void()> task);
  void WriteLearned();
  void RecallLearned();
  void ServeIfReady();
  void StartOperators();

  void OnMessage(uint64_t client, ClientMessage message);
  void OnBody(uint64_t client, const std::string& bytes, bool last);
  void OnClientDrained(uint64_t client);
  static void AppendPart(const Message& to, const std::string& bytes, bool last, std::string* out);
  void OnClosed(uint64_t client);
  void OnDrained(uint64_t connection) override;
  void OnAnswerBegun(uint64_t connection, BackendAnswer answer) override;
  void OnAnswerPart(uint64_t connection, std::string bytes) override;
  void OnAnswerEnded(uint64_t connection, bool keep) override;
  void OnList(const BackendList& list, micadock::ListKind kind);
  void OnConnected(uint64_t connection) override;
  void OnWritten(uint64_t connection) override;
  void OnAnswer(uint64_t connection, BackendAnswer answer) override;
  void OnLost(uint64_t connection) override;
  void OnStale(uint64_t connection) override;
  void OnCountWritten(uint64_t call) override;
  void OnCountAnswer(uint64_t call, micadock::Result result, double total) override;
  void OnCountLost(uint64_t call) override;

  asio::io_context& io_;
  const Config& config_;
  const double epoch_s_;  // the system's clock at the monotonic clock's zero
  BackendIds ids_;
  bodies::BodyMemory memory_;
  BackendLinks links_;
  ClientServer server_;
  std::optional<CounterClient> counter_;
  DiscoveryClient discovery_;
  asio::steady_timer timer_;
  std::optional<Clock::time_point> armed_;
  std::unordered_map<uint64_t, Message> coming_;       // by client, until the core holds them
  std::unordered_map<uint32_t, Message> messages_;     // by request
  std::map<tcp::endpoint, uint64_t> address_numbers_;  // the core's words for addresses
  std::vector<tcp::endpoint> addresses_;
  std::optional<admin::Server> admin_;
  std::optional<state::OperatorsFile> operators_;
  std::optional<state::LearnedFile> learned_;
  asio::steady_timer looking_, learning_;
  bool recalled_ = false;
  std::set<std::string> bans_;  // by name, as the core has them
  std::vector<uint64_t>
      bad_;  // by class, requests that were answered as bad input and never reached the core
  uint64_t reloads_ = 0, failed_reloads_ = 0;
  bool closing_ = false;
  std::unordered_map<uint64_t, BackendAnswer> passing_;  // by connection, until the turn's end
  std::unordered_map<uint64_t, uint32_t> sending_;       // requests whose bodies go on, by connection
  std::unordered_map<uint64_t, uint32_t> bringing_;      // and by client
  struct Stream {                                        // a begun answer
    uint64_t client = 0;
    double true_units = 0;
  };
  std::unordered_map<uint64_t, Stream> streams_;      // by connection
  std::unordered_map<uint64_t, uint64_t> stream_to_;  // connection by client
  struct Taken {  // a work that the fleet is asked about, before the core has it
    core::RequestArrived arrival;
    Message message;
    double timeout_s = 0;
  };
  struct Place {
    int zone = 0, cell = 0;
  };
  std::unordered_map<uint64_t, Taken> taken_;          // by client
  std::unordered_map<uint64_t, const char*> notes_;    // by client, for its answer's header
  std::unordered_map<uint64_t, Answer> held_answers_;  // by client, until they are recorded
  std::unordered_map<uint32_t, Place> places_;         // of backends as listed
  std::optional<core::Driver<Gateway>> driver_;
  std::unique_ptr<FleetPort> fleet_;
  bool left_ = false;
};

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_GATEWAY_H_
