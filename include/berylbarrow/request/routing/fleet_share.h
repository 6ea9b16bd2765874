#ifndef BERYLBARROW_REQUEST_ROUTING_FLEET_SHARE_H_
#define BERYLBARROW_REQUEST_ROUTING_FLEET_SHARE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct fleet_share_options {
  /// A rate is shared by so many gateways that each may send at least this often, or by one.
  double min_requests_per_second = 1.0;
  /// Equal shares assume at least this many gateways, since a process may not know of all.
  std::uint32_t min_gateways = 6;
  /// A gateway that has just started takes no part, because it does not know the others yet.
  duration settling_time = std::chrono::milliseconds(1500);
};

/// Divides rates that hold for the whole fleet among its gateways, without messages about it: each
/// gateway derives its share from the gateways that it knows to be live. A rate that is too small
/// for all belongs to a few gateways, which rendezvous hashing selects for each key, so that a
/// gateway that appears or leaves changes few shares.
class fleet_share {
 public:
  explicit fleet_share(const fleet_share_options& options) : options_(options) {}

  /// `others`: names of the other live gateways.
  void SetGateways(const std::string& self, const std::vector<std::string>& others, time_point now);
  /// This gateway's part of `fleet_rate`, in requests per second. `key`: what is limited.
  double RateOf(std::uint64_t key, double fleet_rate, time_point now) const;
  /// Part of a sum that all gateways share equally, in (0, 1]. Counts the most gateways that were
  /// ever live at once.
  double EqualShare() const;
  std::uint32_t GatewayCount() const { return static_cast<std::uint32_t>(others_.size()) + 1; }

 private:
  fleet_share_options options_;
  std::uint64_t self_ = 0;             // hash of the name
  std::vector<std::uint64_t> others_;  // hashes of the names
  std::uint32_t most_gateways_ = 1;
  std::optional<time_point> started_at_;
};

/// Allows requests at a rate that may change, with a few saved up.
class request_rate {
 public:
  /// `initial_requests`: allowed at once.
  request_rate(double initial_requests, time_point now) : saved_(initial_requests), at_(now) {}

  /// Takes effect from now on. At most a quarter of a second's requests are saved up, but one at
  /// least.
  void SetRate(double requests_per_second, time_point now);
  bool IsAllowed(time_point now) const { return Saved(now) >= 1; }
  void OnSent(time_point now);
  /// Time until the next request is allowed; nothing if the rate is zero.
  std::optional<duration> TimeUntilAllowed(time_point now) const;
  double RequestsPerSecond() const { return rate_; }

 private:
  double Saved(time_point now) const;

  double rate_ = 0;
  double saved_;  // requests, as of `at_`
  time_point at_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_FLEET_SHARE_H_
