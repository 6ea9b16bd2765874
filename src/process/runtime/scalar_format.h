#ifndef BERYLBARROW_PROCESS_RUNTIME_SCALAR_FORMAT_H_
#define BERYLBARROW_PROCESS_RUNTIME_SCALAR_FORMAT_H_

#include <optional>
#include <string>
#include <string_view>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// Reads a number, which may have a fraction, followed by ms, s, m or h.
std::optional<duration> ReadDuration(std::string_view text);

/// Writes a duration of whole milliseconds in the largest unit that divides it.
std::string WriteDuration(duration value);

/// Reads a time in UTC as RFC 3339 writes it, such as 2026-12-01T05:30:00Z.
std::optional<wall_time> ReadUtcTime(std::string_view text);

/// Reads "10.0.0.1:7000" or "[fd00::1]:7000" and returns its canonical form. Port 0 is refused.
std::optional<std::string> ReadAddress(std::string_view text);

/// Whether the text is 1 to 64 letters, digits, ".", "_" or "-". Names go into headers, paths and
/// grants, where other characters would need escaping.
bool IsName(std::string_view text);

/// The text in double quotes, at most 64 bytes of it.
std::string Quote(std::string_view text);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_SCALAR_FORMAT_H_
