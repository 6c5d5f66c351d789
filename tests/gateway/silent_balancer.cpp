// A module that never answers, linked in the real one's place: what the gateway's guard is for. Keyed
// requests are sent to the backend listed last, once.
#include "policy/balance.h"

namespace micadock {

class Balancer::Impl {
 public:
  uint32_t backend = 0;
};
Balancer::Balancer(const Settings&, uint64_t, double, Actions*) : impl_(std::make_unique<Impl>()) {}
Balancer::~Balancer() = default;
void Balancer::OnList(double, ListKind, const std::vector<Backend>& entries, Actions*) {
  if (!entries.empty()) impl_->backend = entries.back().id;
}
void Balancer::OnRequest(double, const Request& r, Actions* out) {
  if (r.cls != 1) return;
  Action send;
  send.kind = ActionKind::kSend;
  send.request = r.id;
  send.backend = impl_->backend;
  out->push_back(send);
}
LearnedState Balancer::ExportLearned(double) const { return {}; }
void Balancer::ImportLearned(double, const LearnedState&) {}
void Balancer::OnFleet(int, bool) {}
void Balancer::OnShare(double, uint64_t, double, double) {}
int Balancer::EjectedCount(double) const { return 0; }
void Balancer::OnBodyEnded(double, uint32_t, Actions*) {}
void Balancer::OnStreamBegun(double, uint32_t, Actions*) {}
void Balancer::OnOutcome(double, const Outcome&, Actions*) {}
void Balancer::OnAbandoned(double, uint32_t, Actions*) {}
void Balancer::OnTimer(double, uint64_t, Actions*) {}
void Balancer::OnCount(double, const CountAnswer&, Actions*) {}

}  // namespace micadock
