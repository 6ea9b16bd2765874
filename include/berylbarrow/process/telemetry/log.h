#ifndef BERYLBARROW_PROCESS_TELEMETRY_LOG_H_
#define BERYLBARROW_PROCESS_TELEMETRY_LOG_H_

#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/process/settings/settings.h"
#include "berylbarrow/process/telemetry/log_types.h"

namespace berylbarrow {

/// Log of the process, one line per event on standard output: time (UTC), level, module, process,
/// failure domain, event name, then key=value fields; or the same as one JSON object per line, with
/// the fields under "fields". Thread-safe.
///
/// An event of one module and name is logged at most 10 times a second. The number suppressed
/// is in the field "suppressed" of its next line, or in a line "events_suppressed".
class logger {
 public:
  /// Called once before the threads start. Until then events are logged as text from level info.
  /// `clock` must outlive the last event.
  static void Configure(const log_options& options, std::string process, std::string domain,
                        const runtime_clock& clock);

  /// Lines go to `descriptor` from now on, and nothing waits for its reader. Lines for which there
  /// is no room are dropped; the field "dropped" of a later line counts them. Called once, by
  /// programs that serve.
  static void WriteTo(int descriptor);

  /// `name` and the keys are constants in snake_case.
  static void Event(log_level level, std::string_view module, std::string_view name,
                    const std::vector<log_field>& fields = {});

  /// Whether an event of this level would be logged.
  static bool Enabled(log_level level, std::string_view module);

  /// Logs the numbers of suppressed events that are not yet logged. Called before the exit.
  static void Flush();
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_TELEMETRY_LOG_H_
