#ifndef BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_MODEL_H_
#define BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_MODEL_H_

#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// Predicts the passes of engines that run them together, from the constants of the engine.
///
/// A rank's own part is the fixed time of its token steps and its share of the work for its own
/// requests, times its pace. The experts' part is the rest of the work of all requests, which the
/// ranks share by their pace if the map of the experts fits. A pass lasts as long as the slowest
/// own part and the experts' part together. An engine on its own is a group of one.
class pass_time_model {
 public:
  explicit pass_time_model(const engine_profile& engine);

  /// `requests`: writing there. `pace`: its time for the same work, 1 is usual.
  void AddRank(double requests, double pace);

  /// Milliseconds of a pass, once one more request is at a rank of this load and pace.
  double PassMsWithExtraRequest(double requests, double pace) const;
  /// Milliseconds of a pass without any request.
  double EmptyPassMs() const { return slowest_pace_ * step_ms_; }
  double MeanRequestsPerRank() const { return ranks_ > 0 ? requests_ / ranks_ : 0; }
  /// Milliseconds of a pass of ranks of the usual pace with so many requests each.
  double NominalPassMs(double requests_per_rank) const {
    return step_ms_ + request_ms_ * requests_per_rank;
  }

 private:
  double OwnTime(double requests, double pace) const {
    return pace * (step_ms_ + (1 - expert_share_) * request_ms_ * requests);
  }

  double step_ms_ = 0;       // of all token steps of a pass
  double request_ms_ = 0;    // added to a pass by a request
  double expert_share_ = 0;  // of the work for requests
  double ranks_ = 0;
  double requests_ = 0;
  double speed_ = 0;  // sum of the ranks' speeds, 1 is usual
  double slowest_own_ = 0;
  double slowest_pace_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_MODEL_H_
