#ifndef BERYLBARROW_PROCESS_GATEWAY_GATEWAY_H_
#define BERYLBARROW_PROCESS_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "berylbarrow/connection/http/exchange_dialect.h"
#include "berylbarrow/process/gateway/gateway_settings.h"
#include "berylbarrow/process/gateway/platform_feed.h"

namespace berylbarrow {

/// What a platform provides to a gateway.
struct gateway_platform {
  const exchange_dialect& exchange;
  const directory_dialect& directory;
  /// Makes the feed that reports to the sink, on the thread of the context.
  std::function<std::unique_ptr<platform_feed>(boost::asio::io_context&, platform_sink&)> make_feed;
};

/// Runs a gateway until it has ended after SIGTERM or SIGINT; returns the exit code. Throws
/// std::runtime_error if an address cannot be used.
///
/// Sockets and decisions share one thread: a hop to another thread costs more than the handling of
/// an event of a stream (docs/measures.md).
int RunGateway(const gateway_settings& settings, const gateway_platform& platform,
               const runtime_clock& clock);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_GATEWAY_GATEWAY_H_
