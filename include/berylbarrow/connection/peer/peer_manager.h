#ifndef BERYLBARROW_CONNECTION_PEER_PEER_MANAGER_H_
#define BERYLBARROW_CONNECTION_PEER_PEER_MANAGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/finding.h"
#include "berylbarrow/process/runtime/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace berylbarrow {

using peer_event = std::variant<peer_opened, peer_closed, peer_received, heartbeat_received>;

/// Takes an event, or returns false if there is no space for it at present.
using peer_event_sink = std::function<bool(peer_event)>;

struct peer_manager_options {
  std::string listen_address = {};  // "IP:port" of TCP and UDP; port 0 chooses a free one
  process_identity identity = {};
  // Without a received byte, a ping is sent after the ping interval, and the connection is closed
  // after the silence limit. An idle connection has no request in flight; it is closed when the
  // silence limit has passed after its ping was due.
  duration ping_interval = std::chrono::milliseconds(500);
  duration idle_ping_interval = std::chrono::seconds(2);
  duration silence_limit = std::chrono::seconds(2);
  duration hello_limit = std::chrono::seconds(2);  // from the start of connecting to the hello
  duration reconnect_min = std::chrono::milliseconds(50);
  duration reconnect_max = std::chrono::seconds(2);
  std::size_t max_frame_bytes = 2U << 20;
  std::size_t max_connections = 1024;       // incoming and outgoing together
  std::size_t max_queued_messages = 4096;   // not yet written, per connection
  std::size_t max_queued_bytes = 8U << 20;  // not yet written, per connection
  std::uint64_t seed = 1;                   // of the jitter
};

/// Counts since the start of the process, but for `open`.
struct peer_counters {
  std::uint64_t open = 0;                  // connections after hello at present
  std::uint64_t opened = 0;                // hello received
  std::uint64_t connect_failures = 0;      // outgoing connections that could not be opened
  std::uint64_t closed_by_peer = 0;        // end of stream or socket error
  std::uint64_t closed_silent = 0;         // no byte for the silence limit
  std::uint64_t closed_without_hello = 0;  // no hello within the hello limit
  std::uint64_t closed_queue_full = 0;     // the peer reads too slowly
  std::uint64_t closed_malformed = 0;      // bytes that are not the protocol
  std::uint64_t refused_connections = 0;   // above max_connections
  std::uint64_t bad_addresses = 0;         // peer_connect or heartbeat_send without "IP:port"
  std::uint64_t events_delayed = 0;        // the sink had no space; delivered later
  std::uint64_t sends_dropped = 0;         // the connection was closed before
  std::uint64_t sends_too_long = 0;        // above max_frame_bytes; not sent
  std::uint64_t pings_sent = 0;
  std::uint64_t heartbeats_sent = 0;
  std::uint64_t heartbeats_not_sent = 0;  // too long, or the socket had no space
  std::uint64_t heartbeats_received = 0;
  std::uint64_t heartbeats_dropped = 0;    // the sink had no space
  std::uint64_t heartbeats_malformed = 0;  // datagrams that are not a heartbeat

  auto operator<=>(const peer_counters&) const = default;
};

/// Connections to other processes: TCP sessions with hello, ping and reconnect, and UDP heartbeats.
/// Every method but Counters is called on the thread of the io_context, or while no thread runs it.
class peer_manager {
 public:
  peer_manager(boost::asio::io_context& context, peer_manager_options options,
               peer_event_sink sink);
  ~peer_manager();
  peer_manager(const peer_manager&) = delete;
  peer_manager& operator=(const peer_manager&) = delete;

  /// Binds TCP and UDP and begins to accept. Returns the bound address, or the reason why the
  /// address cannot be used.
  checked<std::string> Listen();

  /// Keeps a connection to the peer open until Disconnect. Another address for a known name
  /// replaces its connection.
  void Connect(const peer_connect& peer);
  void Disconnect(const peer_disconnect& peer);

  /// Queues a message. If the queue of the connection is full, the connection is closed.
  void Send(const peer_send& send);
  /// Sends one datagram now; it is dropped and counted if the socket has no space.
  void SendHeartbeat(const heartbeat_send& send);

  /// Sets the revision in the hello of later connections.
  void SetRevision(revision in_force);

  /// Bytes of frames that the sockets have not taken yet, over all connections.
  std::size_t UnwrittenBytes() const;

  /// Closes every socket. No event is delivered afterwards.
  void Close();

  /// May be called by any thread.
  peer_counters Counters() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_PEER_PEER_MANAGER_H_
