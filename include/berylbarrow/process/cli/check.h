#ifndef BERYLBARROW_PROCESS_CLI_CHECK_H_
#define BERYLBARROW_PROCESS_CLI_CHECK_H_

#include <iosfwd>
#include <string>

namespace berylbarrow {

/// Validates a settings file (one with the key "process") or a published document (one with the key
/// "services"). Writes `FILE:LINE:COLUMN: message` for each finding to `err`, or a summary of one
/// line to `out` if there is none. Line and column 0 mean the whole file.
/// Returns 0 if the file is valid, 1 if it has findings, 2 if it cannot be read or is neither kind.
int RunCheck(const std::string& path, std::ostream& out, std::ostream& err);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_CLI_CHECK_H_
