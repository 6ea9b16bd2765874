#include "berylbarrow/request/routing/cold_share_policy.h"

#include <algorithm>
#include <cassert>

namespace berylbarrow {
namespace {

bool HasFreeSlot(const routing_candidate& candidate) { return LoadRatio(candidate) < 1; }

std::uint32_t HighestLimit(const std::vector<routing_candidate>& candidates) {
  std::uint32_t highest_limit = 0;
  for (const routing_candidate& candidate : candidates) {
    highest_limit = std::max(highest_limit, candidate.load.limit);
  }
  return highest_limit;
}

bool IsCold(const routing_candidate& candidate, std::uint32_t highest_limit) {
  return !candidate.load.warm && candidate.load.limit < highest_limit / 2;
}

struct candidate_group {
  std::vector<routing_candidate> members;
  std::vector<std::size_t> indices;  // positions of the members among all candidates

  void Add(const routing_candidate& candidate, std::size_t index) {
    members.push_back(candidate);
    indices.push_back(index);
  }
  bool HasFreeSlot() const {
    return std::any_of(members.begin(), members.end(), berylbarrow::HasFreeSlot);
  }
};

}  // namespace

std::size_t cold_share_policy::Choose(const std::vector<routing_candidate>& candidates,
                                      const routing_request& request, std::mt19937_64& random) {
  assert(!candidates.empty());
  const std::uint32_t highest_limit = HighestLimit(candidates);
  candidate_group warm;
  candidate_group cold;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    (IsCold(candidates[i], highest_limit) ? cold : warm).Add(candidates[i], i);
  }
  if (cold.members.empty() || !warm.HasFreeSlot()) {
    return inner_->Choose(candidates, request, random);
  }
  double& credit = credits_[std::string(request.service)];
  credit = std::min(1.0, credit + options_.share);
  const bool use_cold = credit >= 1.0 && cold.HasFreeSlot();
  if (use_cold) {
    credit = 0;
  }
  const candidate_group& chosen = use_cold ? cold : warm;
  return chosen.indices[inner_->Choose(chosen.members, request, random)];
}

std::size_t expected_time_policy::Choose(const std::vector<routing_candidate>& candidates,
                                         const routing_request& request, std::mt19937_64& random) {
  std::vector<routing_candidate> scaled = candidates;
  for (routing_candidate& candidate : scaled) {
    const std::uint32_t factor = candidate.load.warm ? 1 : cold_factor_;
    candidate.load.in_flight *= factor;
    candidate.load.queued *= factor;
    candidate.sent_since_report *= factor;
  }
  return inner_->Choose(scaled, request, random);
}

}  // namespace berylbarrow
