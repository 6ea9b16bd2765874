#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_RELAYED_REQUEST_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_RELAYED_REQUEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/connection/http/http_server.h"
#include "berylbarrow/connection/http/upstream_link.h"
#include "berylbarrow/request/stream/event_splitter.h"
#include "process/gateway/relay_context.h"

namespace berylbarrow {

/// A request that was admitted by the admission gate.
struct admitted_request {
  queued_request_id id = 0;
  http_head head;
  std::shared_ptr<const std::string> body;
  caller_facts facts;
  std::shared_ptr<const routing_view> view;  // keeps the route alive
  const route* matched_route = nullptr;
  std::string service;
  std::string account;
  std::uint32_t priority = 5;
  time_point arrival;
  time_point deadline;  // of the caller or of the route, whichever is earlier
  trait_list traits;    // that identify the request in the crash analysis
};

/// How a request is answered that ends before it is complete.
struct unfinished_answer {
  unsigned status = 504;  // if the request may have run; otherwise it is refused with 503
  std::string_view reason;
  duration retry_after = duration::zero();  // of the refusal; zero: none is sent
  auto operator<=>(const unfinished_answer&) const = default;
};

/// Status of requests that crash upstreams. Callers do not repeat them after this status.
inline constexpr unsigned kCrashRefusalStatus = 400;
inline constexpr const char* kCrashRefusalBody =
    "Upstreams crash when they answer this request or others with the same prompt part. "
    "It is refused until a later trial succeeds.\n";

/// Latest time of dispatch at which the request is expected to meet its latency objective.
time_point LatestOnTimeDispatch(const admitted_request& request);

/// Relays one request: chooses upstreams, sends the request, retries it where that is safe, resumes
/// streams, and sends the caller exactly one final answer.
class relayed_request final : public served_request,
                              public exchange_handler,
                              public std::enable_shared_from_this<relayed_request> {
 public:
  relayed_request(admitted_request&& request, relay_context& context, relay_listener& listener,
                  answer_sink& sink);

  queued_request_id Id() const { return request_.id; }
  const admitted_request& Request() const { return request_; }
  bool IsDone() const { return state_ == state::kDone; }
  bool IsWaiting() const { return state_ == state::kWaiting; }
  request_urgency Urgency() const;
  /// What the admission of the service needs to know of the request.
  stream_candidate Candidate() const;

  /// The upstream that the request would be sent to now. `unit`: if set, the failure unit to which
  /// the choice is limited.
  dispatch_choice ChooseUpstream(std::optional<std::uint32_t> unit, time_point now) const;
  /// Sends the request if an upstream has capacity for it. Otherwise returns the obstacle, and the
  /// caller must try again later.
  dispatch_obstacle TryDispatch(time_point now);
  /// Ends a request that is not sent again: answers 503 if it has not run on any upstream and 502
  /// if it may have, or aborts the stream if its head was already sent. No Retry-After is sent if
  /// `retry_after` is zero.
  void Refuse(std::string_view reason, duration retry_after);
  /// Called regularly. Ends the request at its deadline, and retries it if the upstream is silent.
  void CheckTimeouts(time_point now);
  /// Ends an attempt without an event if the request is now refused for the crashes that it causes,
  /// so that it does not crash the upstream as well.
  void EndIfRefused(time_point now);
  /// Ends the request before its answer is complete.
  void EndUnfinished(const unfinished_answer& answer, time_point now);
  /// Logs the request as cut off. Called if the process ends before the request does.
  void LogCutOff() const;

  void OnCallerGone() override;
  bool OnAnswerHead(const http_head& head) override;
  void OnAnswerBody(std::string& body) override;
  void OnAnswerEnd(const http_head& head, std::string&& body) override;
  void OnLinkFailure(link_failure failure) override;

 private:
  enum class state : std::uint8_t { kWaiting, kSent, kStreaming, kDone };
  enum class answer_owner : std::uint8_t { kThisRequest, kOtherRequest, kUnknown };

  struct attempt {
    std::string upstream_id;
    std::shared_ptr<upstream_link> link;
    time_point sent;
    time_point last_received;  // time of the head or of the last event from the upstream
    std::optional<time_point> head_received;
    std::optional<time_point> last_event;
    reply_facts facts;
  };

  /// Tokens of the prompt and, at most, of the answer.
  std::uint32_t ExpectedTokens() const;
  /// Whether the request can no longer meet its latency objective.
  bool IsLate(time_point now) const;
  /// The admission that decides on the request; null if it needs none.
  stream_admission* Admission() const;
  /// Room that the request has to leave free; nothing if its dispatch is not limited by room.
  std::optional<double> Headroom(time_point now) const;
  crash_verdict CheckCrashes(time_point now) const;
  /// Answers a request that the crash analysis does not let run now. Returns false if it may run.
  bool EndIfSuspected(const crash_verdict& verdict);
  /// Whether the request might crash the last failure unit of the service while others are down.
  bool EndangersLastUnit(time_point now) const;
  /// Tells the crash analysis that the attempt broke before an event was complete.
  void ReportCrash(time_point now);
  /// Tells the crash analysis that the request has run without a crash.
  void ReportSound(unsigned status, time_point now);
  void OnFirstEvent(time_point now);
  void Send(const dispatch_choice& choice, time_point now);
  void EndAttempt(attempt_outcome outcome, time_point now);
  /// Resets the connection of the attempt, if there is one.
  void CancelAttempt(time_point now);
  /// Handles an answer which shows that the upstream has not run the request.
  void HandleNotRun(const http_head& head, time_point now);
  /// Sends the request again. Returns false if that is not allowed or not possible now.
  bool Retry(std::string_view reason, time_point now);
  /// Consumes one retry of the budget of the service. Returns false if none is left.
  bool AcquireRetryBudget(time_point now);
  /// Queues a request again that has not run. Returns false if it may have run, has reached the
  /// limit of attempts or has too little time left.
  bool Requeue(const std::string& upstream_id, time_point now);
  /// Handles an attempt that may have run but gave no complete answer.
  void HandleBrokenAttempt(std::string_view reason, time_point now);
  void ForwardStreamPart(std::string& body, time_point now);
  /// Events with data have arrived.
  void OnEvent(time_point now);
  void ForwardEvents(const std::string& events);
  /// `ends_with_connection`: only the end of the connection told that the stream is complete.
  void HandleStreamEnd(bool ends_with_connection, time_point now);
  void ForwardAnswer(const http_head& head, std::string&& body);
  /// Aborts the connection to the caller if the head of a stream was already sent, because no other
  /// answer is possible then. Returns false if no head was sent.
  bool AbortStream(std::string_view reason);
  /// Whether an upstream may have run the request, or may be running it.
  bool MayHaveRun() const { return possible_runs_ > 0 || attempt_.has_value(); }
  /// Answers with a failure of the gateway's own. A status that promises "not run" becomes 502 if
  /// the request may have run.
  void SendFailure(unsigned status, std::string_view reason,
                   duration retry_after = duration::zero());
  void Finish(std::string_view outcome, unsigned status);
  /// Status and fields of the answer to the caller, without the fields that concern only the
  /// connection to the upstream.
  http_answer ToCallerAnswer(const http_head& head) const;
  bool IsStreamAnswer(const http_head& head) const;
  /// Which request an answer on the link of the attempt belongs to. The link may have served other
  /// requests before, and the upstream may repeat their answers.
  answer_owner OwnerOf(const reply_facts& facts) const;
  void LogAttempt(std::string_view event, std::string_view reason) const;
  /// Retries on another upstream if the current one has been silent for too long.
  void RetryIfSilent(time_point now);

  admitted_request request_;
  double admission_draw_ = 0;  // uniform in [0, 1)
  relay_context& context_;
  relay_listener& listener_;
  answer_sink* sink_;  // null: the answer is complete, or the caller has disconnected
  state state_ = state::kWaiting;
  std::optional<attempt> attempt_;
  std::set<std::string> tried_upstreams_;
  link_list answered_links_;         // of attempts that were refused
  std::uint32_t sent_attempts_ = 0;  // attempts that were started
  std::uint32_t possible_runs_ = 0;  // attempts that may have run
  bool is_denial_logged_ = false;    // a denial by the retry budget is logged only once
  bool head_sent_ = false;
  event_splitter splitter_;
  time_point first_event_time_ = time_point::min();  // min: no event was forwarded yet
  std::string last_upstream_;                        // of the most recent attempt
  std::uint32_t last_upstream_load_ = 0;
  std::uint64_t last_link_ = 0;         // serial number
  std::uint32_t last_link_use_ = 0;     // 1: the attempt opened the connection
  bool is_last_answer_tagged_ = false;  // with the id of the request
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_RELAYED_REQUEST_H_
