#include "process/agent/agent_world.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

namespace berylbarrow {
namespace {

constexpr std::uint32_t kStepCompletions = 2;  // as in agent_test_parser
// An entry sends no copy after the time to live of the request (TestWork).
constexpr duration kTimeToLive = std::chrono::seconds(20);

/// The answer of an operation, the same in every run.
std::string AnswerBytes(const std::string& operation, std::uint64_t offset, std::size_t count) {
  std::string bytes;
  for (std::uint64_t i = offset; i < offset + count; ++i) {
    bytes.push_back(static_cast<char>('a' + (i * 7 + operation.size() + operation.back()) % 26));
  }
  return bytes;
}

}  // namespace

agent_world::agent_world(std::unique_ptr<key_policy> policy, std::unique_ptr<admission_limit> limit)
    : agent_({}, std::move(policy), std::move(limit)) {
  agent_.Serve();
  Input(upstream_report{.reachable = true, .instance = "1", .uptime = std::chrono::minutes(1)});
}

const std::vector<agent_world::event_kind>& agent_world::Events() {
  static const std::vector<event_kind> kEvents = {{20, &agent_world::NewRequest},
                                                  {4, &agent_world::SendCopy},
                                                  {4, &agent_world::SendSecondAttempt},
                                                  {3, &agent_world::Reconnect},
                                                  {1, &agent_world::CloseConnection},
                                                  {6, &agent_world::Produce},
                                                  {30, &agent_world::Complete},
                                                  {1, &agent_world::BreakOne},
                                                  {1, &agent_world::KillUpstream},
                                                  {2, &agent_world::RestartUpstream},
                                                  {4, &agent_world::Publish},
                                                  {1, &agent_world::Pause},
                                                  {3, &agent_world::AnswerRefresh},
                                                  {6, &agent_world::Acknowledge},
                                                  {2, &agent_world::Cancel},
                                                  {13, &agent_world::PassTime},
                                                  {1, &agent_world::ShutDown}};
  return kEvents;
}

std::uint32_t agent_world::Kinds() {
  std::uint32_t sum = 0;
  for (const event_kind& event : Events()) {
    sum += event.weight;
  }
  return sum;
}

void agent_world::Run(const std::vector<schedule_step>& schedule) {
  for (const schedule_step& step : schedule) {
    auto event = Events().begin();
    for (std::uint32_t kind = step.kind; kind >= event->weight; ++event) {
      kind -= event->weight;
    }
    (this->*event->action)(step.choice);
  }
}

std::map<std::string, std::uint64_t> agent_world::Counters() {
  agent_.Input(operator_query{.kind = operator_query_kind::kMetrics});
  std::istringstream text(agent_.All<operator_reply>().back().body);
  std::map<std::string, std::uint64_t> counters;
  std::string name;
  std::uint64_t value = 0;
  while (text >> name >> value) {
    counters[name] = value;
  }
  return counters;
}

void agent_world::Input(const agent_input& input) {
  agent_.Input(input);
  Observe();
}

std::string agent_world::OperationOf(const request_id& id) const {
  const dispatch& work = requests_.at(id).work;
  return work.idempotent ? "request " + std::to_string(id.sequence) : work.idempotency_key;
}

void agent_world::Send(waiting_request& request) {
  if (!is_connected_) {
    connection_ += 1;
    is_connected_ = true;
    agent_.Open(connection_);
    Observe();
  }
  request.connection = connection_;
  request.work.answer_offset = request.received;
  request.acknowledged = request.received;
  request.work.sender_revision = revision_;
  agent_.Receive(connection_, request.work);
  Observe();
}

void agent_world::NewRequest(std::uint32_t choice) {
  const std::uint64_t sequence = ++last_sequence_;
  const std::uint64_t epoch = agent_.core.State()["grant_epoch"];
  waiting_request request{.work = choice % 2 == 0
                                      ? TestWork(sequence)
                                      : TestPayment(sequence, std::to_string(sequence), epoch),
                          .sent_at = active_};
  request.work.account = choice % 3 == 0 ? "zebra" : "solano";
  request.work.priority = choice % 4;
  request.work.fingerprint = 1 + choice % 50;
  const request_id id = request.work.id;
  if (is_leaving_) {
    after_end_.insert(id);
  }
  Send(requests_[id] = request);
}

agent_world::waiting_request* agent_world::Pick(std::uint32_t choice, std::size_t among) {
  if (requests_.empty()) {
    return nullptr;
  }
  const std::size_t back = choice % std::min(requests_.size(), among);
  return &std::prev(requests_.end(), static_cast<std::ptrdiff_t>(back) + 1)->second;
}

/// A duplicate of a message on the connection it was sent on, or on a later one.
void agent_world::SendCopy(std::uint32_t choice) {
  waiting_request* request = Pick(choice);
  if (request != nullptr && is_connected_ && active_ - request->sent_at < kTimeToLive) {
    agent_.Receive(request->connection, request->work);
    Observe();
  }
}

/// The caller gave up, and sends again through another request of the entry.
void agent_world::SendSecondAttempt(std::uint32_t choice) {
  const waiting_request* first = Pick(choice, choice % 2 == 0 ? kRecent : requests_.size());
  if (first == nullptr || first->work.idempotent) {
    return;
  }
  waiting_request second{.work = first->work, .sent_at = active_};
  second.work.id.sequence = ++last_sequence_;
  second.work.attempt = 2;
  Send(requests_[second.work.id] = second);
}

/// A new connection, while the old one may still look open; sends again what has no end.
void agent_world::Reconnect(std::uint32_t choice) {
  if (choice % 2 == 0) {
    CloseConnection(choice);
  }
  connection_ += 1;
  is_connected_ = true;
  agent_.Open(connection_);
  Observe();
  for (auto& [id, request] : requests_) {
    if (!request.is_ended && active_ - request.sent_at < kTimeToLive) {
      // Bytes in the buffers of the old connection are lost.
      request.received = choice % 3 == 0 ? request.acknowledged : request.received;
      Send(request);
    }
  }
}

void agent_world::CloseConnection(std::uint32_t /*choice*/) {
  if (is_connected_) {
    is_connected_ = false;
    Input(peer_closed{.connection = connection_});
  }
}

std::optional<execution_id> agent_world::PickRun(std::uint32_t choice) const {
  if (runs_.empty()) {
    return std::nullopt;
  }
  return std::next(runs_.begin(), static_cast<std::ptrdiff_t>(choice % runs_.size()))->first;
}

void agent_world::Produce(std::uint32_t choice) {
  const auto execution = PickRun(choice);
  if (!execution) {
    return;
  }
  upstream_run& run = runs_.at(*execution);
  if (!run.has_head) {
    run.has_head = true;
    Input(upstream_head{.execution = *execution, .status = 200});
  }
  const std::size_t count = 1 + choice % 40;
  const std::string bytes = AnswerBytes(run.operation, run.produced, count);
  run.produced += count;
  Input(upstream_part{.execution = *execution, .bytes = bytes});
}

void agent_world::Complete(std::uint32_t choice) {
  const auto execution = PickRun(choice);
  Produce(choice);
  // The core may have cancelled the run when it got the part.
  if (execution && runs_.contains(*execution)) {
    const upstream_run run = runs_.at(*execution);
    runs_.erase(*execution);
    warm_completions_ += run.counts_as_warmth ? 1 : 0;
    completed_[run.operation] = run.produced;
    Input(upstream_end{.execution = *execution});
  }
}

void agent_world::Cold() {
  warm_completions_ = 0;
  for (auto& [execution, run] : runs_) {
    run.counts_as_warmth = false;
  }
}

void agent_world::BreakOne(std::uint32_t choice) {
  if (const auto execution = PickRun(choice)) {
    cut_.insert(runs_.at(*execution).operation);
    runs_.erase(*execution);
    Cold();
    Input(upstream_end{.execution = *execution, .outcome = upstream_outcome::kBroken});
  }
}

void agent_world::KillUpstream(std::uint32_t /*choice*/) {
  is_up_ = false;
  while (!runs_.empty()) {
    BreakOne(0);
  }
  Input(upstream_report{.reachable = false});
}

void agent_world::RestartUpstream(std::uint32_t /*choice*/) {
  // Also without a death in between: the upstream turns cold under running work.
  Cold();
  is_up_ = true;
  Input(upstream_report{.reachable = true, .instance = std::to_string(++instance_)});
}

void agent_world::Publish(std::uint32_t choice) {
  ++revision_;
  is_out_ = choice % 4 == 0;
  Input(document_received{.number = revision_, .text = is_out_ ? "out" : "first"});
}

void agent_world::Pause(std::uint32_t choice) {
  agent_.clock.Advance(std::chrono::seconds(2 + choice % 400));
  is_stale_ = true;
  refresh_.reset();
}

void agent_world::PassTime(std::uint32_t choice) {
  if (choice % 2 == 0) {
    AnswerRefresh(choice);
  }
  const bool is_long = choice % 13 == 0;
  const duration time = is_long ? duration(std::chrono::seconds(10 + choice % 100))
                                : duration(std::chrono::milliseconds(10 + choice % 3000));
  agent_.Advance(time);
  active_ += time;
  Observe();
}

void agent_world::ShutDown(std::uint32_t choice) {
  if (choice % 4 == 0 || is_leaving_) {
    is_leaving_ = true;
    Input(shutdown_requested{});
  }
}

void agent_world::AnswerRefresh(std::uint32_t /*choice*/) {
  if (!refresh_) {
    agent_.core.Advance(agent_.At(), agent_.outputs);
    Observe();
  }
  if (refresh_) {
    const std::uint64_t nonce = *refresh_;
    refresh_.reset();
    is_stale_ = false;
    Input(document_received{.nonce = nonce});
  }
}

void agent_world::Acknowledge(std::uint32_t choice) {
  waiting_request* request = Pick(choice);
  if (request != nullptr && is_connected_) {
    request->acknowledged = request->received;
    agent_.Receive(connection_, acknowledgement{.id = request->work.id,
                                                .offset = request->received,
                                                .finished = request->is_ended});
    Observe();
  }
}

void agent_world::Cancel(std::uint32_t choice) {
  waiting_request* request = Pick(choice);
  if (request != nullptr && is_connected_ && !request->is_ended) {
    request->is_ended = true;
    agent_.Receive(connection_, cancel{.id = request->work.id});
    Observe();
  }
}

void agent_world::Observe() {
  while (observed_ < agent_.outputs.size()) {
    const agent_output output = agent_.outputs[observed_++];
    if (const auto* start = std::get_if<upstream_start>(&output)) {
      OnStart(*start);
    } else if (const auto* stop = std::get_if<upstream_cancel>(&output)) {
      cut_.insert(runs_.at(stop->execution).operation);
      runs_.erase(stop->execution);
      Input(upstream_end{.execution = stop->execution, .outcome = upstream_outcome::kBroken});
    } else if (const auto* send = std::get_if<peer_send>(&output)) {
      OnSend(*send);
    } else if (const auto* watch = std::get_if<configuration_watch>(&output)) {
      if (watch->mode == watch_mode::kRefresh) {
        refresh_ = watch->nonce;
      }
    }
  }
}

std::uint32_t agent_world::WarmthAllowed() const {
  return std::min(kWarmLimit, kColdLimit + warm_completions_ / kStepCompletions);
}

void agent_world::OnStart(const upstream_start& start) {
  upstream_run run{.id = start.id,
                   .operation = OperationOf(start.id),
                   .produced = start.resume_offset,
                   .counts_as_warmth = true};
  if (is_out_) {
    Fail(run.operation + " started in a drained domain");
  }
  if (is_stale_) {
    Fail(run.operation + " started with a stale view");
  }
  if (after_end_.contains(start.id)) {
    Fail(run.operation + " accepted after the shutdown");
  }
  if (!is_up_) {
    // The connection is refused before a byte is sent.
    Cold();
    Input(upstream_end{.execution = start.execution, .outcome = upstream_outcome::kNotSent});
    return;
  }
  runs_[start.execution] = run;
  OnRun(run);
}

void agent_world::OnRun(const upstream_run& run) {
  if (runs_.size() > WarmthAllowed() || runs_.size() > kWarmLimit) {
    Fail(std::to_string(runs_.size()) + " requests run at an upstream that bears " +
         std::to_string(WarmthAllowed()));
  }
  if (refused_.contains(run.operation)) {
    Fail(run.operation + " started after it was refused as not run");
  }
  const bool is_repeated = !started_.insert(run.operation).second;
  if (is_repeated && !requests_.at(run.id).work.idempotent) {
    Fail(run.operation + " started twice");
  }
}

void agent_world::OnSend(const peer_send& send) {
  if (const auto* part = std::get_if<answer_part>(&send.message)) {
    OnPart(*part, send.connection);
  } else if (const auto* message = std::get_if<refusal>(&send.message)) {
    OnRefusal(*message);
  }
}

void agent_world::OnPart(const answer_part& part, connection_id connection) {
  waiting_request& request = requests_.at(part.id);
  if (connection != request.connection || request.is_ended) {
    return;
  }
  const std::string operation = OperationOf(part.id);
  if (part.offset != request.received) {
    Fail(operation + " got a part at " + std::to_string(part.offset) + " instead of " +
         std::to_string(request.received));
  }
  if (part.bytes != AnswerBytes(operation, part.offset, part.bytes.size())) {
    Fail(operation + " got the bytes of another answer");
  }
  request.received = part.offset + part.bytes.size();
  request.is_ended = part.end != answer_end::kMore;
  if (part.end == answer_end::kComplete &&
      (!completed_.contains(operation) || completed_.at(operation) != request.received)) {
    Fail(operation + " ended at " + std::to_string(request.received) + " as if complete");
  }
  if (part.end == answer_end::kBroken && !cut_.contains(operation)) {
    Fail(operation + " was cut although its run was not");
  }
}

void agent_world::OnRefusal(const refusal& message) {
  requests_.at(message.id).is_ended = true;
  if (message.certainty != run_certainty::kNotRun) {
    return;
  }
  const std::string operation = OperationOf(message.id);
  refused_.insert(operation);
  if (started_.contains(operation)) {
    Fail(operation + " refused as not run after it was started");
  }
}

}  // namespace berylbarrow
