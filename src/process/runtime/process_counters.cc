#include "process/runtime/process_counters.h"

#include <array>
#include <string_view>

#include "process/runtime/named_counter.h"

namespace berylbarrow {
namespace {

template <typename Counters, std::size_t Count>
std::string Text(const std::string& group, const Counters& counters,
                 const std::array<named_counter<Counters>, Count>& names) {
  std::string text;
  for (const named_counter<Counters>& each : names) {
    const std::string name = group + "_" + std::string(each.name);
    text += "# TYPE berylbarrow_" + name + "_total counter\n";
    text += CounterLine(name, "", counters.*each.value);
  }
  return text;
}

}  // namespace

std::string CounterLine(const std::string& name, const std::string& label, std::uint64_t value) {
  const std::string labels = label.empty() ? "" : "{" + label + "}";
  return "berylbarrow_" + name + "_total" + labels + " " + std::to_string(value) + "\n";
}

std::string CountersText(const caller_server_counters& counters) {
  static constexpr std::array kNames{
      named_counter<caller_server_counters>{"requests", &caller_server_counters::requests},
      named_counter<caller_server_counters>{"malformed", &caller_server_counters::malformed},
      named_counter<caller_server_counters>{"refused_full", &caller_server_counters::refused_full},
      named_counter<caller_server_counters>{"refused_connections",
                                            &caller_server_counters::refused_connections},
      named_counter<caller_server_counters>{"slow_callers", &caller_server_counters::slow_callers},
      named_counter<caller_server_counters>{"abandoned", &caller_server_counters::abandoned},
      named_counter<caller_server_counters>{"handshakes_failed",
                                            &caller_server_counters::handshakes_failed},
      named_counter<caller_server_counters>{"refused_memory",
                                            &caller_server_counters::refused_memory},
  };
  return Text("callers", counters, kNames);
}

std::string CountersText(const upstream_client_counters& counters) {
  static constexpr std::array kNames{
      named_counter<upstream_client_counters>{"started", &upstream_client_counters::started},
      named_counter<upstream_client_counters>{"completed", &upstream_client_counters::completed},
      named_counter<upstream_client_counters>{"broken", &upstream_client_counters::broken},
      named_counter<upstream_client_counters>{"not_sent", &upstream_client_counters::not_sent},
      named_counter<upstream_client_counters>{"late", &upstream_client_counters::late},
      named_counter<upstream_client_counters>{"refused_full",
                                              &upstream_client_counters::refused_full},
      named_counter<upstream_client_counters>{"reports", &upstream_client_counters::reports},
      named_counter<upstream_client_counters>{"reports_missing",
                                              &upstream_client_counters::reports_missing},
  };
  return Text("upstream_client", counters, kNames);
}

std::string CountersText(const engine_client_counters& counters) {
  using named = named_counter<engine_client_counters>;
  static constexpr std::array kNames{
      named{"states", &engine_client_counters::states},
      named{"states_missing", &engine_client_counters::states_missing},
      named{"orders_sent", &engine_client_counters::orders_sent},
      named{"orders_refused", &engine_client_counters::orders_refused},
      named{"orders_late", &engine_client_counters::orders_late},
      named{"orders_fenced", &engine_client_counters::orders_fenced},
  };
  return Text("engine_client", counters, kNames);
}

std::string CountersText(const peer_counters& counters) {
  static constexpr std::array kNames{
      named_counter<peer_counters>{"opened", &peer_counters::opened},
      named_counter<peer_counters>{"connect_failures", &peer_counters::connect_failures},
      named_counter<peer_counters>{"closed_by_peer", &peer_counters::closed_by_peer},
      named_counter<peer_counters>{"closed_silent", &peer_counters::closed_silent},
      named_counter<peer_counters>{"closed_without_hello", &peer_counters::closed_without_hello},
      named_counter<peer_counters>{"closed_queue_full", &peer_counters::closed_queue_full},
      named_counter<peer_counters>{"closed_malformed", &peer_counters::closed_malformed},
      named_counter<peer_counters>{"refused_connections", &peer_counters::refused_connections},
      named_counter<peer_counters>{"bad_addresses", &peer_counters::bad_addresses},
      named_counter<peer_counters>{"events_delayed", &peer_counters::events_delayed},
      named_counter<peer_counters>{"sends_dropped", &peer_counters::sends_dropped},
      named_counter<peer_counters>{"sends_too_long", &peer_counters::sends_too_long},
      named_counter<peer_counters>{"pings_sent", &peer_counters::pings_sent},
      named_counter<peer_counters>{"heartbeats_sent", &peer_counters::heartbeats_sent},
      named_counter<peer_counters>{"heartbeats_not_sent", &peer_counters::heartbeats_not_sent},
      named_counter<peer_counters>{"heartbeats_received", &peer_counters::heartbeats_received},
      named_counter<peer_counters>{"heartbeats_dropped", &peer_counters::heartbeats_dropped},
      named_counter<peer_counters>{"heartbeats_malformed", &peer_counters::heartbeats_malformed},
  };
  return Text("peers", counters, kNames) +
         "# TYPE berylbarrow_peers_open gauge\nberylbarrow_peers_open " +
         std::to_string(counters.open) + "\n";
}

std::string CountersText(const platform_counters& counters) {
  static constexpr std::array kNames{
      named_counter<platform_counters>{"configuration_reads",
                                       &platform_counters::configuration_reads},
      named_counter<platform_counters>{"configuration_failures",
                                       &platform_counters::configuration_failures},
      named_counter<platform_counters>{"older_revisions", &platform_counters::older_revisions},
      named_counter<platform_counters>{"instance_reads", &platform_counters::instance_reads},
      named_counter<platform_counters>{"instance_failures", &platform_counters::instance_failures},
      named_counter<platform_counters>{"events_delayed", &platform_counters::events_delayed},
  };
  return Text("platform", counters, kNames);
}

}  // namespace berylbarrow
