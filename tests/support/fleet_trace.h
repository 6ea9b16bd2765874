#ifndef TESTS_SUPPORT_FLEET_TRACE_H_
#define TESTS_SUPPORT_FLEET_TRACE_H_

#include <string>

#include "support/fleet_processes.h"

namespace berylbarrow {

/// One line for an input or output that concerns requests, revisions or connections; empty for
/// heartbeats, reports and other regular traffic.
std::string Describe(const fleet_input& input);
std::string Describe(const fleet_output& output);

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_TRACE_H_
