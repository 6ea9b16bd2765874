#include "process/entry/entry_counters.h"

namespace berylbarrow {

std::string_view OutcomeName(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::kComplete:
      return "complete";
    case request_outcome::kIncomplete:
      return "incomplete";
    case request_outcome::kNotRun:
      return "not-run";
    case request_outcome::kUnknown:
      return "unknown";
    case request_outcome::kAborted:
      return "aborted";
  }
  return "";
}

}  // namespace berylbarrow
