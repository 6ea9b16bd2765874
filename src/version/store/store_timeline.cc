#include "berylbarrow/version/store/store_timeline.h"

namespace berylbarrow {

answer_era store_timeline::Judge(std::uint64_t era, time_point now) {
  const bool is_first = !era_;
  const bool is_replaced = era_ && era < *era_ && now - confirmed_at_ > options_.era_reset_delay;
  if (era_ && era < *era_ && !is_replaced) return answer_era::kOutdated;
  const bool is_new = !is_first && era != *era_;
  era_ = era;
  confirmed_at_ = now;
  return is_new ? answer_era::kNew : answer_era::kCurrent;
}

}  // namespace berylbarrow
