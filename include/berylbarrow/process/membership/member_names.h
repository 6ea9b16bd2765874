#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_MEMBER_NAMES_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_MEMBER_NAMES_H_

#include "berylbarrow/process/membership/member_table.h"

namespace berylbarrow {

/// Word for the state dump, the status and the metrics.
inline const char* LivenessName(liveness value) {
  switch (value) {
    case liveness::kUnknown:
      return "unknown";
    case liveness::kAlive:
      return "alive";
    case liveness::kSuspect:
      return "suspect";
    case liveness::kDead:
      return "dead";
  }
  return "";
}

/// Word for the state dump, the status and the metrics.
inline const char* StateName(process_state value) {
  switch (value) {
    case process_state::kStarting:
      return "starting";
    case process_state::kServing:
      return "serving";
    case process_state::kLeaving:
      return "leaving";
  }
  return "";
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_MEMBER_NAMES_H_
