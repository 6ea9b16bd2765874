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

/// A request that passed the checks of its configuration.
struct admitted_request {
  queued_request_id id = 0;
  http_head head;
  std::string body;
  caller_facts facts;
  std::shared_ptr<const routing_view> view;  // keeps the route alive
  const route* matched_route = nullptr;
  std::string service;
  std::string account;
  std::uint32_t priority = 5;
  time_point arrival;
  time_point deadline;  // of the caller or the route, whichever is first
  std::uint64_t fingerprint = 0;
};

/// A request that is sent later misses its latency objective.
time_point LatestOnTimeDispatch(const admitted_request& request);

/// Relays one request: chooses upstreams, sends it, repeats what may be repeated, resumes streams,
/// and gives the caller one final answer.
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

  /// Sends the request if there is a place for it. Otherwise it waits, and this is called again.
  dispatch_obstacle TryDispatch(time_point now);
  /// Refuses a request that has not been sent. `obstacle` is why.
  void Refuse(std::string_view reason, duration retry_after);
  /// Checks the deadline and the silence of the upstream.
  void CheckTimeouts(time_point now);

  void OnCallerGone() override;
  bool OnAnswerHead(const http_head& head) override;
  void OnAnswerBody(std::string& body) override;
  void OnAnswerEnd(const http_head& head, std::string&& body) override;
  void OnLinkFailure(link_failure failure) override;

 private:
  enum class state : std::uint8_t { kWaiting, kSent, kStreaming, kDone };

  struct attempt {
    std::string upstream_id;
    std::shared_ptr<upstream_link> link;
    time_point sent;
    time_point heard;  // last sign of the upstream
    std::optional<time_point> last_event;
    reply_facts facts;
  };

  std::uint32_t Tokens() const;
  bool IsLate(time_point now) const;
  dispatch_choice Choose(time_point now);
  void Send(const dispatch_choice& choice, time_point now);
  void EndAttempt(attempt_outcome outcome, time_point now);
  void CancelAttempt(time_point now);
  void HandleNotRun(const http_head& head, time_point now);
  /// Sends the request once more if that is allowed; otherwise returns false.
  bool Retry(std::string_view reason, time_point now);
  bool HasBudget(time_point now);
  /// Puts a request that has not run back into the line; false if it has no time left for that.
  bool WaitAgain(const std::string& refused_by, time_point now);
  void HandleBroken(std::string_view reason, time_point now);
  void PassStreamPart(std::string& body, time_point now);
  void EndStream(time_point now);
  void DeliverAnswer(const http_head& head, std::string&& body);
  /// A stream whose head was sent can only be cut: returns whether it was.
  bool CutStream(std::string_view reason);
  void AnswerFailure(unsigned status, std::string_view reason);
  void Finish(std::string_view outcome, unsigned status);
  http_answer AnswerFor(const http_head& head) const;
  bool IsStreamAnswer(const http_head& head) const;
  void LogAttempt(std::string_view event, std::string_view reason) const;
  void CheckSilence(time_point now);

  admitted_request request_;
  relay_context& context_;
  relay_listener& listener_;
  answer_sink* sink_;
  state state_ = state::kWaiting;
  std::optional<attempt> attempt_;
  std::set<std::string> tried_;
  std::uint32_t sends_ = 0;
  std::uint32_t runs_ = 0;  // attempts that may have run
  bool denied_ = false;     // by the retry budget; logged once
  bool head_sent_ = false;
  event_splitter events_;
  time_point first_event_ = time_point::min();
  std::string last_upstream_;  // of the attempt that was sent last
  std::uint32_t last_load_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_RELAYED_REQUEST_H_
