// A minimal embedding of the balancing policy: one gateway, one plan, one request from arrival to answer.
#include <cstdio>

#include "policy/balance.h"

int main() {
  micadock::Settings site;
  site.gateways = 1;
  site.resolution_s = 0.002;
  site.push_discovery = true;
  site.max_units = 4;
  site.try_limit = 3;
  site.cold_from = 0.2;
  site.warm_after_s = 15;
  site.tip_multiple = 2;
  site.tip_after_s = 1;
  micadock::ClassSettings read;
  read.aim_s = 0.5;
  read.deadline_s = 1.5;
  read.worth = 1;
  site.classes.push_back(read);
  micadock::PlanSettings plan;
  plan.rate = 2;
  plan.burst = 6;
  plan.over_cost = 1;
  plan.price = 1;
  site.plans.push_back(plan);

  micadock::Actions actions;
  double now = 1000;  // the caller's clock in seconds, the same at all gateways
  micadock::Balancer gateway(site, 42, now, &actions);
  micadock::Backend backend;
  backend.id = 7;
  gateway.OnList(now, micadock::ListKind::kFull, {backend}, &actions);

  micadock::Request request;
  request.id = 1;
  request.customer = 99;
  request.left_s = 1.2;
  request.units = 1;
  gateway.OnRequest(now, request, &actions);
  for (const micadock::Action& action : actions) {
    if (action.kind != micadock::ActionKind::kSend) continue;
    std::printf("send request %u to backend %u\n", action.request, action.backend);
    micadock::Outcome outcome;
    outcome.request = action.request;
    outcome.backend = action.backend;
    outcome.finished = true;
    actions.clear();
    gateway.OnOutcome(now + 0.05, outcome, &actions);
    return 0;
  }
  std::printf("refused\n");
  return 1;
}
