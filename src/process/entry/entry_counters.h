#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_ENTRY_COUNTERS_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_ENTRY_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace berylbarrow {

/// How a request of a caller ended.
enum class request_outcome : std::uint8_t {
  kComplete,
  kIncomplete,  // the answer was begun and could not be completed
  kNotRun,
  kUnknown,
  kAborted,  // the caller closed its connection
};

std::string_view OutcomeName(request_outcome outcome);

/// Everything an entry counts. Services are those of the document, so the map is bounded.
struct entry_counters {
  std::map<std::pair<std::string, request_outcome>, std::uint64_t> requests;
  std::uint64_t address_responses = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries_refused = 0;  // by the retry budget
  std::uint64_t reattachments = 0;    // dispatch sent again on a new connection
  std::uint64_t resends = 0;          // dispatch sent again because of a gap
  std::uint64_t resumptions = 0;      // answer continued by another agent
  std::uint64_t parts_dropped = 0;    // already received, after a gap, or of an unknown request
  std::uint64_t unexpected_messages = 0;
  std::uint64_t refused_requests = 0;  // by the entry's own bounds
  std::uint64_t refused_keys = 0;
  std::uint64_t ignored_heartbeats = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_ENTRY_COUNTERS_H_
