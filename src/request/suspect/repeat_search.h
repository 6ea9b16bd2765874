#ifndef BERYLBARROW_SRC_REQUEST_SUSPECT_REPEAT_SEARCH_H_
#define BERYLBARROW_SRC_REQUEST_SUSPECT_REPEAT_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/suspect/answer_history.h"
#include "berylbarrow/request/suspect/crash_suspect.h"
#include "request/suspect/observed_crash.h"

namespace berylbarrow {

/// See crash_analysis_options.
struct repeat_search_options {
  duration same_cause{0};
  duration same_moment{0};
  duration min_run{0};
};

/// Counts, for each whole request, the crashes that are independent evidence against it, from
/// crashes given one by one in the order of their times. Repeats of a request have the same
/// fingerprint, its first trait.
///
/// Crashes further apart than `same_cause` are independent. Of those that follow closer, a crash
/// counts if the request ran on each unit that ended since the last one counted: either it was sent
/// there after that crash, or no answer to it was ever known. If other units ended in between, they
/// have a cause other than the request. Upstreams of a group that end together are told apart, as
/// those that only stall with their group fail later.
class repeat_search {
 public:
  repeat_search(const repeat_search_options& options, const answer_history& answers)
      : options_(options), answers_(answers) {}

  void Add(const observed_crash& crash);
  /// The requests that no answer has cleared since their last crash: those without shared parts,
  /// and others from their second independent crash on.
  std::vector<crash_suspect> TakeSuspects();

 private:
  struct repeated_request {
    crash_suspect suspect;
    bool has_parts = false;
    time_point last_counted;
    std::size_t last_accused = 0;         // number of the last crash that accuses the request
    bool is_explanation_partial = false;  // since the last crash counted, other units ended
  };

  /// The runs of each accused request, one for each upstream that crashed, in the order of their
  /// ends.
  static std::map<std::uint64_t, std::vector<accused_run>> RunsByRequest(
      const observed_crash& crash);
  void Accuse(const accused_run& run, const observed_crash& crash, bool is_only_cause);
  bool IsIndependent(const repeated_request& request, const accused_run& run) const;

  repeat_search_options options_;
  const answer_history& answers_;
  std::size_t crash_count_ = 0;
  std::unordered_map<std::uint64_t, repeated_request> requests_;  // by fingerprint
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_REQUEST_SUSPECT_REPEAT_SEARCH_H_
