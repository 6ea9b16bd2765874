#include "connection/peer/peer_counts.h"

namespace berylbarrow {

void peer_counts::Count(close_reason reason) {
  switch (reason) {
    case close_reason::kLocal:
      break;
    case close_reason::kConnectFailed:
      ++connect_failures;
      break;
    case close_reason::kPeer:
      ++closed_by_peer;
      break;
    case close_reason::kSilent:
      ++closed_silent;
      break;
    case close_reason::kNoHello:
      ++closed_without_hello;
      break;
    case close_reason::kQueueFull:
      ++closed_queue_full;
      break;
    case close_reason::kMalformed:
      ++closed_malformed;
      break;
  }
}

peer_counters peer_counts::Values() const {
  return {.open = open,
          .opened = opened,
          .connect_failures = connect_failures,
          .closed_by_peer = closed_by_peer,
          .closed_silent = closed_silent,
          .closed_without_hello = closed_without_hello,
          .closed_queue_full = closed_queue_full,
          .closed_malformed = closed_malformed,
          .refused_connections = refused_connections,
          .bad_addresses = bad_addresses,
          .events_delayed = events_delayed,
          .sends_dropped = sends_dropped,
          .sends_too_long = sends_too_long,
          .pings_sent = pings_sent,
          .heartbeats_sent = heartbeats_sent,
          .heartbeats_not_sent = heartbeats_not_sent,
          .heartbeats_received = heartbeats_received,
          .heartbeats_dropped = heartbeats_dropped,
          .heartbeats_malformed = heartbeats_malformed};
}

}  // namespace berylbarrow
