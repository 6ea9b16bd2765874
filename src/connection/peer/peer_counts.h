#ifndef BERYLBARROW_CONNECTION_PEER_PEER_COUNTS_H_
#define BERYLBARROW_CONNECTION_PEER_PEER_COUNTS_H_

#include "berylbarrow/connection/peer/peer_manager.h"
#include "berylbarrow/process/runtime/shared_count.h"
#include "connection/peer/peer_session.h"

namespace berylbarrow {

/// The counters of a peer manager, read by any thread.
struct peer_counts {
  shared_count open, opened, connect_failures, closed_by_peer, closed_silent, closed_without_hello,
      closed_queue_full, closed_malformed, refused_connections, bad_addresses, events_delayed,
      sends_dropped, sends_too_long, pings_sent, heartbeats_sent, heartbeats_not_sent,
      heartbeats_received, heartbeats_dropped, heartbeats_malformed;

  void Count(close_reason reason);
  peer_counters Values() const;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_PEER_PEER_COUNTS_H_
