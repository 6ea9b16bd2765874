#include "berylbarrow/request/suspect/answer_history.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>
#include <vector>

namespace berylbarrow {

void answer_history::Accuse(std::uint64_t trait, time_point at) {
  time_point& last_crash = accused_.try_emplace(trait, at).first->second;
  last_crash = std::max(last_crash, at);
  const auto answer = answers_.find(trait);
  if (answer != answers_.end() && answer->second.last <= last_crash) {
    answer->second.before_crash = answer->second.last;
  }
}

bool answer_history::Record(std::uint64_t trait, time_point at) {
  const auto [entry, is_new] = answers_.try_emplace(trait, answer_times{.last = at});
  answer_times& answer = entry->second;
  const time_point last_before = answer.last;
  answer.last = std::max(answer.last, at);
  if (answers_.size() > max_answers_) ForgetOlderHalf();
  const auto accused = accused_.find(trait);
  if (accused == accused_.end()) return false;
  if (at <= accused->second) {
    const bool is_later = !answer.before_crash || at > *answer.before_crash;
    if (is_later) answer.before_crash = at;
    if (is_later) AddRecent(trait);
    return is_later;
  }
  const bool is_first = is_new || last_before <= accused->second;
  if (is_first) AddRecent(trait);
  return is_first;
}

const answer_times* answer_history::Find(std::uint64_t trait) const {
  const auto answer = answers_.find(trait);
  return answer == answers_.end() ? nullptr : &answer->second;
}

std::optional<time_point> answer_history::LastBeforeCrash(std::uint64_t trait) const {
  const answer_times* const answer = Find(trait);
  return answer == nullptr ? std::nullopt : answer->before_crash;
}

bool answer_history::IsAnyAnsweredBeforeCrash(const trait_list& traits) const {
  return std::any_of(traits.begin(), traits.end(),
                     [&](std::uint64_t trait) { return LastBeforeCrash(trait).has_value(); });
}

bool answer_history::AreAllAnsweredAfter(const trait_list& traits, time_point at) const {
  return std::all_of(traits.begin(), traits.end(), [&](std::uint64_t trait) {
    const answer_times* const answer = Find(trait);
    return answer != nullptr && answer->last > at;
  });
}

std::vector<std::uint64_t> answer_history::Latest(std::size_t max_traits) const {
  std::vector<std::pair<time_point, std::uint64_t>> by_time;
  by_time.reserve(answers_.size());
  for (const auto& [trait, answer] : answers_) by_time.emplace_back(answer.last, trait);
  const std::size_t count = std::min(max_traits, by_time.size());
  const auto end = by_time.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(by_time.begin(), end, by_time.end(), std::greater<>());
  std::vector<std::uint64_t> latest;
  latest.reserve(count);
  std::transform(by_time.begin(), end, std::back_inserter(latest),
                 [](const auto& entry) { return entry.second; });
  return latest;
}

void answer_history::AddRecent(std::uint64_t trait) {
  std::erase(recent_, trait);
  recent_.push_front(trait);
  if (recent_.size() > kMaxRecent) recent_.pop_back();
}

void answer_history::ForgetAccusations(time_point oldest) {
  std::erase_if(accused_, [&](const auto& entry) { return entry.second < oldest; });
}

void answer_history::ForgetAnswers(time_point oldest) {
  std::erase_if(answers_, [&](const auto& entry) { return entry.second.last < oldest; });
  std::erase_if(recent_, [&](std::uint64_t trait) { return Find(trait) == nullptr; });
}

void answer_history::ForgetOlderHalf() {
  std::vector<time_point> times;
  times.reserve(answers_.size());
  for (const auto& [trait, answer] : answers_) times.push_back(answer.last);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(answers_, [&](const auto& entry) {
    return entry.second.last <= *middle && !IsAccused(entry.first);
  });
}

}  // namespace berylbarrow
