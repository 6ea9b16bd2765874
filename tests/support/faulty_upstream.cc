#include "support/faulty_upstream.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

constexpr milliseconds kWorkTime{15};
constexpr milliseconds kEventInterval{8};
constexpr int kEvents = 4;
constexpr const char* kIdField = "Request-Attempt-Id: ";
constexpr const char* kNotRunField = "Not-Executed: 1\r\n";

std::string MakeEvent(const std::string& attempt_id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + attempt_id + "\n\n";
}

std::string MakeChunk(const std::string& bytes) {
  std::array<char, 16> digits{};
  char* const end =
      std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
  return std::string(digits.data(), end) + "\r\n" + bytes + "\r\n";
}

std::string MakeHead(unsigned status, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + fields;
}

bool IsStream(const http_head& head) {
  return head.target.starts_with("/note/") || head.target.starts_with("/draft/");
}

}  // namespace

std::string ExpectedBody(const std::string& attempt_id) { return "done " + attempt_id; }

std::string ExpectedEvents(const std::string& attempt_id) {
  std::string events;
  for (int i = 1; i <= kEvents; ++i) events += MakeEvent(attempt_id, i);
  return events;
}

faulty_upstream::faulty_upstream(std::string id, request_ledger& ledger, std::uint64_t seed)
    : ledger_(ledger),
      id_(std::move(id)),
      random_(seed),
      server_([this](loopback_stream& stream) { Serve(stream); }) {}

faulty_upstream::~faulty_upstream() { server_.Stop(); }

std::string faulty_upstream::Id() const {
  const std::lock_guard lock(mutex_);
  return id_;
}

void faulty_upstream::SetFaults(fault_shares faults) {
  const std::lock_guard lock(mutex_);
  faults_ = std::move(faults);
}

void faulty_upstream::FillUp(milliseconds time) { full_until_ = steady_clock::now() + time; }

void faulty_upstream::Pause(milliseconds time) { paused_until_ = steady_clock::now() + time; }

void faulty_upstream::Replace(const std::string& id) {
  {
    const std::lock_guard lock(mutex_);
    id_ = id;
  }
  EndConnections();
}

bool faulty_upstream::Occurs(upstream_fault fault) {
  const std::lock_guard lock(mutex_);
  const auto share = faults_.find(fault);
  return share != faults_.end() && std::bernoulli_distribution(share->second)(random_);
}

std::size_t faulty_upstream::Random(std::size_t below) {
  const std::lock_guard lock(mutex_);
  return std::uniform_int_distribution<std::size_t>(0, below - 1)(random_);
}

milliseconds faulty_upstream::RandomTime(std::size_t max_ms) {
  return milliseconds(1 + Random(max_ms));
}

void faulty_upstream::Wait(milliseconds time) {
  auto until = steady_clock::now() + time;
  while (!server_.IsStopping()) {
    until = std::max(until, paused_until_.load());
    const auto now = steady_clock::now();
    if (now >= until) return;
    std::this_thread::sleep_for(std::min<steady_clock::duration>(until - now, milliseconds(20)));
  }
}

void faulty_upstream::Serve(loopback_stream& stream) {
  const std::string connection = std::to_string(++connections_);
  std::string pending_copy;
  while (const auto request = stream.ReadRequest(std::chrono::minutes(5))) {
    Wait(milliseconds(0));
    exchange current{.stream = stream,
                     .request = *request,
                     .attempt_id = std::string(request->head.Find("Request-Attempt-Id")),
                     .pending_copy = std::exchange(pending_copy, "")};
    if (!current.pending_copy.empty()) {
      ledger_.Note(current.attempt_id, Id() + "/" + connection + " sends a copy first: " +
                                           current.pending_copy.substr(0, 160));
      if (!stream.Send(std::exchange(current.pending_copy, ""))) return;
    }
    ledger_.Note(current.attempt_id, Id() + "/" + connection + " reads it");
    if (!HandleRequest(current)) return;
    pending_copy = std::move(current.pending_copy);
  }
}

bool faulty_upstream::HandleRequest(exchange& current) {
  if (current.request.head.Find("Expect-Replica") != Id()) return Refuse(current, 421);
  if (Occurs(upstream_fault::kMisdirection)) return Refuse(current, 421);
  if (steady_clock::now() < full_until_.load()) return Refuse(current, 503);
  if (Occurs(upstream_fault::kRefusal)) return Refuse(current, Random(4) == 0 ? 429 : 503);
  if (Occurs(upstream_fault::kDelayedRun)) Wait(RandomTime(3000));
  // Most upstreams drop a request when its connection has ended before they begin it.
  if (current.stream.IsEnded() && Random(4) != 0) return false;
  return Run(current);
}

