// The core's settings out of a gateway's configuration.
#ifndef IVYGW_GATEWAY_CORE_SETTINGS_H_
#define IVYGW_GATEWAY_CORE_SETTINGS_H_

#include "core/gateway_core.h"
#include "gateway/client_call.h"
#include "gateway/config.h"

namespace ivygw {

core::CoreSettings CoreSettingsOf(const Config& config);
size_t BodyBudget(const Config& config);   // bytes that bodies may take together
size_t MostClients(const Config& config);  // connections of clients at once
// `call` is sound; it came from `client`.
core::RequestArrived ArrivalOf(const ClientCall& call, uint64_t client);

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_CORE_SETTINGS_H_
