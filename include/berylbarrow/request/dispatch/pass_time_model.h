#ifndef BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_MODEL_H_
#define BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_MODEL_H_

#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// Predicts how long a pass of a model engine takes, from the engine's profile and its load.
///
/// A pass is a fixed number of token steps. The ranks of a group run each pass together; an engine
/// without a group is a group of one rank.
///
/// A rank's own time is the fixed time of its token steps plus the non-expert work for its own
/// requests, multiplied by its pace. The expert work for all requests is divided among the ranks in
/// proportion to their speed, provided that the expert map is balanced. A pass takes the longest of
/// the ranks' own times plus the time of the expert work.
///
/// Prompts are read in chunks, one chunk per token step and rank. A step in which any rank reads is
/// longer for the whole group. Each request that runs stands for a usual number of reading steps in
/// the time of a usual answer, so the reading is derived from the number of requests.
class pass_time_model {
 public:
  explicit pass_time_model(const engine_profile& engine);

  /// Adds a rank to the group. `requests` is the number that generate tokens on it. `pace` is its
  /// slowdown factor: 1 is the nominal speed, 2 is half of it.
  void AddRank(double requests, double pace);

  /// Milliseconds per pass after adding one request to the rank that has this load and pace.
  double PassMsWithExtraRequest(double requests, double pace) const;
  /// Milliseconds per pass without requests.
  double EmptyPassMs() const { return max_pace_ * all_steps_ms_; }
  double MeanRequestsPerRank() const { return rank_count_ > 0 ? request_count_ / rank_count_ : 0; }
  /// Milliseconds per pass with this number of requests on each rank, reading of prompts included.
  /// `load_factor` multiplies the part that an uneven load of the ranks lengthens: the work of the
  /// experts, or all work for requests where there are none.
  double PassMs(double requests_per_rank, double load_factor = 1) const;
  /// The load factor with which the model predicts a measured pass.
  double LoadFactor(double requests_per_rank, double measured_ms) const;
  /// The requests per rank with which a pass takes `pass_ms`, at most `max_requests_per_rank`.
  double FittingRequestsPerRank(double pass_ms, double load_factor,
                                double max_requests_per_rank) const;
  double RankCount() const { return rank_count_; }
  double RequestCount() const { return request_count_; }
  /// Milliseconds per pass at nominal speed, with the same number of requests on each rank.
  double NominalPassMs(double requests_per_rank) const {
    return all_steps_ms_ + ms_per_request_ * requests_per_rank;
  }

 private:
  /// Parts of a pass, in milliseconds.
  struct pass_parts {
    double even = 0;
    double uneven = 0;
  };
  pass_parts PartsOf(double requests_per_rank) const;
  double RankMs(double requests, double pace) const {
    return pace * (all_steps_ms_ + (1 - expert_work_share_) * ms_per_request_ * requests);
  }

  double all_steps_ms_ = 0;       // fixed time of all token steps of a pass
  double ms_per_request_ = 0;     // added to a pass by each request
  double expert_work_share_ = 0;  // of the work for a request
  double steps_ = 0;              // token steps of a pass
  double chunk_ms_ = 0;           // to read one chunk of a prompt
  double reads_per_request_ = 0;  // chunks read in a token step for each request that runs
  double rank_count_ = 0;
  double request_count_ = 0;
  double total_speed_ = 0;  // sum of 1 / pace
  double max_rank_ms_ = 0;
  double max_pace_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_MODEL_H_
