#include "request/suspect/suspect_search.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace berylbarrow {
namespace {

/// Both lists must be sorted.
trait_list Intersection(const trait_list& left, const trait_list& right) {
  trait_list common;
  std::set_intersection(left.begin(), left.end(), right.begin(), right.end(),
                        std::back_inserter(common));
  return common;
}

trait_list Sorted(trait_list traits) {
  std::sort(traits.begin(), traits.end());
  return traits;
}

bool IsOnlyCause(const observed_crash& crash) {
  return !crash.started.empty() &&
         std::all_of(crash.started.begin(), crash.started.end(),
                     [&](const trait_list* request) { return *request == *crash.started.front(); });
}

}  // namespace

trait_list suspect_search::UnansweredTraits(const trait_list& request,
                                            time_point crashed_at) const {
  trait_list traits;
  for (const std::uint64_t trait : request) {
    const auto answer = answers_.LastBeforeCrash(trait);
    if (!answer || *answer <= crashed_at) traits.push_back(trait);
  }
  return Sorted(std::move(traits));
}

trait_list suspect_search::InitialTraits(const trait_list& request, time_point crashed_at) const {
  trait_list parts;
  for (std::size_t i = 1; i < request.size(); ++i) {
    if (!answers_.LastBeforeCrash(request[i])) parts.push_back(request[i]);
  }
  return parts.empty() ? UnansweredTraits(request, crashed_at) : Sorted(std::move(parts));
}

void suspect_search::FindExtension(const trait_list& traits, extension& best) const {
  for (const std::uint64_t trait : traits) {
    const auto candidates = by_trait_.find(trait);
    if (candidates == by_trait_.end()) continue;
    for (const std::size_t index : candidates->second) {
      const std::uint32_t crashes = suspects_[index].crashes;
      const bool is_first = best.traits.empty();
      if (!is_first && crashes < suspects_[best.suspect].crashes) continue;
      trait_list common = Intersection(suspects_[index].traits, traits);
      if (common.empty()) continue;
      const auto rank = [&](std::size_t suspect, std::size_t shared) {
        return std::tuple(suspects_[suspect].crashes, shared,
                          -static_cast<std::ptrdiff_t>(suspect));
      };
      if (!is_first && rank(index, common.size()) <= rank(best.suspect, best.traits.size())) {
        continue;
      }
      best = {.suspect = index, .traits = std::move(common)};
    }
  }
}

bool suspect_search::ExtendSuspect(const std::vector<const trait_list*>& accused,
                                   const observed_crash& crash) {
  extension best;
  for (const trait_list* request : accused) {
    FindExtension(UnansweredTraits(*request, crash.at), best);
  }
  if (best.traits.empty()) return false;
  crash_suspect& extended = suspects_[best.suspect];
  // Several units that crash at the same moment are no independent evidence.
  if (crash.at - extended.last_crash > options_.same_cause) {
    ++extended.crashes;
    if (!crash.started.empty()) ++extended.started_crashes;
  }
  extended.is_only_cause = extended.is_only_cause || IsOnlyCause(crash);
  extended.traits = std::move(best.traits);
  extended.is_proven = answers_.IsAnyAnsweredBeforeCrash(extended.traits);
  extended.unit = crash.unit;
  extended.last_crash = crash.at;
  return true;
}

void suspect_search::AddSuspect(crash_suspect&& added) {
  if (suspects_.size() >= options_.max_suspects) return;
  for (const std::uint64_t trait : added.traits) by_trait_[trait].push_back(suspects_.size());
  suspects_.push_back(std::move(added));
}

void suspect_search::Add(const observed_crash& crash) {
  const bool has_started = !crash.started.empty();
  const auto& accused = has_started ? crash.started : crash.unanswered;
  if (ExtendSuspect(accused, crash)) return;
  for (const trait_list* request : accused) {
    trait_list traits = InitialTraits(*request, crash.at);
    if (traits.empty()) continue;
    const bool is_proven = answers_.IsAnyAnsweredBeforeCrash(traits);
    AddSuspect({.traits = std::move(traits),
                .crashes = 1,
                .started_crashes = has_started ? 1U : 0U,
                .is_only_cause = IsOnlyCause(crash),
                .is_proven = is_proven,
                .unit = crash.unit,
                .last_crash = crash.at});
  }
}

std::vector<crash_suspect> suspect_search::TakeSuspects() {
  for (crash_suspect& each : suspects_) {
    std::erase_if(each.traits, [&](std::uint64_t trait) {
      const answer_times* const answer = answers_.Find(trait);
      return answer != nullptr && answer->last > each.last_crash;
    });
  }
  std::erase_if(suspects_, [](const crash_suspect& each) { return each.traits.empty(); });
  by_trait_.clear();
  return std::exchange(suspects_, {});
}

}  // namespace berylbarrow
