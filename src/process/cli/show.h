#ifndef BERYLBARROW_PROCESS_CLI_SHOW_H_
#define BERYLBARROW_PROCESS_CLI_SHOW_H_

#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>

namespace berylbarrow {

enum class show_format { kJson, kTable };

/// Reads http://ADDRESS/NAME (name "state" or "status") and prints it. Returns the exit code: 0, or
/// 1 if the process does not answer with JSON within 2 s.
int Show(const std::string& address, const std::string& name, show_format format, std::ostream& out,
         std::ostream& err);

/// Prints lists of objects as tables with one row per object, and everything else as lines of
/// "name value".
void PrintTable(const nlohmann::json& document, std::ostream& out);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_CLI_SHOW_H_
