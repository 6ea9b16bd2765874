#include "berylbarrow/request/routing/routing_policy.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace berylbarrow {
namespace {

std::size_t RandomIndex(std::size_t count, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// A random index other than `excluded`; `count` must be at least 2.
std::size_t RandomIndexExcept(std::size_t count, std::size_t excluded, std::mt19937_64& random) {
  const std::size_t index = RandomIndex(count - 1, random);
  return index < excluded ? index : index + 1;
}

/// Rendezvous hashing: the candidate with the highest weight for the prefix.
std::size_t RendezvousIndex(std::uint64_t prefix_hash,
                            const std::vector<routing_candidate>& candidates) {
  const auto weight = [prefix_hash](const routing_candidate& candidate) {
    return XXH64(candidate.name.data(), candidate.name.size(), prefix_hash);
  };
  const auto best = std::max_element(
      candidates.begin(), candidates.end(),
      [&weight](const auto& left, const auto& right) { return weight(left) < weight(right); });
  return static_cast<std::size_t>(best - candidates.begin());
}

template <typename Predicate>
std::vector<std::size_t> IndicesWhere(const std::vector<routing_candidate>& candidates,
                                      Predicate predicate) {
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (predicate(candidates[i])) {
      indices.push_back(i);
    }
  }
  return indices;
}

}  // namespace

double LoadRatio(const routing_candidate& candidate) {
  const auto requests = static_cast<double>(candidate.load.in_flight) + candidate.load.queued +
                        candidate.sent_since_report;
  return requests / std::max<std::uint32_t>(1, candidate.load.limit);
}

std::size_t power_of_two_policy::Choose(const std::vector<routing_candidate>& candidates,
                                        const routing_request& request, std::mt19937_64& random) {
  assert(!candidates.empty());
  if (candidates.size() == 1) {
    return 0;
  }
  const std::size_t chosen = ChooseOfTwo(candidates, request, random);
  if (LoadRatio(candidates[chosen]) < 1) {
    return chosen;
  }
  return ChooseAlternative(candidates, chosen, random);
}

std::size_t power_of_two_policy::ChooseOfTwo(const std::vector<routing_candidate>& candidates,
                                             const routing_request& request,
                                             std::mt19937_64& random) const {
  const bool has_affinity = options_.prefix_affinity && request.prefix_hash != 0;
  const std::size_t first = has_affinity ? RendezvousIndex(request.prefix_hash, candidates)
                                         : RandomIndex(candidates.size(), random);
  const std::size_t second = RandomIndexExcept(candidates.size(), first, random);
  const double first_ratio = LoadRatio(candidates[first]);
  const double second_ratio = LoadRatio(candidates[second]);
  if (!has_affinity) {
    return second_ratio < first_ratio ? second : first;
  }
  const double max_ratio =
      std::max(options_.affinity_min_load_ratio, second_ratio * options_.affinity_factor);
  return first_ratio > max_ratio ? second : first;
}

std::size_t power_of_two_policy::ChooseAlternative(const std::vector<routing_candidate>& candidates,
                                                   std::size_t chosen, std::mt19937_64& random) {
  std::vector<std::size_t> alternatives = IndicesWhere(
      candidates, [](const routing_candidate& candidate) { return LoadRatio(candidate) < 1; });
  if (alternatives.empty() && !candidates[chosen].load.warm) {
    // All candidates have a queue. At the same load ratio, the queue of a cold upstream is slower.
    alternatives = IndicesWhere(
        candidates, [](const routing_candidate& candidate) { return candidate.load.warm; });
  }
  if (alternatives.empty()) {
    return chosen;
  }
  const std::size_t first = alternatives[RandomIndex(alternatives.size(), random)];
  const std::size_t second = alternatives[RandomIndex(alternatives.size(), random)];
  return LoadRatio(candidates[second]) < LoadRatio(candidates[first]) ? second : first;
}

std::size_t round_robin_policy::Choose(const std::vector<routing_candidate>& candidates,
                                       const routing_request& /*request*/,
                                       std::mt19937_64& /*random*/) {
  assert(!candidates.empty());
  return next_++ % candidates.size();
}

std::size_t least_reported_load_policy::Choose(const std::vector<routing_candidate>& candidates,
                                               const routing_request& /*request*/,
                                               std::mt19937_64& /*random*/) {
  assert(!candidates.empty());
  const auto reported_load = [](const routing_candidate& candidate) {
    return candidate.load.in_flight + candidate.load.queued;
  };
  const auto best = std::min_element(candidates.begin(), candidates.end(),
                                     [&reported_load](const auto& left, const auto& right) {
                                       return reported_load(left) < reported_load(right);
                                     });
  return static_cast<std::size_t>(best - candidates.begin());
}

}  // namespace berylbarrow
