#ifndef BERYLBARROW_REQUEST_ROUTING_COLD_SHARE_POLICY_H_
#define BERYLBARROW_REQUEST_ROUTING_COLD_SHARE_POLICY_H_

#include <map>
#include <memory>
#include <string>

#include "berylbarrow/request/routing/routing_policy.h"

namespace berylbarrow {

struct cold_share_options {
  /// Of an entry's requests of a service. A twentieth would let the slow ones set the 95th
  /// percentile.
  double share = 0.04;
};

/// Sends a fixed share of a service's requests to cold upstreams, which warm up by completing them,
/// as long as a warm one has a free slot. Each group is chosen from by another policy. When no warm
/// upstream has a free slot, that policy chooses among all. An upstream counts as cold below half
/// of the highest limit among the candidates, so that a service that starts as a whole is not
/// slowed.
class cold_share_policy final : public routing_policy {
 public:
  cold_share_policy(std::unique_ptr<routing_policy> inner, const cold_share_options& options)
      : inner_(std::move(inner)), options_(options) {}
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;

 private:
  std::unique_ptr<routing_policy> inner_;
  cold_share_options options_;
  // Requests that may go to a cold upstream, by service; at most 1 is kept.
  std::map<std::string, double, std::less<>> credits_;
};

/// Baseline: another policy on loads in which the work of a cold upstream counts `cold_factor`
/// times, as it takes that much longer.
class expected_time_policy final : public routing_policy {
 public:
  expected_time_policy(std::unique_ptr<routing_policy> inner, std::uint32_t cold_factor)
      : inner_(std::move(inner)), cold_factor_(cold_factor) {}
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;

 private:
  std::unique_ptr<routing_policy> inner_;
  std::uint32_t cold_factor_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_COLD_SHARE_POLICY_H_
