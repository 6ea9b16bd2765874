#ifndef TESTS_SUPPORT_FLEET_UPSTREAM_H_
#define TESTS_SUPPORT_FLEET_UPSTREAM_H_

#include <cstdint>
#include <map>
#include <string>

#include "support/fleet_processes.h"

namespace berylbarrow {

/// A request as the upstream sees it: the callers write their numbers into the body or target.
struct request_mark {
  std::uint64_t request = 0;
  std::uint64_t operation = 0;
  std::string key;
  bool is_poison = false;
};
std::string WriteMark(const request_mark& mark);

/// The whole answer to a request: a function of its operation and kind only, as upstreams give
/// the same answer to every repetition.
std::string ExpectedAnswer(const http_request& request);

/// The upstream beside an agent.
class fleet_upstream {
 public:
  fleet_upstream(fleet_context& context, fleet_processes& processes, const fleet_place& place);

  void Start(const fleet_process& agent, const upstream_start& work);
  void Cancel(const fleet_process& agent, execution_id execution);
  /// The agent ended: its connections close and the upstream stops their work.
  void OnAgentStopped();
  void OnAgentStarted() { is_warned_ = true; }
  /// The agent handles what the upstream told it.
  void OnAgentInput(const fleet_input& input);

  // Faults.
  void Die(duration downtime);
  void TurnCold();

  std::size_t Running() const { return jobs_.size(); }

 private:
  struct job {
    std::uint64_t life = 0;  // of the agent
    execution_id execution = 0;
    std::uint64_t run = 0;  // of the upstream
    http_request request;
    std::uint64_t offset = 0;
  };

  void Arrive(const job& work, const start_record& record);
  void Answer(std::uint64_t id, const std::string& answer);
  void Finish(std::uint64_t id);
  void End(const job& work, upstream_outcome outcome, duration delay);
  void Restart();
  void Report();
  void SendReport();
  std::uint32_t Bearable() const;
  void Tell(std::uint64_t life, duration delay, const fleet_input& input);
  std::string Instance() const { return place_.name + "#" + std::to_string(run_); }

  fleet_context& context_;
  fleet_processes& processes_;
  fleet_place place_;
  bool is_up_ = true;
  bool is_warned_ = true;
  std::uint64_t run_ = 1;
  time_point run_since_;
  std::uint32_t completed_ = 0;        // of work that arrived in this run
  std::uint32_t bearable_before_ = 0;  // in the run before, as long as the agent is not warned
  std::map<std::uint64_t, job> jobs_;
  std::uint64_t last_job_ = 0;
  time_point last_told_;  // what the upstream tells an agent arrives in order
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_UPSTREAM_H_
