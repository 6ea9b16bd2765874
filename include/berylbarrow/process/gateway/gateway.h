#ifndef BERYLBARROW_PROCESS_GATEWAY_GATEWAY_H_
#define BERYLBARROW_PROCESS_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "berylbarrow/connection/http/exchange_dialect.h"
#include "berylbarrow/process/gateway/gateway_settings.h"
#include "berylbarrow/process/gateway/platform_feed.h"

namespace berylbarrow {

/// The platform-specific parts that a gateway runs with. The dialects must outlive the
/// gateway.
struct gateway_platform {
  const exchange_dialect& exchange;
  const directory_dialect& directory;
  /// Creates the feed that reports to the sink on the thread that runs the I/O context.
  std::function<std::unique_ptr<platform_feed>(boost::asio::io_context&, platform_sink&)> make_feed;
};

/// Runs a gateway until it has shut down after SIGTERM or SIGINT; returns the exit code. Throws
/// std::runtime_error if it cannot listen on one of its addresses.
///
/// Socket I/O and request decisions share one thread, because passing a stream event to another
/// thread costs more than handling it (docs/measures.md).
int RunGateway(const gateway_settings& settings, const gateway_platform& platform,
               const runtime_clock& clock);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_GATEWAY_GATEWAY_H_
