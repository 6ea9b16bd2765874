#ifndef BERYLBARROW_TOOLS_COMMON_TOOL_MAIN_H_
#define BERYLBARROW_TOOLS_COMMON_TOOL_MAIN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>

namespace berylbarrow::tools {

constexpr int kUsageError = 2;

/// Calls `run` with the arguments; an exception is printed on standard error and becomes exit code
/// 2 (usage or I/O error).
template <typename Run>
int ToolMain(const char* name, Run run, int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << '\n';
    return kUsageError;
  }
}

/// Runs the handlers of `context` until SIGTERM or SIGINT.
inline void RunUntilSignal(boost::asio::io_context& context) {
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
  context.run();
}

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_COMMON_TOOL_MAIN_H_
