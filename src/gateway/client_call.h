// Reads what a client's message asks for. Pure.
#ifndef IVYGW_GATEWAY_CLIENT_CALL_H_
#define IVYGW_GATEWAY_CLIENT_CALL_H_

#include <string_view>

#include "gateway/config.h"
#include "net/client_server.h"
#include "policy/balance.h"

namespace ivygw {

// The path and query of a target, also where it names the whole address (RFC 9112, 3.2.2).
std::string_view OriginForm(std::string_view target);

// What a client's message says; `status` is 0 where it is sound, else the answer to give.
struct ClientCall {
  int status = 0;
  micadock::Request request;
  double timeout_s = 0;
  std::string_view id;  // in the message
};
ClientCall ReadCall(const http::request_header<>& message, const Config& config);

}  // namespace ivygw

#endif  // IVYGW_GATEWAY_CLIENT_CALL_H_
