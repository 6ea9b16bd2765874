#ifndef TESTS_SUPPORT_FLEET_PROCESSES_H_
#define TESTS_SUPPORT_FLEET_PROCESSES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "berylbarrow/process/core/core.h"
#include "support/fleet_context.h"
#include "support/fleet_document.h"

namespace berylbarrow {

using fleet_input =
    std::variant<peer_opened, peer_closed, peer_received, heartbeat_received, document_received,
                 instances_received, shutdown_requested, caller_request, caller_closed,
                 address_query, upstream_head, upstream_part, upstream_end, upstream_report>;
using fleet_output =
    std::variant<peer_connect, peer_disconnect, peer_send, heartbeat_send, configuration_watch,
                 operator_reply, process_finished, log_event, caller_reply, caller_head,
                 caller_part, caller_end, callers_stop_accepting, upstream_start, upstream_cancel,
                 engine_order, engine_watch>;

/// Parts of the cores that a test may replace.
struct fleet_parts {
  const configuration_parser* parser = nullptr;
  std::function<std::unique_ptr<entry_decisions>(const process_identity&, std::uint64_t seed)>
      make_entry;
  std::function<std::unique_ptr<agent_decisions>(const process_identity&,
                                                 const std::string& service, std::uint64_t seed)>
      make_agent;
  bool ends_at_once = false;  // a process that is asked to shut down exits without waiting
};

/// The parts of the product.
fleet_parts ProductParts(const configuration_parser& parser);

/// One place of the fleet and the process that runs there.
struct fleet_process {
  fleet_place place;
  process_identity identity;
  std::unique_ptr<entry_decisions> entry;
  std::unique_ptr<agent_decisions> agent;
  std::uint64_t life = 0;  // number of the run; what belongs to an earlier run is dropped
  bool is_up = false;
  bool is_paused = false;
  bool is_leaving = false;
  bool accepts = true;
  bool has_left = false;  // the last run ended by a graceful shutdown
  revision in_force = 0;
  std::uint32_t step = 0;  // of the move plan
  configuration_watch watch;
  std::uint64_t watch_number = 0;
  std::vector<fleet_input> backlog;
  time_point armed = time_point::max();

  bool IsEntry() const { return place.service.empty(); }
};

/// Runs the cores: hands them inputs and deadlines and takes their outputs.
class fleet_processes {
 public:
  using output_handler = std::function<void(fleet_process&, const fleet_output&)>;
  using input_watcher = std::function<void(fleet_process&, const fleet_input&)>;

  fleet_processes(fleet_context& context, const fleet_parts& parts);

  void OnOutput(output_handler handler) { on_output_ = std::move(handler); }
  /// Called just before a process handles an input.
  void OnInput(input_watcher watcher) { on_input_ = std::move(watcher); }

  /// Starts a new run with a new identity and nothing kept.
  void Start(const std::string& name);
  void Stop(const std::string& name);
  void Pause(const std::string& name);
  /// The process first handles what arrived meanwhile, or first its timers.
  void Resume(const std::string& name);
  /// Hands an input to the run `life` of the process, if it still exists.
  void Give(const std::string& name, std::uint64_t life, fleet_input input);

  fleet_process& At(const std::string& name) { return processes_.at(name); }
  fleet_process* FindByAddress(const std::string& address);
  fleet_process* FindByCallerAddress(const std::string& address);
  std::map<std::string, fleet_process>& All() { return processes_; }
  const std::map<std::string, fleet_process>& All() const { return processes_; }

 private:
  void Handle(fleet_process& target, const fleet_input& input);
  void Advance(fleet_process& target);
  template <typename Output>
  void Take(fleet_process& target, const std::vector<Output>& outputs);
  void Arm(fleet_process& target);

  fleet_context& context_;
  fleet_parts parts_;
  std::map<std::string, fleet_process> processes_;
  output_handler on_output_;
  input_watcher on_input_;
  std::uint64_t generation_ = 0;
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_PROCESSES_H_
