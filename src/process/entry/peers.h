#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_PEERS_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_PEERS_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/entry/key_routing.h"
#include "berylbarrow/request/routing/routing_policy.h"
#include "process/entry/entry_context.h"

namespace berylbarrow {

/// The entry's connection to one agent and the requests that depend on it.
struct agent_link {
  std::string address;
  bool in_subset = false;
  bool on_demand = false;  // made for a key whose agent is not in the subset
  std::optional<connection_id> connection;
  std::uint64_t incarnation = 0;  // of the process at the other end
  std::uint32_t sent_since = 0;   // requests sent since the last load report
  time_point last_used;
  std::set<caller_id> requests;
};

/// Which agents the entry is connected to, who gets its heartbeats, and which agents may take work.
class entry_peers {
 public:
  explicit entry_peers(entry_context& context) : context_(context) {}

  /// Connects to the seeds while no document is known.
  void Start();
  /// While no document is known: connects to a process that has one, where its heartbeat came from.
  void OnInformedPeer(const std::string& address);
  /// Follows the document in force and the services that the entry serves.
  void OnVersion();
  /// Returns the name of the agent, or an empty string if it is none of the entry's links.
  std::string OnOpened(const peer_opened& event);
  std::string OnClosed(connection_id connection);
  void OnLoad(const std::string& agent);
  /// Deaths of upstreams that a peer reports in a heartbeat, an answer or a refusal.
  void OnSuspects(const std::vector<suspect_report>& reports);
  void SendHeartbeats();
  /// Closes links that nothing needs and forgets peers that were silent for long.
  void Sweep();

  agent_link* Find(const std::string& agent);
  /// Connects to an agent outside the subset.
  void Demand(const upstream_options& upstream);
  /// Whether requests can be sent to this run of the agent now.
  bool IsConnectedTo(const agent_run& run) const;
  void Attach(const std::string& agent, caller_id caller);
  void Detach(const std::string& agent, caller_id caller);
  void OnSent(const std::string& agent);

  /// Connected, alive, serving and in service.
  bool MayTakeWork(const upstream_options& upstream) const;
  /// Agents of the service that may take work, except those in `excluded`.
  std::vector<routing_candidate> Candidates(const service_options& service,
                                            const std::set<agent_run>& excluded) const;
  /// Whether the other entry sends its heartbeats to this one, so that silence says it is dead.
  bool Hears(const std::string& entry) const { return heard_entries_.contains(entry); }
  std::vector<agent_run> ConnectedRuns(const service_options& service) const;
  const std::map<std::string, agent_link>& Links() const { return links_; }
  nlohmann::json State() const;

 private:
  void ChooseEntries();
  void Connect(const std::string& name, agent_link& link, const std::string& address);
  void Disconnect(const std::string& name, agent_link& link);

  entry_context& context_;
  std::map<std::string, agent_link> links_;
  std::map<connection_id, std::string> connections_;
  std::vector<std::string> entry_addresses_;  // that get heartbeats
  std::set<std::string> heard_entries_;       // that send heartbeats to this entry
  bool seeds_connected_ = false;
  std::set<std::string> informed_peers_;  // addresses that serve as seeds besides
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_PEERS_H_
