#ifndef BERYLBARROW_CONNECTION_HTTP_PLATFORM_CLIENT_H_
#define BERYLBARROW_CONNECTION_HTTP_PLATFORM_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace berylbarrow {

using platform_event = std::variant<document_received, instances_received>;

/// Takes an event, or returns false if there is no space for it at present.
using platform_event_sink = std::function<bool(platform_event)>;

struct platform_client_options {
  std::string configuration_service = {};             // "IP:port"; empty: not read
  std::string instance_list = {};                     // "IP:port"; empty: not read
  duration poll_interval = std::chrono::seconds(30);  // in poll mode; 20 % shorter to 20 % longer
  duration instance_interval = std::chrono::seconds(2);
  duration watch_wait = std::chrono::seconds(20);      // how long the service holds a watch open
  duration request_timeout = std::chrono::seconds(1);  // beyond the wait of a watch
  duration watch_margin = std::chrono::seconds(2);     // added to the wait of a watch
  duration backoff_min = std::chrono::milliseconds(100);
  duration backoff_max = std::chrono::seconds(5);
  std::size_t max_body_bytes = 1U << 20;
  std::uint64_t seed = 1;  // of the jitter
};

/// Counts since the start of the process.
struct platform_counters {
  std::uint64_t configuration_reads = 0;  // answered usefully
  std::uint64_t configuration_failures = 0;
  std::uint64_t older_revisions = 0;  // the service answered a revision below the one known
  std::uint64_t instance_reads = 0;
  std::uint64_t instance_failures = 0;
  std::uint64_t events_delayed = 0;  // the sink had no space; delivered later

  auto operator<=>(const platform_counters&) const = default;
};

/// Reads and watches the configuration service and polls the instance list over HTTP. It never
/// writes. Every method but Counters is called on the thread of the io_context, or while no thread
/// runs it.
class platform_client {
 public:
  platform_client(boost::asio::io_context& context, platform_client_options options,
                  platform_event_sink sink);
  ~platform_client();
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  /// Begins to poll the instance list. The configuration is read from the first Watch on.
  void Start();

  /// Sets how the configuration is read and the revision above which a document is new. kRefresh
  /// reads once at once and changes nothing else; a failed refresh is counted, not repeated.
  void Watch(const configuration_watch& watch);

  /// Ends every request. No event is delivered afterwards.
  void Close();

  /// May be called by any thread.
  platform_counters Counters() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_PLATFORM_CLIENT_H_
