#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_VIEW_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/membership/member_table.h"
#include "berylbarrow/version/configuration/configuration_follower.h"
#include "berylbarrow/version/plan/plan_progress.h"

namespace berylbarrow {

struct fleet_options {
  process_identity self;
  member_options members;
  follower_options follower;  // `self` is filled in by fleet_view
  duration heartbeat_interval = std::chrono::milliseconds(500);
  std::vector<std::string>
      seeds;  // "IP:port" of peers that get heartbeats before a document is known
};

/// What an input changed in the view.
struct fleet_changes {
  std::vector<peer_send> sends;
  std::vector<heartbeat_send> heartbeats;
  std::vector<configuration_watch> watches;
  std::vector<log_event> events;
  bool version_changed = false;  // another revision came into force
  bool plan_changed = false;     // a step of the move plan began
  bool heartbeat_due = false;    // the process is to send its heartbeats now
  std::string restarted_peer;    // name of a peer whose newer run replaced the one known
  std::string closed_peer;       // name of a peer whose connection closed
};

/// What a process knows of the fleet: peers, configuration in force, progress of the move plan.
/// Both cores pass every input of these kinds through it first.
class fleet_view {
 public:
  /// `parser` must outlive the view.
  fleet_view(const fleet_options& options, const configuration_parser& parser);

  /// To be called first for every input and deadline.
  fleet_changes OnTime(const moment& at);
  fleet_changes On(const peer_opened& event, const moment& at);
  fleet_changes On(const peer_closed& event, const moment& at);
  /// Handles configuration requests and replies and the revision and step of a dispatch; other
  /// messages only show that the peer is alive.
  fleet_changes On(const peer_received& event, const moment& at);
  fleet_changes On(const heartbeat_received& event, const moment& at);
  fleet_changes On(const document_received& event, const moment& at);
  fleet_changes On(const instances_received& event, const moment& at);

  /// The heartbeat of this process, with the fields that the view knows.
  heartbeat NextHeartbeat(process_state state);

  /// Whether new work may go to this failure domain or upstream: in service by the document and
  /// the plan, and neither announced nor listed as leaving.
  bool DomainInService(const std::string& domain) const;
  bool UpstreamInService(const upstream_options& upstream) const;

  /// Per failure domain, over all upstreams of the document.
  domain_observations Observe(time_point now) const;

  view_state View(time_point now) const { return follower_.View(now); }
  std::shared_ptr<const configuration_version> Current() const { return follower_.Current(); }
  revision Revision() const { return follower_.Revision(); }
  std::uint32_t PlanStep() const { return plan_.Step(); }
  const member_table& Members() const { return members_; }
  member_table& Members() { return members_; }
  const process_identity& Self() const { return options_.self; }
  time_point NextDeadline() const;
  nlohmann::json State(const moment& at) const;

 private:
  void Merge(follower_actions actions, const moment& at, fleet_changes& changes);
  void ReportRefusals(fleet_changes& changes);
  bool IsListedLeaving(const std::string& name) const;

  /// A list said that the instance leaves.
  struct leaving_mark {
    time_point until;               // unless a list says so again
    std::uint64_t incarnation = 0;  // of the process there; 0: not heard of
  };

  fleet_options options_;
  member_table members_;
  configuration_follower follower_;
  plan_progress plan_;
  std::map<std::string, instance_record> instances_;
  std::map<std::string, leaving_mark> leaving_marks_;
  time_point next_heartbeat_;
  std::uint64_t heartbeat_sequence_ = 0;
  revision reported_refusal_ = 0;  // the last refused revision that was logged
};

/// Appends the messages of `changes` to the outputs of a core.
template <typename Output>
void AppendTo(std::vector<Output>& outputs, const fleet_changes& changes) {
  for (const configuration_watch& watch : changes.watches) {
    outputs.push_back(watch);
  }
  for (const peer_send& send : changes.sends) {
    outputs.push_back(send);
  }
  for (const heartbeat_send& send : changes.heartbeats) {
    outputs.push_back(send);
  }
  for (const log_event& event : changes.events) {
    outputs.push_back(event);
  }
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_VIEW_H_
