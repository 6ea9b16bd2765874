#ifndef BERYLBARROW_REQUEST_ROUTING_COLD_SHARE_POLICY_H_
#define BERYLBARROW_REQUEST_ROUTING_COLD_SHARE_POLICY_H_

#include <map>
#include <memory>
#include <string>

#include "berylbarrow/request/routing/routing_policy.h"

namespace berylbarrow {

struct cold_share_options {
  /// Fraction of an entry's requests of a service that go to cold upstreams. At 0.05, the slow
  /// requests on cold upstreams would determine the 95th percentile of the latency.
  double share = 0.04;
};

/// Sends a fixed share of a service's requests to cold upstreams, which warm up by completing
/// requests, and the rest to the other upstreams. `inner` makes the choice within either group; it
/// chooses among all candidates if no upstream is cold or none of the others has a free slot. An
/// upstream counts as cold if it has not reached its configured limit and its present limit is
/// below half of the highest limit among the candidates. A service whose upstreams all start at the
/// same time therefore has no cold upstreams and is not slowed down.
class cold_share_policy final : public routing_policy {
 public:
  cold_share_policy(std::unique_ptr<routing_policy> inner, const cold_share_options& options)
      : inner_(std::move(inner)), options_(options) {}
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;

 private:
  std::unique_ptr<routing_policy> inner_;
  cold_share_options options_;
  // Requests that may be sent to cold upstreams, by service; at most 1.
  std::map<std::string, double, std::less<>> credits_;
};

/// Baseline for comparisons: applies `inner` after multiplying the number of requests at each
/// upstream that is not warm by `cold_factor`, because they take that many times as long there.
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
