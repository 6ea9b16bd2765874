#ifndef TESTS_PROCESS_AGENT_AGENT_HARNESS_H_
#define TESTS_PROCESS_AGENT_AGENT_HARNESS_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "berylbarrow/process/agent/agent_core.h"

namespace berylbarrow {

constexpr std::uint64_t kAgentIncarnation = 0xa9;
constexpr std::uint64_t kEntryIncarnation = 0xe1;
constexpr std::uint32_t kColdLimit = 1;
constexpr std::uint32_t kWarmLimit = 4;

/// One service "pay" with the upstream "pay-1" in the failure domain "a", whose text "out" takes
/// the domain out.
class agent_test_parser final : public configuration_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view /*file*/) const override {
    configuration document;
    document.domains = {{.name = "a"}};
    document.entries = {{.name = "entry-1", .domain = "a", .peer_address = "entry-1:1"}};
    document.services = {{.name = "pay",
                          .resumes_streams = true,
                          .upstreams = {{.name = "pay-1", .domain = "a"}},
                          .cold_start = {.limit = kColdLimit, .step_completions = 2},
                          .limits = {.in_flight = kWarmLimit, .queue = 4}}};
    if (text == "out") {
      document.domains[0].state = service_state::kOut;
    }
    return document;
  }
};

/// An agent core with a clock, and what it put out.
struct agent_harness {
  manual_clock clock;
  agent_test_parser parser;
  agent_core core;
  std::vector<agent_output> outputs;
  std::uint64_t heartbeats = 0;

  explicit agent_harness(
      const process_limits& limits = {},
      std::unique_ptr<key_policy> policy = std::make_unique<grant_key_policy>(),
      std::unique_ptr<admission_limit> limit = std::make_unique<cold_start_limit>())
      : core({.identity = {.name = "pay-1",
                           .role = process_role::kAgent,
                           .domain = "a",
                           .incarnation = kAgentIncarnation},
              .service = "pay",
              .limits = limits,
              .seeds = {"seed:1"}},
             parser, std::move(policy), std::move(limit)) {}

  moment At() const { return {clock.Now(), clock.WallNow()}; }
  void Input(const agent_input& input) { core.Handle(input, At(), outputs); }
  void Receive(connection_id connection, peer_message message) {
    Input(peer_received{.connection = connection, .message = std::move(message)});
  }
  void Open(connection_id connection) {
    Input(
        peer_opened{.connection = connection,
                    .greeting = {.sender = {.name = "entry-1", .incarnation = kEntryIncarnation}}});
  }
  /// Advances in steps short enough not to look like a pause, with a sign of life from the entry.
  void Advance(duration time) {
    constexpr duration kStep = std::chrono::milliseconds(250);
    while (time > duration::zero()) {
      const duration step = std::min(time, kStep);
      clock.Advance(step);
      time -= step;
      Beat({});
      core.Advance(At(), outputs);
    }
  }
  void Beat(const std::vector<suspect_report>& suspects) {
    Input(heartbeat_received{
        .from = "entry-1:9",
        .content = {.sender = {.name = "entry-1", .incarnation = kEntryIncarnation},
                    .sequence = ++heartbeats,
                    .suspects = suspects}});
  }
  void Serve() {
    core.Advance(At(), outputs);
    Input(document_received{.number = 1, .text = "first"});
    Open(1);
  }
  void Complete(execution_id execution, const std::string& bytes) {
    Input(upstream_head{.execution = execution, .status = 200, .content_type = "text/plain"});
    Input(upstream_part{.execution = execution, .bytes = bytes});
    Input(upstream_end{.execution = execution});
  }

  /// The outputs of one type so far.
  template <typename Output>
  std::vector<Output> All() const {
    std::vector<Output> found;
    for (const agent_output& output : outputs) {
      if (const auto* item = std::get_if<Output>(&output)) {
        found.push_back(*item);
      }
    }
    return found;
  }
  /// The messages of one type sent on a connection so far.
  template <typename Message>
  std::vector<Message> Sent(connection_id connection) const {
    std::vector<Message> found;
    for (const peer_send& send : All<peer_send>()) {
      const auto* item = std::get_if<Message>(&send.message);
      if (item != nullptr && send.connection == connection) {
        found.push_back(*item);
      }
    }
    return found;
  }
};

inline dispatch TestWork(std::uint64_t sequence) {
  return {.id = {.sender = kEntryIncarnation, .sequence = sequence},
          .service = "pay",
          .account = "solano",
          .fingerprint = sequence,
          .sender_revision = 1,
          .remaining = std::chrono::seconds(20),
          .request = {.method = "POST", .target = "/pay", .body = "body"}};
}

inline std::string TestKey(std::uint64_t epoch, const std::string& nonce) {
  return FormatGrantKey({.permission = {"pay-1", kAgentIncarnation, epoch}, .nonce = nonce});
}

inline dispatch TestPayment(std::uint64_t sequence, const std::string& nonce,
                            std::uint64_t epoch = 1) {
  dispatch work = TestWork(sequence);
  work.idempotent = false;
  work.idempotency_key = TestKey(epoch, nonce);
  return work;
}

}  // namespace berylbarrow

#endif  // TESTS_PROCESS_AGENT_AGENT_HARNESS_H_