bool faulty_upstream::Refuse(exchange& current, unsigned status) {
  ledger_.Note(current.attempt_id, "not run, " + std::to_string(status));
  return SendAnswer(current, status, kNotRunField, "");
}

bool faulty_upstream::Run(exchange& current) {
  ledger_.OnRun(current.attempt_id, current.request.body, Id());
  Wait(kWorkTime);
  if (Occurs(upstream_fault::kDelay)) Wait(RandomTime(3000));
  constexpr std::array kFailures{upstream_fault::kPromiseAfterRun, upstream_fault::kFailureAfterRun,
                                 upstream_fault::kLostAnswer, upstream_fault::kTruncation,
                                 upstream_fault::kGarbage};
  for (const upstream_fault failure : kFailures) {
    if (Occurs(failure)) return FailAfterRun(current, failure);
  }
  if (IsStream(current.request.head)) return SendStream(current);
  return SendAnswer(current, 200, "Replica-Signature: s\r\n", ExpectedBody(current.attempt_id));
}

bool faulty_upstream::FailAfterRun(exchange& current, upstream_fault failure) {
  const std::string id_field = kIdField + current.attempt_id + "\r\n";
  switch (failure) {
    case upstream_fault::kPromiseAfterRun: {
      constexpr std::array<unsigned, 3> kStatuses{503, 429, 408};
      return SendAnswer(current, kStatuses.at(Random(3)), "Replica-Signature: s\r\n", "");
    }
    case upstream_fault::kFailureAfterRun:
      return SendAnswer(current, Random(2) == 0 ? 500 : 504, "Replica-Signature: s\r\n", "");
    case upstream_fault::kTruncation:
      current.stream.Send(
          MakeHead(200, id_field + "Replica-Signature: s\r\nContent-Length: 900\r\n") + "\r\ndone");
      return false;
    case upstream_fault::kGarbage:
      current.stream.Send("\x01\x02 this is not HTTP\r\n\r\n");
      return Random(2) == 0;
    default:
      break;
  }
  const std::size_t way = Random(3);
  if (way == 0) current.stream.Reset();
  if (way == 1) Wait(milliseconds(4000));  // silent
  return false;
}

bool faulty_upstream::SendStream(exchange& current) {
  int next = 1;
  const std::string_view last = current.request.head.Find("Last-Event-Id");
  std::from_chars(last.data(), last.data() + last.size(), next);
  if (!last.empty()) ++next;
  const std::string head =
      MakeHead(200, kIdField + current.attempt_id +
                        "\r\nReplica-Signature: s\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n");
  if (!current.stream.Send(head + "\r\n")) return false;
  for (; next <= kEvents; ++next) {
    Wait(kEventInterval);
    if (!current.stream.Send(MakeChunk(MakeEvent(current.attempt_id, next)))) return false;
  }
  return current.stream.Send("0\r\n\r\n");
}

bool faulty_upstream::SendAnswer(exchange& current, unsigned status, const std::string& fields,
                                 const std::string& body) {
  const std::string id_field = kIdField + current.attempt_id + "\r\n";
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string untagged = MakeHead(status, fields + length) + "\r\n" + body;
  // Upstreams differ in the order of the fields.
  const std::string tagged = Random(2) == 0
                                 ? MakeHead(status, id_field + fields + length) + "\r\n" + body
                                 : MakeHead(status, fields + length + id_field) + "\r\n" + body;
  if (Occurs(upstream_fault::kUntaggedAnswer)) return current.stream.Send(untagged);
  if (!current.stream.Send(tagged)) return false;
  if (Occurs(upstream_fault::kEarlyCopy)) {
    std::this_thread::sleep_for(RandomTime(5));
    return current.stream.Send(Random(2) == 0 ? tagged : untagged);
  }
  if (Occurs(upstream_fault::kTaggedCopy)) current.pending_copy = tagged;
  if (Occurs(upstream_fault::kUntaggedCopy)) current.pending_copy = untagged;
  if (Occurs(upstream_fault::kTornCopy)) {
    current.pending_copy = tagged.substr(0, 1 + Random(tagged.find("\r\n\r\n")));
  }
  return true;
}

}  // namespace berylbarrow
