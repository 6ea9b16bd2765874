#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_REQUESTS_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_REQUESTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "berylbarrow/request/routing/account_limiter.h"
#include "berylbarrow/request/routing/retry_budget.h"
#include "process/entry/addresses.h"
#include "process/entry/entry_context.h"
#include "process/entry/key_memory.h"
#include "process/entry/peers.h"
#include "process/entry/replies.h"

namespace berylbarrow {

enum class request_phase : std::uint8_t {
  kWaitingForView,
  kWaitingForAgent,  // none that may take it is connected
  kDispatched,
};

enum class attempt_state : std::uint8_t {
  kActive,   // sent; the last attempt of the request
  kNotRun,   // refused by the agent with certainty
  kInDoubt,  // given up; it may have run
};

/// One agent's try at a request.
struct request_attempt {
  request_id id;
  agent_run run;
  connection_id connection = 0;  // over which the dispatch was last sent
  attempt_state state = attempt_state::kActive;
};

/// Why an attempt cannot go on.
enum class attempt_loss : std::uint8_t {
  kRefused,
  kClosed,  // the connection closed; the agent may come back
  kSilent,  // the agent is suspected
  kGone,    // the run of the agent or its upstream has ended
};

/// A request of a caller from its arrival to the end of its answer.
struct entry_request {
  caller_request input;
  std::uint64_t sequence = 0;  // names the request until it has an attempt
  time_point arrived;
  time_point deadline;
  request_phase phase = request_phase::kWaitingForView;

  // Known once the view was current.
  bool is_resolved = false;
  std::string service;
  bool idempotent = true;
  std::uint64_t fingerprint = 0;
  std::optional<agent_run> owner;  // of the key of a non-idempotent request

  std::vector<request_attempt> attempts;
  std::set<agent_run> tried;
  bool has_place = false;  // in the account limiter
  bool was_denied_retry = false;
  std::optional<refusal_reply> last_refusal;  // by an agent

  // The answer.
  std::optional<answer_head> head;  // of the current attempt
  std::optional<answer_head> sent_head;
  std::optional<duration> first_byte;  // from the arrival to sent_head
  std::uint64_t received = 0;
  std::uint64_t acknowledged = 0;

  // Timers besides the deadline.
  std::optional<time_point> wait_until;      // for an agent or a current view
  std::optional<time_point> poll_at;         // next look for an agent
  std::optional<time_point> resend_at;       // after a gap
  std::optional<time_point> move_on_at;      // started answer whose connection closed
  std::optional<attempt_loss> pending_loss;  // to be handled when the view is current
  time_point last_dispatch;
  time_point due = time_point::max();

  request_attempt* Current() { return attempts.empty() ? nullptr : &attempts.back(); }
  bool HasBegun() const { return sent_head.has_value(); }
};

/// Admission, dispatch, retries, resumption and relay of the requests of callers.
class entry_requests {
 public:
  entry_requests(entry_context& context, entry_peers& peers, address_book& addresses,
                 routing_policy& policy, const key_routing& keys);

  void Add(const caller_request& event);
  void OnCallerClosed(caller_id caller);
  void OnHead(connection_id connection, const answer_head& head);
  void OnPart(connection_id connection, const answer_part& part);
  void OnRefusal(connection_id connection, const refusal& content);

  void OnVersion();
  void OnAgentOpened(const std::string& agent);
  void OnAgentClosed(const std::string& agent);
  void OnAgentRestarted(const std::string& agent);
  /// Moves requests away from agents that are suspected, dead or not connected.
  void Sweep();
  void FireDue();
  /// Starts the requests that waited for a current view.
  void StartWaiting();

  std::size_t Count() const { return table_.size(); }
  time_point NextDeadline() const;
  nlohmann::json State() const;

 private:
  // requests.cc
  void Start(entry_request& request);
  void OnDue(entry_request& request);
  void Expire(entry_request& request);
  /// Whether another copy of the request may have been sent to an agent under the same key.
  bool MayBeKeyed(const entry_request& request) const;
  bool IsNotRun(const entry_request& request) const;
  /// Ends the request with a refusal, or with an incomplete end if its answer has begun.
  void Refuse(entry_request& request, refusal_reply reply);
  void Finish(entry_request& request, request_outcome outcome);
  void UpdateDue(entry_request& request);
  entry_request* Find(caller_id caller);
  std::vector<caller_id> RequestsAt(const std::string& agent);

  // attempts.cc
  void Route(entry_request& request);
  /// Whether the request has crashed too many upstreams to run once more.
  bool IsRefusedSuspect(const entry_request& request) const;
  void DispatchToOneOf(entry_request& request, const std::vector<routing_candidate>& candidates);
  void Dispatch(entry_request& request, const agent_run& run);
  void SendDispatch(entry_request& request);
  /// Sends the cancel over the present connection, or once the agent is connected again.
  void CancelAttempt(const request_attempt& attempt);
  void SendUnsentCancels(const std::string& agent);
  void Lose(entry_request& request, attempt_loss loss);
  void WaitToMove(entry_request& request, attempt_loss loss);
  bool TryElsewhere(entry_request& request);
  void EndLost(entry_request& request);
  bool TakeRetry(entry_request& request);

  // keyed.cc
  void StartKeyed(entry_request& request);
  void Forward(entry_request& request);
  void CannotForward(entry_request& request, const std::string& message);

  // answers.cc
  /// The request and attempt that a message of an agent belongs to; null and counted if there is
  /// none, or if the message did not come over the connection of the last dispatch.
  std::pair<entry_request*, request_attempt*> Locate(connection_id connection,
                                                     const request_id& id);
  void ScheduleResend(entry_request& request);
  void SendHead(entry_request& request);
  /// Load that an agent reports with an answer or refusal.
  void OnLoad(const request_attempt* attempt, const upstream_load& load);
  void Acknowledge(entry_request& request, bool finished);

  entry_context& context_;
  entry_peers& peers_;
  address_book& addresses_;
  routing_policy& policy_;
  const key_routing& keys_;
  account_limiter accounts_;
  std::map<std::string, retry_budget> budgets_;  // by service
  std::map<caller_id, std::unique_ptr<entry_request>> table_;
  std::unordered_map<std::uint64_t, caller_id> attempts_;  // by sequence of the request id
  std::set<std::pair<time_point, caller_id>> timers_;
  std::set<caller_id> waiting_;                                  // for a current view
  std::deque<std::pair<agent_run, request_id>> unsent_cancels_;  // their agent is not connected
  key_memory refused_keys_;
  key_memory forwarded_keys_;
  std::uint64_t sequence_ = 0;
  std::size_t held_bytes_ = 0;  // bodies of the requests in the table
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_REQUESTS_H_
