#ifndef BERYLBARROW_PROCESS_TELEMETRY_LOG_TYPES_H_
#define BERYLBARROW_PROCESS_TELEMETRY_LOG_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylbarrow {

enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

struct log_field {
  std::string key;
  std::string value;
  auto operator<=>(const log_field&) const = default;
};

/// An event for the log of the process; see logger::Event.
struct log_event {
  log_level level = log_level::kInfo;
  std::string module;
  std::string name;
  std::vector<log_field> fields;
  auto operator<=>(const log_event&) const = default;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_TELEMETRY_LOG_TYPES_H_
