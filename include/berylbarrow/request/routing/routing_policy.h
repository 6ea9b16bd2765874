#ifndef BERYLBARROW_REQUEST_ROUTING_ROUTING_POLICY_H_
#define BERYLBARROW_REQUEST_ROUTING_ROUTING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

#include "berylbarrow/connection/wire/message.h"

namespace berylbarrow {

/// An agent that may take a request.
struct routing_candidate {
  std::string_view name;
  upstream_load load;                   // as last reported
  std::uint32_t sent_since_report = 0;  // requests this entry has sent to it since that report
};

/// What a policy may know of the request.
struct routing_request {
  std::string_view service;
  std::uint64_t prefix_hash = 0;  // of the first bytes of the prompt; 0: none
};

/// (in flight + queued + sent since the report) / limit. A limit of 0 counts as 1.
double LoadRatio(const routing_candidate& candidate);

/// Chooses the upstream of an idempotent request.
class routing_policy {
 public:
  virtual ~routing_policy() = default;
  /// Returns an index into `candidates`, which must not be empty.
  virtual std::size_t Choose(const std::vector<routing_candidate>& candidates,
                             const routing_request& request, std::mt19937_64& random) = 0;
};

struct power_of_two_options {
  bool prefix_affinity = false;
  /// The candidate that keeps the prefix cached is left when its load ratio is more than this
  /// factor above the other choice.
  double affinity_factor = 1.5;
  /// Below this load ratio it is never left: an idle alternative would otherwise win against a
  /// single running request.
  double affinity_min_load_ratio = 0.5;
};

/// The less loaded of two random candidates. Source: the power of two choices, Mitzenmacher 1996.
/// With prefix affinity, one of the two is the candidate that rendezvous hashing gives for the
/// prefix, and it is preferred. Work that would wait there goes to one that has a free slot, if any
/// candidate has.
class power_of_two_policy final : public routing_policy {
 public:
  explicit power_of_two_policy(const power_of_two_options& options = {}) : options_(options) {}
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;

 private:
  std::size_t ChooseOfTwo(const std::vector<routing_candidate>& candidates,
                          const routing_request& request, std::mt19937_64& random) const;
  static std::size_t ChooseWithoutWait(const std::vector<routing_candidate>& candidates,
                                       std::size_t chosen, std::mt19937_64& random);

  power_of_two_options options_;
};

/// Baseline: each candidate in turn, whatever its load.
class round_robin_policy final : public routing_policy {
 public:
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;

 private:
  std::size_t next_ = 0;
};

/// Baseline: the lowest reported load. All entries choose the same upstream until it reports again.
class least_reported_load_policy final : public routing_policy {
 public:
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_ROUTING_POLICY_H_
