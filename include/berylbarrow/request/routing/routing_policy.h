#ifndef BERYLBARROW_REQUEST_ROUTING_ROUTING_POLICY_H_
#define BERYLBARROW_REQUEST_ROUTING_ROUTING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

#include "berylbarrow/connection/wire/message.h"

namespace berylbarrow {

/// An upstream that a request may be sent to.
struct routing_candidate {
  std::string_view name;
  upstream_load load;                   // as last reported
  std::uint32_t sent_since_report = 0;  // requests this entry has sent to it since that report
};

/// The properties of a request that a policy may use.
struct routing_request {
  std::string_view service;
  std::uint64_t prefix_hash = 0;  // of the first bytes of the prompt; 0: no prompt
};

/// (in flight + queued + sent since the report) / limit. Below 1, the upstream has a free slot. A
/// limit of 0 counts as 1.
double LoadRatio(const routing_candidate& candidate);

/// Chooses the upstream that an idempotent request is sent to.
class routing_policy {
 public:
  virtual ~routing_policy() = default;
  /// Returns an index into `candidates`, which must not be empty.
  virtual std::size_t Choose(const std::vector<routing_candidate>& candidates,
                             const routing_request& request, std::mt19937_64& random) = 0;
};

struct power_of_two_options {
  bool prefix_affinity = false;
  /// The candidate selected for the prefix, which should have it cached, is not chosen if its load
  /// ratio is more than this factor times that of the other candidate.
  double affinity_factor = 1.5;
  /// Up to this load ratio affinity_factor is not applied. Otherwise an idle alternative would be
  /// chosen over a candidate with a single running request.
  double affinity_min_load_ratio = 0.5;
};

/// Chooses the less loaded of two different random candidates (the power of two choices,
/// Mitzenmacher 1996). With prefix affinity, one of the two is the candidate that rendezvous
/// hashing selects for the prefix, and it is preferred. If the choice has no free slot, a candidate
/// with a free slot is chosen instead or, if there is none, a warm one instead of a cold one.
class power_of_two_policy final : public routing_policy {
 public:
  explicit power_of_two_policy(const power_of_two_options& options = {}) : options_(options) {}
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;

 private:
  std::size_t ChooseOfTwo(const std::vector<routing_candidate>& candidates,
                          const routing_request& request, std::mt19937_64& random) const;
  /// Chooses instead of `chosen`, which has no free slot. Returns `chosen` if none is better.
  static std::size_t ChooseAlternative(const std::vector<routing_candidate>& candidates,
                                       std::size_t chosen, std::mt19937_64& random);

  power_of_two_options options_;
};

/// Baseline for comparisons: each candidate in turn, regardless of its load.
class round_robin_policy final : public routing_policy {
 public:
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;

 private:
  std::size_t next_ = 0;
};

/// Baseline for comparisons: the candidate with the fewest requests in its last load report. All
/// entries choose the same upstream until it reports again.
class least_reported_load_policy final : public routing_policy {
 public:
  std::size_t Choose(const std::vector<routing_candidate>& candidates,
                     const routing_request& request, std::mt19937_64& random) override;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_ROUTING_POLICY_H_
