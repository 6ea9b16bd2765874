#ifndef BERYLBARROW_CONNECTION_HTTP_UPSTREAM_CLIENT_H_
#define BERYLBARROW_CONNECTION_HTTP_UPSTREAM_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct upstream_client_options {
  std::string address = {};  // "IP:port"
  std::uint32_t max_connections = 256;
  duration connect_timeout = std::chrono::milliseconds(500);
  duration load_poll_interval = std::chrono::milliseconds(250);
  std::uint32_t max_head_bytes = 16 * 1024;
};

/// Counts since the start of the process. Polls of the load report count as reports only.
struct upstream_client_counters {
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t broken = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t late = 0;             // of not_sent: after upstream_start::not_after
  std::uint64_t refused_full = 0;     // of not_sent: because of max_connections
  std::uint64_t reports = 0;          // usable load reports
  std::uint64_t reports_missing = 0;  // load reports that failed or could not be read

  auto operator<=>(const upstream_client_counters&) const = default;
};

/// HTTP/1.1 client of the agent's upstream. Every request has a connection of its own: on a reused
/// one it cannot be known whether the upstream saw a request that failed. All functions and the
/// sink run on the thread of the io_context, which must outlive the client.
class upstream_client {
 public:
  using options = upstream_client_options;
  /// Takes an upstream_head, upstream_part, upstream_end or upstream_report; returns false if there
  /// is no space. The client then stops reading and offers the same message again after 1 ms.
  using sink = std::function<bool(agent_input)>;

  /// Throws std::runtime_error if the address is invalid. Starts to poll GET /load at once, and
  /// polls at once after every upstream_end with kBroken that was not caused by an upstream_cancel:
  /// the next report was made after the break. `clock` must outlive the client.
  upstream_client(boost::asio::io_context& context, upstream_client_options options,
                  const runtime_clock& clock, sink sink);
  ~upstream_client();
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;

  /// Handles upstream_start and upstream_cancel; ignores other outputs.
  ///
  /// Every upstream_start gets exactly one upstream_end, a cancelled one too: kNotSent if no byte
  /// of the request has been handed to the socket, else kBroken. A request whose `not_after` has
  /// passed is not sent: it opens no connection, or closes the one just opened. An answer without
  /// Content-Length and chunked coding ends as kBroken, because its end looks the same as a crash.
  void Deliver(const agent_output& output);

  /// Closes every connection and stops polling. Nothing is passed to the sink after this.
  void Close();

  std::size_t ConnectionCount() const;

  /// May be called by any thread.
  upstream_client_counters Counters() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_UPSTREAM_CLIENT_H_
