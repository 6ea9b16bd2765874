#include "request/suspect/suspect_search.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace berylbarrow {
namespace {

/// Sorted, each trait once.
trait_list Normalized(trait_list traits) {
  std::sort(traits.begin(), traits.end());
  traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
  return traits;
}

bool IsOnlyCause(const observed_crash& crash) {
  return !crash.started.empty() &&
         std::all_of(crash.started.begin(), crash.started.end(), [&](const accused_run& run) {
           return run.Traits() == crash.started.front().Traits();
         });
}

}  // namespace

trait_list suspect_search::UnansweredTraits(const trait_list& request,
                                            time_point crashed_at) const {
  trait_list traits;
  for (const std::uint64_t trait : request) {
    const auto answer = answers_.LastBeforeCrash(trait);
    if (!answer || *answer <= crashed_at) traits.push_back(trait);
  }
  return Normalized(std::move(traits));
}

trait_list suspect_search::InitialTraits(const trait_list& request, time_point crashed_at) const {
  trait_list parts;
  for (std::size_t i = 1; i < request.size(); ++i) {
    if (!answers_.LastBeforeCrash(request[i])) parts.push_back(request[i]);
  }
  return parts.empty() ? UnansweredTraits(request, crashed_at) : Normalized(std::move(parts));
}

trait_list suspect_search::CommonTraits(const observed_crash& crash) const {
  trait_list common = InitialTraits(crash.started.front().Traits(), crash.at);
  for (const accused_run& run : crash.started) {
    const trait_list traits = InitialTraits(run.Traits(), crash.at);
    std::erase_if(common, [&](std::uint64_t trait) {
      return !std::binary_search(traits.begin(), traits.end(), trait);
    });
  }
  return common;
}

void suspect_search::FindExtension(trait_list&& request, extension& best) {
  std::vector<std::size_t> candidates;
  for (const std::uint64_t trait : request) {
    const auto known = by_trait_.find(trait);
    if (known == by_trait_.end()) continue;
    for (const std::size_t index : known->second) {
      if (shared_[index]++ == 0) candidates.push_back(index);
    }
  }
  const auto rank = [&](std::size_t index, std::size_t shared) {
    return std::tuple(suspects_[index].crashes, shared, -static_cast<std::ptrdiff_t>(index));
  };
  bool is_better = false;
  for (const std::size_t index : candidates) {
    const std::size_t shared = std::exchange(shared_[index], 0);
    if (best.shared > 0 && rank(index, shared) <= rank(best.suspect, best.shared)) continue;
    best.suspect = index;
    best.shared = shared;
    is_better = true;
  }
  if (is_better) best.request = std::move(request);
}

bool suspect_search::ExtendSuspect(const std::vector<accused_run>& accused,
                                   const observed_crash& crash) {
  extension best;
  for (const accused_run& run : accused) {
    FindExtension(UnansweredTraits(run.Traits(), crash.at), best);
  }
  if (best.shared == 0) return false;
  ReduceSuspect(best.suspect, best.request);
  crash_suspect& extended = suspects_[best.suspect];
  // Sound requests share parts as well, so units that crash in quick succession are no independent
  // evidence.
  if (crash.at - last_counted_[best.suspect] > same_cause_) {
    last_counted_[best.suspect] = crash.at;
    ++extended.crashes;
    if (!crash.started.empty()) ++extended.started_crashes;
  }
  extended.is_only_cause = extended.is_only_cause || IsOnlyCause(crash);
  extended.is_proven = answers_.IsAnyAnsweredBeforeCrash(extended.traits);
  extended.unit = crash.unit;
  extended.last_crash = crash.at;
  return true;
}

void suspect_search::ReduceSuspect(std::size_t index, const trait_list& kept) {
  std::erase_if(suspects_[index].traits, [&](std::uint64_t trait) {
    if (std::binary_search(kept.begin(), kept.end(), trait)) return false;
    std::erase(by_trait_[trait], index);
    return true;
  });
}

void suspect_search::AddSuspect(crash_suspect&& added) {
  for (const std::uint64_t trait : added.traits) by_trait_[trait].push_back(suspects_.size());
  last_counted_.push_back(added.last_crash);
  suspects_.push_back(std::move(added));
  shared_.push_back(0);
}

void suspect_search::Add(const observed_crash& crash) {
  const bool has_started = !crash.started.empty();
  const auto& accused = crash.Accused();
  if (ExtendSuspect(accused, crash)) return;
  trait_list common = has_started ? CommonTraits(crash) : trait_list();
  const bool is_only_cause = !common.empty();
  std::vector<trait_list> found;
  found.reserve(accused.size());
  if (is_only_cause) {
    found.push_back(std::move(common));
  } else {
    for (const accused_run& run : accused) {
      found.push_back(InitialTraits(run.Traits(), crash.at));
    }
  }
  for (trait_list& traits : found) {
    if (traits.empty()) continue;
    const bool is_proven = answers_.IsAnyAnsweredBeforeCrash(traits);
    AddSuspect({.traits = std::move(traits),
                .crashes = 1,
                .started_crashes = has_started ? 1U : 0U,
                .is_only_cause = is_only_cause,
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
  shared_.clear();
  last_counted_.clear();
  return std::exchange(suspects_, {});
}

}  // namespace berylbarrow
