#ifndef BERYLBARROW_REQUEST_SUSPECT_ANSWER_HISTORY_H_
#define BERYLBARROW_REQUEST_SUSPECT_ANSWER_HISTORY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/suspect/crash_digest.h"

namespace berylbarrow {

/// Answers to requests with a trait.
struct answer_times {
  time_point last;
  std::optional<time_point> before_crash;  // the last one before the last crash that accuses it
  auto operator<=>(const answer_times&) const = default;
};

/// When requests with a trait were last accused of a crash, and when they were answered.
class answer_history {
 public:
  /// Answers to traits that no crash accuses are forgotten beyond `max_answers` traits.
  explicit answer_history(std::size_t max_answers) : max_answers_(max_answers) {}

  void Accuse(std::uint64_t trait, time_point at);
  /// Returns whether this is the first answer since the last crash that accuses the trait, or a
  /// later answer before it than the one known so far.
  bool Record(std::uint64_t trait, time_point at);

  bool IsAccused(std::uint64_t trait) const { return accused_.count(trait) > 0; }
  /// Null if no answer is known.
  const answer_times* Find(std::uint64_t trait) const;
  /// The last answer to the trait before the last crash that accuses it.
  std::optional<time_point> LastBeforeCrash(std::uint64_t trait) const;
  bool IsAnyAnsweredBeforeCrash(const trait_list& traits) const;
  /// Whether requests with each of the traits were answered after that time.
  bool AreAllAnsweredAfter(const trait_list& traits, time_point at) const;
  /// Some accused traits whose answers became known last, the latest first.
  const std::deque<std::uint64_t>& Recent() const { return recent_; }
  std::size_t Size() const { return answers_.size(); }
  /// The traits with the latest answers, the latest first.
  std::vector<std::uint64_t> Latest(std::size_t max_traits) const;

  /// Removes accusations that are older than the time.
  void ForgetAccusations(time_point oldest);
  /// Removes answers that are older than the time.
  void ForgetAnswers(time_point oldest);

 private:
  /// Removes the older half of the answers to traits that no crash accuses.
  void ForgetOlderHalf();

  void AddRecent(std::uint64_t trait);

  static constexpr std::size_t kMaxRecent = 64;

  std::size_t max_answers_;
  std::unordered_map<std::uint64_t, time_point> accused_;  // last crash by trait
  std::unordered_map<std::uint64_t, answer_times> answers_;
  std::deque<std::uint64_t> recent_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_ANSWER_HISTORY_H_
