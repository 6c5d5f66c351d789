#include "core/hooked_balancer.h"

namespace micadock {

class Balancer::Impl {};
Balancer::Balancer(const Settings&, uint64_t, double, Actions*) {}
Balancer::~Balancer() = default;
void Balancer::OnList(double, ListKind, const std::vector<Backend>&, Actions*) {}
void Balancer::OnRequest(double, const Request& r, Actions* out) {
  if (hooks.on_request) hooks.on_request(r, out);
}
LearnedState Balancer::ExportLearned(double) const { return {}; }
void Balancer::ImportLearned(double, const LearnedState&) {}
void Balancer::OnFleet(int, bool) {}
void Balancer::OnShare(double, uint64_t, double, double) {}
int Balancer::EjectedCount(double) const { return 0; }
void Balancer::OnBodyEnded(double, uint32_t, Actions*) {}
void Balancer::OnStreamBegun(double, uint32_t, Actions*) {}
void Balancer::OnOutcome(double, const Outcome& o, Actions* out) {
  if (hooks.on_outcome) hooks.on_outcome(o, out);
}
void Balancer::OnAbandoned(double, uint32_t request, Actions* out) {
  if (hooks.on_abandoned) hooks.on_abandoned(request, out);
}
void Balancer::OnTimer(double, uint64_t tag, Actions* out) {
  if (hooks.on_timer) hooks.on_timer(tag, out);
}
void Balancer::OnCount(double, const CountAnswer& answer, Actions* out) {
  if (hooks.on_count) hooks.on_count(answer, out);
}

}  // namespace micadock
