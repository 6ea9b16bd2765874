#ifndef BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_HISTORY_H_
#define BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_HISTORY_H_

#include <deque>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// Remembers by how much the load of a group was recently uneven, as the load factors of its
/// passes; see `pass_time_model`.
///
/// Passes become longer at once when other experts are in demand, and shorter again when the expert
/// map follows. The streams that run then are late, so the room of a group is planned for the long
/// passes of the last seconds and not for the present ones.
class pass_time_history {
 public:
  /// Time for which long passes are remembered.
  static constexpr duration kWindow = std::chrono::seconds(10);
  /// The factors of this time are averaged, which levels out the jitter of the network.
  static constexpr duration kSampleTime = std::chrono::milliseconds(100);
  /// Longer passes are stalls of the group, which do not depend on its load.
  static constexpr double kStallFactor = 4.0;

  void Add(double load_factor, time_point now);
  /// The factor that this share of the remembered samples does not exceed; 1 without samples.
  double Quantile(double share, time_point now) const;

 private:
  struct sample {
    time_point begin;
    double sum = 0;
    double count = 0;
  };
  std::deque<sample> samples_;  // the oldest first
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_DISPATCH_PASS_TIME_HISTORY_H_
