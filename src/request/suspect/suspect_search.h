#ifndef BERYLBARROW_SRC_REQUEST_SUSPECT_SUSPECT_SEARCH_H_
#define BERYLBARROW_SRC_REQUEST_SUSPECT_SUSPECT_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/suspect/answer_history.h"
#include "berylbarrow/request/suspect/crash_suspect.h"

namespace berylbarrow {

/// What all observers have seen of one crash.
struct observed_crash {
  std::uint32_t unit = 0;
  time_point at;
  std::vector<const trait_list*> started;
  std::vector<const trait_list*> unanswered;
};

struct suspect_search_options {
  /// Crashes within this time of each other are no independent evidence.
  duration same_cause;
  std::size_t max_suspects;
};

/// Derives the suspects from crashes, given one by one in the order of their times.
class suspect_search {
 public:
  suspect_search(const suspect_search_options& options, const answer_history& answers)
      : options_(options), answers_(answers) {}

  void Add(const observed_crash& crash);
  /// The suspects that no answer has cleared since their last crash.
  std::vector<crash_suspect> TakeSuspects();

 private:
  /// A suspect that an accused request extends, with the traits that they share.
  struct extension {
    std::size_t suspect = 0;  // index
    trait_list traits;
  };

  /// The traits of the request that were not answered between the crash and the last crash that
  /// accuses them, sorted.
  trait_list UnansweredTraits(const trait_list& request, time_point crashed_at) const;
  /// The traits with which a new suspect starts, sorted.
  trait_list InitialTraits(const trait_list& request, time_point crashed_at) const;
  /// Replaces `best` by the extension through a request with these traits if that explains more
  /// crashes or, for as many, shares more traits.
  void FindExtension(const trait_list& traits, extension& best) const;
  bool ExtendSuspect(const std::vector<const trait_list*>& accused, const observed_crash& crash);
  void AddSuspect(crash_suspect&& added);

  suspect_search_options options_;
  const answer_history& answers_;
  std::vector<crash_suspect> suspects_;
  // Indices of the suspects that had the trait when they were added, in ascending order.
  std::unordered_map<std::uint64_t, std::vector<std::size_t>> by_trait_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_REQUEST_SUSPECT_SUSPECT_SEARCH_H_
