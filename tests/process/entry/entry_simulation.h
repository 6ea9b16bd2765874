#ifndef BERYLBARROW_TESTS_PROCESS_ENTRY_ENTRY_SIMULATION_H_
#define BERYLBARROW_TESTS_PROCESS_ENTRY_ENTRY_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/entry/entry_fixture.h"

namespace berylbarrow {

/// One step of a generated schedule: what happens, and a number that selects to whom.
using schedule_step = std::pair<int, std::uint32_t>;
using schedule = std::vector<schedule_step>;
constexpr int kStepKinds = 32;

using core_factory =
    std::function<std::unique_ptr<entry_decisions>(const configuration_parser& parser)>;

enum class agent_mode : std::uint8_t { kAccept, kRefuse, kDrain, kFailAfterStart };

struct fake_execution {
  dispatch work;
  std::uint64_t next = 0;
  bool has_sent_head = false;
  bool is_broken = false;
  std::optional<refusal> refused;
};

struct fake_agent {
  std::string name;
  std::uint64_t run = 1;
  connection_id connection = 0;  // 0: none
  agent_mode mode = agent_mode::kAccept;
  bool is_silent = false;
  bool is_leaving = false;
  std::map<request_id, fake_execution> executions;
  std::set<std::string> keys;        // that have run
  std::set<std::string> tombstones;  // that were refused
};

/// What one caller sent and saw.
struct caller_record {
  std::string body;
  std::string key;
  std::uint32_t attempt = 0;
  bool is_aborted = false;
  int starts = 0;  // replies and heads
  int ends = 0;    // replies and ends
  bool is_complete = false;
  std::string bytes;
  std::string outcome;  // of a refusal
};

/// Drives one core against small fake agents through a schedule, records the history and checks it.
class entry_simulation : public entry_fixture {
 public:
  explicit entry_simulation(const core_factory& make);

  /// Returns the first violation found, or an empty string.
  std::string Run(const schedule& steps);

 private:
  struct sent_message {
    connection_id connection = 0;
    std::string agent;
    std::uint64_t run = 0;
    peer_message message;
  };

  void Step(int kind, std::uint32_t number);
  void StepCaller(int kind, std::uint32_t number);
  void StepAgent(int kind, fake_agent& agent, std::uint32_t number);
  void Finish();
  void Collect();
  void CollectSend(const peer_send& send);
  void CollectDispatch(const dispatch& work, const fake_agent& agent, std::uint64_t run);

  void Elapse(duration time) {
    const duration step = std::chrono::milliseconds(50);
    for (duration passed{}; passed < time; passed += step) {
      clock.Advance(step);
      core->Advance(At(), outputs);
      Collect();
      if (clock.Now() >= next_beat_) {
        BeatAll();
      }
    }
  }

  void BeatAll() {
    next_beat_ = clock.Now() + std::chrono::milliseconds(500);
    for (auto& [name, agent] : agents_) {
      if (agent.is_silent) {
        continue;
      }
      Beat(name, agent.run, agent.is_leaving ? process_state::kLeaving : process_state::kServing);
      agent.is_leaving ? (void)leaving_known_.insert(name) : (void)leaving_known_.erase(name);
      Collect();
    }
  }

  void DeliverAll() {
    while (!from_service_.empty()) {
      const document_received answer = from_service_.back();
      from_service_.pop_back();
      is_stale_ = false;  // the last refresh is answered first
      Input(answer);
      Collect();
    }
    while (!to_agents_.empty()) {
      DeliverToAgent(0, false);
    }
    while (!to_core_.empty()) {
      DeliverToCore(0, false);
    }
  }

  void DeliverToCore(std::size_t index, bool keeps);
  void DeliverToAgent(std::size_t index, bool keeps);
  void OnDispatch(fake_agent& agent, const dispatch& work);

  void RefuseWork(fake_agent& agent, fake_execution& execution, refusal_reason reason) {
    if (!execution.work.idempotent) {
      agent.tombstones.insert(execution.work.idempotency_key);
    }
    execution.refused = refusal{.id = execution.work.id, .reason = reason, .load = {.limit = 4}};
    Reply(agent, *execution.refused);
  }

  void Reply(fake_agent& agent, const peer_message& message) {
    if (agent.connection != 0) {
      to_core_.emplace_back(agent.connection, message);
    }
  }

  void ProgressAll() {
    for (auto& [name, agent] : agents_) {
      for (auto& [id, execution] : agent.executions) {
        if (agent.connection != 0 && !agent.is_silent && !execution.refused) {
          Progress(agent, execution);
        }
      }
    }
  }

  void Progress(fake_agent& agent, fake_execution& execution);

  void Connect(fake_agent& agent) {
    if (agent.connection == 0 || agent.connection % 2 == 0) {
      agent.connection = next_connection_++;
      runs_[agent.connection] = {agent.name, agent.run};
      Open(agent.name, agent.connection, agent.run);
      Collect();
    }
  }

  void Disconnect(fake_agent& agent, bool is_seen) {
    const connection_id old = std::exchange(agent.connection, 0);
    if (is_seen && old != 0) {
      Input(peer_closed{old});
    }
  }

  void Restart(fake_agent& agent) {
    Disconnect(agent, agent.run % 2 == 0);
    agent.run = next_run_++;
    agent.executions.clear();
    agent.keys.clear();
    agent.tombstones.clear();
    agent.is_leaving = false;
    leaving_known_.erase(agent.name);  // the announcement was of the run that ended
  }

  void Ask(const std::string& key, std::uint32_t attempt);

  void Publish(const std::string& text) {
    document_ = text;
    Document(revision_++, text);
    Collect();
  }

  void Garbage(std::uint32_t number);

  bool IsKnownOut(const std::string& agent) const {
    const bool is_in_a = agent.back() == '1';
    return document_ == (is_in_a ? "a-out" : "b-out") || leaving_known_.contains(agent) ||
           leaving_listed_.contains(agent);
  }

  void CheckCallers();
  void Violate(const std::string& text) { violation_ = violation_.empty() ? text : violation_; }

  std::map<std::string, fake_agent> agents_;
  std::map<connection_id, std::pair<std::string, std::uint64_t>> runs_;  // of all connections
  std::vector<std::pair<connection_id, peer_message>> to_core_;
  std::vector<sent_message> to_agents_;
  std::vector<document_received> from_service_;
  std::map<caller_id, caller_record> callers_;
  std::set<std::string> accepted_;                                         // bodies and keys run
  std::map<std::string, std::pair<std::string, std::uint64_t>> key_runs_;  // where keys were sent
  std::set<request_id> dispatched_;
  std::string document_;                  // text the entry has
  std::set<std::string> leaving_known_;   // by heartbeat
  std::set<std::string> leaving_listed_;  // by the instance list
  revision revision_ = 1;
  connection_id next_connection_ = 100;
  std::uint64_t next_run_ = 10;
  caller_id next_caller_ = 1;
  time_point next_beat_;
  bool is_stale_ = false;  // paused and not refreshed
  std::string violation_;
};

/// The answer that every upstream gives to this body.
std::string AnswerTo(const std::string& body);

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_PROCESS_ENTRY_ENTRY_SIMULATION_H_
