#ifndef TESTS_PROCESS_AGENT_AGENT_WORLD_H_
#define TESTS_PROCESS_AGENT_AGENT_WORLD_H_

#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "process/agent/agent_harness.h"

namespace berylbarrow {

/// One event of a generated schedule.
struct schedule_step {
  std::uint32_t kind = 0;    // below agent_world::Kinds()
  std::uint32_t choice = 0;  // selects among the possible targets of the event
};

inline std::ostream& operator<<(std::ostream& out, const schedule_step& step) {
  return out << "{" << step.kind << ", " << step.choice << "}";
}

/// One agent core between a simulated entry and a simulated upstream. Records what reaches the
/// upstream and what is answered, and collects every violation of a guarantee.
class agent_world {
 public:
  agent_world(std::unique_ptr<key_policy> policy, std::unique_ptr<admission_limit> limit);

  /// Number of kinds of events; frequent ones have several.
  static std::uint32_t Kinds();
  void Run(const std::vector<schedule_step>& schedule);
  const std::vector<std::string>& Violations() const { return violations_; }
  /// The counters of the core by their name in the metrics.
  std::map<std::string, std::uint64_t> Counters();

 private:
  static constexpr std::size_t kRecent = 12;  // requests the agent is probably still working on

  /// The entry's side of one dispatch.
  struct waiting_request {
    dispatch work;
    duration sent_at = duration::zero();  // active time
    connection_id connection = 0;
    std::uint64_t received = 0;
    std::uint64_t acknowledged = 0;
    bool is_ended = false;
  };
  /// One run at the upstream.
  struct upstream_run {
    request_id id;
    std::string operation;
    std::uint64_t produced = 0;
    bool has_head = false;
    bool counts_as_warmth = false;
  };

  struct event_kind {
    std::uint32_t weight = 0;
    void (agent_world::*action)(std::uint32_t choice) = nullptr;
  };
  static const std::vector<event_kind>& Events();

  void NewRequest(std::uint32_t choice);
  void SendCopy(std::uint32_t choice);
  void SendSecondAttempt(std::uint32_t choice);
  void Reconnect(std::uint32_t choice);
  void CloseConnection(std::uint32_t choice);
  void Produce(std::uint32_t choice);
  void Complete(std::uint32_t choice);
  void BreakOne(std::uint32_t choice);
  void KillUpstream(std::uint32_t choice);
  void RestartUpstream(std::uint32_t choice);
  void Publish(std::uint32_t choice);
  void Pause(std::uint32_t choice);
  void PassTime(std::uint32_t choice);
  void AnswerRefresh(std::uint32_t choice);
  void Acknowledge(std::uint32_t choice);
  void Cancel(std::uint32_t choice);
  void ShutDown(std::uint32_t choice);

  void Input(const agent_input& input);
  void Send(waiting_request& request);
  /// Handles what the core has put out since the last call.
  void Observe();
  void OnStart(const upstream_start& start);
  void OnSend(const peer_send& send);
  void OnPart(const answer_part& part, connection_id connection);
  void OnRefusal(const refusal& message);
  void OnRun(const upstream_run& run);
  void Cold();
  std::uint32_t WarmthAllowed() const;
  std::string OperationOf(const request_id& id) const;
  void Fail(const std::string& what) { violations_.push_back(what); }
  /// One of the latest requests.
  waiting_request* Pick(std::uint32_t choice, std::size_t among = kRecent);
  std::optional<execution_id> PickRun(std::uint32_t choice) const;

  agent_harness agent_;
  std::size_t observed_ = 0;
  std::vector<std::string> violations_;

  duration active_ = duration::zero();
  connection_id connection_ = 1;
  bool is_connected_ = true;
  std::uint64_t last_sequence_ = 0;
  std::map<request_id, waiting_request> requests_;

  std::map<execution_id, upstream_run> runs_;
  bool is_up_ = true;
  std::uint64_t instance_ = 1;
  std::uint32_t warm_completions_ = 0;  // of work started since the last sign of coldness

  std::set<std::string> started_;                   // operations that the upstream has seen
  std::map<std::string, std::uint64_t> completed_;  // with the length of the answer
  std::set<std::string> cut_;                       // operations whose run broke or was cancelled
  std::set<std::string> refused_;                   // operations refused as not run
  std::set<request_id> after_end_;                  // requests first sent after the shutdown
  revision revision_ = 1;
  bool is_out_ = false;
  bool is_stale_ = false;
  bool is_leaving_ = false;
  std::optional<std::uint64_t> refresh_;
};

}  // namespace berylbarrow

#endif  // TESTS_PROCESS_AGENT_AGENT_WORLD_H_
