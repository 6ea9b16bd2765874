#ifndef TESTS_SUPPORT_FLEET_RUN_H_
#define TESTS_SUPPORT_FLEET_RUN_H_

#include <iosfwd>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/fault_schedule.h"
#include "support/fleet_callers.h"
#include "support/fleet_network.h"
#include "support/fleet_platform.h"
#include "support/fleet_upstream.h"

namespace berylbarrow {

/// A fleet of entry and agent cores in one thread, with fakes of everything around them.
class fleet_run {
 public:
  fleet_run(const fault_schedule& schedule, const fleet_parts& parts);

  /// Runs the schedule to its end. Writes what the processes do to `trace` unless it is null.
  history Run(std::ostream* trace);

 private:
  void On(fleet_process& from, const peer_connect& output) { network_.Connect(from, output); }
  void On(fleet_process& from, const peer_disconnect& output) {
    network_.Disconnect(from, output.name);
  }
  void On(fleet_process& from, const peer_send& output) { network_.Send(from, output); }
  void On(fleet_process& from, const heartbeat_send& output);
  void On(fleet_process& from, const configuration_watch& output);
  void On(fleet_process& /*from*/, const operator_reply& /*output*/) {}
  void On(fleet_process& from, const process_finished& output);
  void On(fleet_process& from, const caller_reply& output) { callers_.OnReply(from, output); }
  void On(fleet_process& /*from*/, const caller_head& output) { callers_.OnHead(output); }
  void On(fleet_process& /*from*/, const caller_part& output) { callers_.OnPart(output); }
  void On(fleet_process& /*from*/, const caller_end& output) { callers_.OnEnd(output); }
  void On(fleet_process& /*from*/, const log_event& /*output*/) {}
  void On(fleet_process& from, const callers_stop_accepting& /*output*/) { from.accepts = false; }
  void On(fleet_process& from, const upstream_start& output) {
    upstreams_.at(from.place.name)->Start(from, output);
  }
  void On(fleet_process& from, const upstream_cancel& output) {
    upstreams_.at(from.place.name)->Cancel(from, output.execution);
  }
  // No upstream of these runs is in a group of ranks.
  void On(fleet_process& /*from*/, const engine_order& /*output*/) {}
  void On(fleet_process& /*from*/, const engine_watch& /*output*/) {}
  void OnInput(fleet_process& target, const fleet_input& input);
  void Trace(const fleet_process& process, const char* direction, const std::string& text);
  void NoteRevision(fleet_process& from, revision number, std::uint32_t step);
  void PublishDrain();

  void Inject(const fault& item);
  void InjectProcessFault(const fault& item);
  void InjectNetworkFault(const fault& item);
  void InjectServiceFault(const fault& item);
  void Kill(const std::string& name, duration downtime);
  void Pause(const std::string& name, duration lasts);
  void Shutdown(const std::string& name);
  void TakeOut(const fault& item);
  void Partition(const fault& item);
  void Stop(const std::string& name, bool is_graceful);
  void Start(const std::string& name);
  void Publish();
  void Sample();
  /// Highest revision that the process can learn of, and the step of its plan.
  std::pair<revision, std::uint32_t> Offered(const fleet_process& process) const;
  std::string Target(const fault& item) const;

  fault_schedule schedule_;
  fleet_context context_;
  fleet_processes processes_;
  fleet_network network_;
  fleet_platform platform_;
  std::map<std::string, std::unique_ptr<fleet_upstream>> upstreams_;
  fleet_callers callers_;
  fleet_state wanted_;
  std::string drained_;  // failure domain that leaves and returns
  time_point start_;
  std::ostream* trace_ = nullptr;
  std::set<std::string> gone_;  // not started again
};

/// Runs a schedule with the given parts.
history RunFleet(const fault_schedule& schedule, const fleet_parts& parts,
                 std::ostream* trace = nullptr);

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_RUN_H_
