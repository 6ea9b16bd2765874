#ifndef BERYLBARROW_CONNECTION_HTTP_REPLY_H_
#define BERYLBARROW_CONNECTION_HTTP_REPLY_H_

#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/process/core/core.h"

namespace berylbarrow {

/// A reply that the HTTP server makes itself, without the decision core.
struct caller_error {
  std::uint16_t status = 400;
  std::string code;
  std::string message;
};

/// {"error":{"code":"...","message":"..."}}
std::string ErrorBody(std::string_view code, std::string_view message);

/// A refusal before the core: 503, not run, Retry-After of one second.
caller_reply NotRunReply(std::string_view code, std::string_view message);

caller_reply ErrorReply(const caller_error& error);

/// True for status codes whose response never has a body.
bool IsBodyless(std::uint16_t status);

/// A whole HTTP/1.1 response with Content-Length.
std::string SerializeReply(const caller_reply& reply, bool keep_alive);

/// The head of an HTTP/1.1 response with chunked coding.
std::string SerializeHead(const caller_head& head, bool keep_alive);

std::string SerializeChunk(std::string_view bytes);
std::string SerializeLastChunk();

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_REPLY_H_
