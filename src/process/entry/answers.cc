#include <algorithm>
#include <limits>

#include "process/entry/requests.h"

namespace berylbarrow {

std::pair<entry_request*, request_attempt*> entry_requests::Locate(connection_id connection,
                                                                   const request_id& id) {
  const auto place = attempts_.find(id.sequence);
  if (id.sender != context_.options.identity.incarnation || place == attempts_.end()) {
    return {nullptr, nullptr};
  }
  entry_request& request = *Find(place->second);
  const auto attempt = std::find_if(request.attempts.begin(), request.attempts.end(),
                                    [&id](const request_attempt& item) { return item.id == id; });
  // After a reconnection the answer is asked for again, so what the old one still brings is of no
  // use.
  if (attempt == request.attempts.end() || attempt->connection != connection) {
    return {nullptr, nullptr};
  }
  return {&request, &*attempt};
}

void entry_requests::OnLoad(const request_attempt* attempt, const upstream_load& load) {
  if (attempt != nullptr) {
    context_.fleet.Members().OnLoad(attempt->run.name, load, context_.Now());
    peers_.OnLoad(attempt->run.name);
  }
}

void entry_requests::OnHead(connection_id connection, const answer_head& head) {
  const auto [request, attempt] = Locate(connection, head.id);
  OnLoad(attempt, head.load);
  if (request == nullptr || attempt != request->Current() ||
      attempt->state != attempt_state::kActive) {
    ++context_.counters.parts_dropped;
    return;
  }
  const bool differs =
      request->HasBegun() && (request->sent_head->status != head.status ||
                              request->sent_head->content_type != head.content_type);
  if (differs) {
    // Another upstream answers in another way; its bytes do not continue the answer.
    Refuse(*request, {.status = 502, .code = "answer-changed"});
    return;
  }
  request->head = head;
}

void entry_requests::OnPart(connection_id connection, const answer_part& part) {
  peers_.OnSuspects(part.suspects);
  const auto [request, attempt] = Locate(connection, part.id);
  if (part.end != answer_end::kMore) {
    OnLoad(attempt, part.load);
  }
  const bool is_current = request != nullptr && attempt == request->Current() &&
                          attempt->state == attempt_state::kActive;
  const std::uint64_t most = std::numeric_limits<std::uint64_t>::max() - part.bytes.size();
  if (!is_current || part.offset > most) {
    ++context_.counters.parts_dropped;
    return;
  }
  // An upstream that dies before it answers leaves an end without a head.
  const bool is_headless_end = !request->head && part.end == answer_end::kBroken &&
                               part.bytes.empty() && part.offset == request->received;
  if (is_headless_end) {
    Acknowledge(*request, true);
    Lose(*request, attempt_loss::kGone);
    return;
  }
  if (!request->head || part.offset > request->received) {
    ++context_.counters.parts_dropped;
    ScheduleResend(*request);
    return;
  }
  const std::uint64_t end = part.offset + part.bytes.size();
  const std::uint64_t known = request->received - part.offset;
  context_.counters.parts_dropped += known > 0 ? 1 : 0;
  if (end < request->received) {
    if (part.end == answer_end::kComplete) {
      Refuse(*request, {.status = 502, .code = "answer-changed"});
    }
    return;
  }
  SendHead(*request);
  if (end > request->received) {
    context_.Emit(caller_part{.caller = request->input.caller,
                              .bytes = known == 0 ? part.bytes : part.bytes.substr(known)});
    request->received = end;
  }
  if (part.end == answer_end::kComplete) {
    Acknowledge(*request, true);
    context_.Emit(caller_end{.caller = request->input.caller, .complete = true});
    Finish(*request, request_outcome::kComplete);
    return;
  }
  if (part.end == answer_end::kBroken) {
    Acknowledge(*request, true);
    Lose(*request, attempt_loss::kGone);
    return;
  }
  if (request->received - request->acknowledged >= context_.options.acknowledge_bytes) {
    Acknowledge(*request, false);
  }
}

void entry_requests::SendHead(entry_request& request) {
  if (request.HasBegun()) {
    return;
  }
  // The head waits for the first bytes: until then the request can go to another agent.
  request.sent_head = request.head;
  request.first_byte = context_.Now() - request.arrived;
  context_.Emit(
      caller_head{.caller = request.input.caller,
                  .status = request.head->status,
                  .headers = {{"Berylbarrow-Request-Id", FormatRequestId(request.Current()->id)}},
                  .content_type = request.head->content_type});
}

void entry_requests::Acknowledge(entry_request& request, bool finished) {
  const request_attempt& attempt = *request.Current();
  request.acknowledged = request.received;
  context_.Emit(peer_send{.connection = attempt.connection,
                          .message = acknowledgement{
                              .id = attempt.id, .offset = request.received, .finished = finished}});
}

void entry_requests::ScheduleResend(entry_request& request) {
  if (request.resend_at) {
    return;
  }
  // The parts that follow a gap arrive together; one dispatch is enough for all of them.
  request.resend_at =
      std::max(context_.Now(), request.last_dispatch + context_.options.resend_interval);
  UpdateDue(request);
}

void entry_requests::OnRefusal(connection_id connection, const refusal& content) {
  peers_.OnSuspects(content.suspects);
  const auto [request, attempt] = Locate(connection, content.id);
  if (request == nullptr || attempt->state == attempt_state::kNotRun) {
    ++context_.counters.unexpected_messages;
    return;
  }
  OnLoad(attempt, content.load);
  const bool is_current = attempt == request->Current();
  const bool has_answered = is_current && request->head.has_value();
  const bool is_not_run = content.certainty == run_certainty::kNotRun && !has_answered;
  attempt->state = is_not_run ? attempt_state::kNotRun : attempt_state::kInDoubt;
  if (!is_current) {
    return;
  }
  request->last_refusal = ReplyOf(content);
  if (request->idempotent && IsRetryable(content.reason)) {
    Lose(*request, attempt_loss::kRefused);
    return;
  }
  Refuse(*request, *request->last_refusal);
}

}  // namespace berylbarrow
