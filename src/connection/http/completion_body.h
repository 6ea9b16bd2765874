#ifndef BERYLBARROW_CONNECTION_HTTP_COMPLETION_BODY_H_
#define BERYLBARROW_CONNECTION_HTTP_COMPLETION_BODY_H_

#include <cstdint>
#include <string>

namespace berylbarrow {

/// The fields of a completion request that the load balancer reads.
struct completion_fields {
  std::string model;
  std::uint64_t prefix_hash = 0;  // XXH64 of the first 256 bytes of "prompt"; 0: no prompt
  std::string error;              // empty if the body is valid
};

/// Reads the body of a completion request without building a document, so that a hostile body
/// costs no more memory than its own size.
completion_fields ReadCompletionBody(const std::string& body);

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_COMPLETION_BODY_H_
