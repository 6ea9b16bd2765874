#ifndef BERYLBARROW_REQUEST_ADMISSION_REQUEST_URGENCY_H_
#define BERYLBARROW_REQUEST_ADMISSION_REQUEST_URGENCY_H_

#include <cstdint>

namespace berylbarrow {

/// How urgent a request is; the lesser value is the more urgent. The priority of the account
/// overrides that of the route, which then decides among requests of equal accounts.
struct request_urgency {
  std::uint32_t priority = 5;        // of the account if it has one, otherwise of the route
  std::uint32_t route_priority = 0;  // zero where routes are not told apart
  auto operator<=>(const request_urgency&) const = default;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_REQUEST_URGENCY_H_
