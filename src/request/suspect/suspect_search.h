#ifndef BERYLBARROW_SRC_REQUEST_SUSPECT_SUSPECT_SEARCH_H_
#define BERYLBARROW_SRC_REQUEST_SUSPECT_SUSPECT_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/suspect/answer_history.h"
#include "berylbarrow/request/suspect/crash_suspect.h"
#include "request/suspect/observed_crash.h"

namespace berylbarrow {

/// Derives what requests with shared parts have in common that crash upstreams, from crashes given
/// one by one in the order of their times. There are at most as many suspects as accused requests.
class suspect_search {
 public:
  /// Crashes within `same_cause` of each other are no independent evidence.
  suspect_search(duration same_cause, const answer_history& answers)
      : same_cause_(same_cause), answers_(answers) {}

  void Add(const observed_crash& crash);
  /// The suspects that no answer has cleared since their last crash.
  std::vector<crash_suspect> TakeSuspects();

 private:
  /// The suspect that an accused request extends.
  struct extension {
    std::size_t suspect = 0;  // index
    std::size_t shared = 0;   // traits that it has in common with the request; 0: there is none
    trait_list request;
  };

  /// The traits of the request that were not answered between the crash and the last crash that
  /// accuses them, sorted.
  trait_list UnansweredTraits(const trait_list& request, time_point crashed_at) const;
  /// The traits with which a new suspect starts, sorted.
  trait_list InitialTraits(const trait_list& request, time_point crashed_at) const;
  /// The traits with which a new suspect starts that all requests whose answer had started share,
  /// so that one of these traits is the cause.
  trait_list CommonTraits(const observed_crash& crash) const;
  /// Replaces `best` by the extension through a request with these traits if that explains more
  /// crashes or, for as many, shares more traits.
  void FindExtension(trait_list&& request, extension& best);
  bool ExtendSuspect(const std::vector<accused_run>& accused, const observed_crash& crash);
  void AddSuspect(crash_suspect&& added);
  /// Removes the traits that are not in `kept`.
  void ReduceSuspect(std::size_t index, const trait_list& kept);

  duration same_cause_;
  const answer_history& answers_;
  std::vector<crash_suspect> suspects_;
  std::vector<time_point> last_counted_;  // last crash that was counted, by suspect
  std::unordered_map<std::uint64_t, std::vector<std::size_t>> by_trait_;  // indices of suspects
  std::vector<std::size_t> shared_;  // traits shared with the current request, by suspect
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_REQUEST_SUSPECT_SUSPECT_SEARCH_H_
