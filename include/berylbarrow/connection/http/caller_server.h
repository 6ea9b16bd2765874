#ifndef BERYLBARROW_CONNECTION_HTTP_CALLER_SERVER_H_
#define BERYLBARROW_CONNECTION_HTTP_CALLER_SERVER_H_

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

struct caller_server_options {
  std::string listen_address = {};  // "IP:port"; port 0 takes any free port
  std::uint32_t max_connections = 1024;
  std::uint32_t max_request_bytes = 1 << 20;  // body of one request
  std::uint32_t max_header_bytes = 16 * 1024;
  // Limit for an idle connection, for the arrival of one request, and for a write to make progress.
  duration idle_timeout = std::chrono::seconds(60);
  // Bytes waiting to be written to one caller; a slower caller is disconnected. The default holds
  // one buffered answer of 4 MiB with its chunk headers.
  std::size_t max_outgoing_bytes = 5 << 20;
  // Memory of the process in MiB, of which connections may hold a share; see arrival_budget.h.
  double memory_mb = 256;
  // PEM files. Callers use TLS if they are given, and plain TCP otherwise.
  std::string tls_certificate_file = {};  // the chain, the server's own certificate first
  std::string tls_private_key_file = {};
};

/// Counts since the start of the process.
struct caller_server_counters {
  std::uint64_t requests = 0;             // passed to the sink
  std::uint64_t malformed = 0;            // answered with an error and not passed on
  std::uint64_t refused_full = 0;         // 503 because the sink was full
  std::uint64_t refused_connections = 0;  // 503 because of max_connections
  std::uint64_t slow_callers = 0;         // disconnected because of max_outgoing_bytes or a stall
  std::uint64_t abandoned = 0;            // callers that left before their answer was complete
  std::uint64_t handshakes_failed = 0;    // of TLS
  std::uint64_t refused_memory = 0;       // 503 because connections hold too much memory

  auto operator<=>(const caller_server_counters&) const = default;
};

/// HTTP/1.1 server for callers. All functions and the sink run on the thread of the io_context,
/// which must outlive the server.
class caller_server {
 public:
  using options = caller_server_options;
  /// Takes a caller_request, address_query or caller_closed; returns false if there is no space.
  using sink = std::function<bool(entry_input)>;

  /// Binds and listens. Throws std::runtime_error if the address is invalid or cannot be bound, or
  /// if a TLS file cannot be used.
  caller_server(boost::asio::io_context& context, caller_server_options options, sink sink);
  ~caller_server();
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  /// Handles caller_reply, caller_head, caller_part, caller_end and callers_stop_accepting.
  /// Outputs for a caller that has gone, and all other outputs, are ignored.
  void Deliver(const entry_output& output);

  /// Closes the listener and every connection. Reports no caller_closed.
  void Close();

  std::uint16_t Port() const;
  std::size_t ConnectionCount() const;
  /// Connections that receive a request, wait for an answer, or have bytes of one to write.
  std::size_t UnfinishedConnections() const;
  /// Bytes of answers that the sockets have not taken yet.
  std::size_t UnwrittenBytes() const;
  /// May be called by any thread.
  caller_server_counters Counters() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_CALLER_SERVER_H_
