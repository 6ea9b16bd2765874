#ifndef BERYLBARROW_CONNECTION_HTTP_EXCHANGE_DIALECT_H_
#define BERYLBARROW_CONNECTION_HTTP_EXCHANGE_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/connection/http/http_parser.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// What a caller's request says of itself beyond its route.
struct caller_facts {
  std::string attempt_id;                   // of this one try of the caller
  std::string key;                          // empty: none, or not in a known form
  std::optional<duration> deadline;         // how much longer the caller waits
  std::optional<std::uint64_t> last_event;  // a stream goes on after this event
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;  // at most
  std::uint32_t answer_hint = 0;    // the caller's estimate; 0: none
  /// Ids of the prompt parts that other requests may share, in order. The last part of a prompt
  /// belongs to one request or session and is left out.
  std::vector<std::uint64_t> shared_parts;
};

/// What an entry adds to a request on its way to an upstream.
struct attempt_fields {
  std::string upstream_id;
  std::string account;  // empty: the route is public
  duration remaining = duration::zero();
  std::optional<std::uint64_t> last_event;
  std::optional<std::uint32_t> priority;
};

struct reply_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// What an answer says of itself beyond the HTTP message.
struct reply_facts {
  std::string attempt_id;       // of the request it answers; empty if it does not say
  bool not_run = false;         // the upstream states that it did not begin the request
  bool is_signed = false;       // produced by an upstream
  bool is_misdirected = false;  // another upstream has the address now
  bool is_leaving = false;      // the upstream ends soon and takes no new requests
  std::string failed_upstream;  // whose failure caused the refusal
  std::optional<reply_load> load;
  std::optional<duration> cold_left;
  /// Requests per second that the upstream takes from all entries together.
  std::optional<double> rate_limit;
  /// With a refusal: how long the upstream wants nothing from this entry.
  std::optional<duration> pause;
};

/// Header fields of callers and upstreams. Implemented by each platform.
class exchange_dialect {
 public:
  virtual ~exchange_dialect() = default;
  virtual caller_facts ReadCaller(const http_head& head) const = 0;
  /// The fields of the request for the upstream: those of the caller that concern both ends, and
  /// those of the attempt. Framing is added by the connection.
  virtual std::vector<header_field> AttemptFields(const http_head& head,
                                                  const attempt_fields& attempt) const = 0;
  virtual reply_facts ReadReply(const http_head& head) const = 0;
  /// The fields of an answer made by the entry itself.
  virtual std::vector<header_field> RefusalFields(const std::string& attempt_id,
                                                  std::optional<duration> retry_after) const = 0;
};

/// Fields that concern only one connection: the usual ones and those that `Connection` names.
bool IsConnectionField(const http_head& head, std::string_view name);

/// Serialised start line and fields, with the blank line.
std::string RequestHeadText(const http_head& head, const std::vector<header_field>& fields);
std::string AnswerHeadText(unsigned status, std::string_view reason,
                           const std::vector<header_field>& fields);
std::string_view StatusReason(unsigned status);

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_EXCHANGE_DIALECT_H_
