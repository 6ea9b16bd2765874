#ifndef BERYLBARROW_TESTS_PROCESS_ENTRY_ENTRY_FIXTURE_H_
#define BERYLBARROW_TESTS_PROCESS_ENTRY_ENTRY_FIXTURE_H_

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "berylbarrow/process/entry/entry_core.h"

namespace berylbarrow {

constexpr std::uint64_t kEntryIncarnation = 0xe1;

/// Two failure domains, each with an entry, drafting upstreams and a payment upstream. The text is
/// a list of words: "a-out" and "b-out" take a domain out, "no-p-2" removes an upstream, "many"
/// adds entries and lets two entries serve each service, of which entry-1 is none.
class entry_test_parser final : public configuration_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view /*file*/) const override {
    const auto has = [text](std::string_view word) {
      return text.find(word) != std::string_view::npos;
    };
    configuration document;
    document.domains = {{.name = "a"}, {.name = "b"}};
    document.domains[0].state = has("a-out") ? service_state::kOut : service_state::kIn;
    document.domains[1].state = has("b-out") ? service_state::kOut : service_state::kIn;
    document.entries = {
        {.name = "entry-1", .domain = "a", .caller_address = "c1", .peer_address = "e1"},
        {.name = "entry-2", .domain = "b", .caller_address = "c2", .peer_address = "e2"}};
    for (int i = 0; has("many") && i < 10; ++i) {
      const std::string number = std::to_string(i);
      document.entries.push_back({.name = "more-" + number,
                                  .domain = "a",
                                  .caller_address = "m" + number,
                                  .peer_address = "em" + number});
      document.entries_per_service = 2;
    }
    document.services = {{.name = "drafting",
                          .kind = service_kind::kModel,
                          .resumes_streams = true,
                          .model = "m",
                          .operations = {{.method = "POST", .path = "/v1/completions"}},
                          .upstreams = {{.name = "d-1", .domain = "a", .agent_address = "d-1:1"},
                                        {.name = "d-2", .domain = "b", .agent_address = "d-2:1"},
                                        {.name = "d-3", .domain = "b", .agent_address = "d-3:1"}}},
                         {.name = "payments",
                          .operations = {{.method = "POST", .path = "/pay", .idempotent = false},
                                         {.method = "GET", .path = "/status"}},
                          .upstreams = {{.name = "p-1", .domain = "a", .agent_address = "p-1:1"},
                                        {.name = "p-2", .domain = "b", .agent_address = "p-2:1"}}}};
    if (has("no-p-2")) {
      document.services[1].upstreams.pop_back();
    }
    document.accounts = {{.name = "acme"}, {.name = "big", .weight = 3}};
    return document;
  }
};

/// One entry core with a clock that the test advances, and the outputs since the last Take.
struct entry_fixture {
  manual_clock clock;
  entry_test_parser parser;
  std::unique_ptr<entry_decisions> core;
  std::vector<entry_output> outputs;
  std::uint64_t sequence = 0;

  static entry_core_options Options() {
    return {.identity = {.name = "entry-1",
                         .domain = "a",
                         .incarnation = kEntryIncarnation,
                         .generation = 1},
            .seeds = {"seed:1"},
            .seed = 7};
  }

  entry_fixture() : core(MakeEntryCore(Options(), parser)) {}

  moment At() const { return {clock.Now(), clock.WallNow()}; }
  void Input(const entry_input& input) { core->Handle(input, At(), outputs); }

  /// Advances in steps that do not look like a pause.
  void Wait(duration time) {
    const duration step = std::chrono::milliseconds(10);
    for (duration passed{}; passed < time; passed += step) {
      clock.Advance(step);
      core->Advance(At(), outputs);
    }
  }

  static process_identity Agent(const std::string& name, std::uint64_t run) {
    return {.name = name, .role = process_role::kAgent, .incarnation = run, .generation = run};
  }

  void Open(const std::string& agent, connection_id connection, std::uint64_t run = 1) {
    Input(peer_opened{.connection = connection, .greeting = {.sender = Agent(agent, run)}});
  }

  void Beat(const std::string& agent, std::uint64_t run = 1,
            process_state state = process_state::kServing) {
    Input(heartbeat_received{.from = agent,
                             .content = {.sender = Agent(agent, run),
                                         .sequence = ++sequence,
                                         .state = state,
                                         .load = {.limit = 4, .warm = true},
                                         .grant_epoch = 5}});
  }

  void Document(revision number, const std::string& text) {
    Input(document_received{.number = number, .text = text});
  }

  /// A document in force; all agents connected (10 to 50 in order of name) and serving.
  void Start() {
    core->Advance(At(), outputs);
    Document(1, "first");
    connection_id connection = 0;
    for (const char* agent : {"d-1", "d-2", "d-3", "p-1", "p-2"}) {
      Open(agent, connection += 10);
      Beat(agent);
    }
    outputs.clear();
  }

  void Receive(connection_id connection, const peer_message& message) {
    Input(peer_received{.connection = connection, .message = message});
  }

  void Draft(caller_id caller, const std::string& account = "acme") {
    Input(caller_request{.caller = caller,
                         .request = {.method = "POST", .target = "/v1/completions", .body = "{}"},
                         .account = account,
                         .model = "m"});
  }

  void Pay(caller_id caller, const std::string& key, std::uint32_t attempt) {
    Input(caller_request{.caller = caller,
                         .request = {.method = "POST", .target = "/pay/fee", .body = "5"},
                         .account = "acme",
                         .service = "payments",
                         .idempotency_key = key,
                         .attempt = attempt});
  }

  /// Removes and returns the outputs of one type.
  template <typename Output>
  std::vector<Output> Take() {
    std::vector<Output> taken;
    std::erase_if(outputs, [&taken](const entry_output& output) {
      const auto* match = std::get_if<Output>(&output);
      if (match != nullptr) {
        taken.push_back(*match);
      }
      return match != nullptr;
    });
    return taken;
  }

  /// Removes and returns the messages of one type to agents, with their connection.
  template <typename Message>
  std::vector<std::pair<connection_id, Message>> Sent() {
    std::vector<std::pair<connection_id, Message>> sent;
    std::erase_if(outputs, [&sent](const entry_output& output) {
      const auto* send = std::get_if<peer_send>(&output);
      const auto* match = send == nullptr ? nullptr : std::get_if<Message>(&send->message);
      if (match != nullptr) {
        sent.emplace_back(send->connection, *match);
      }
      return match != nullptr;
    });
    return sent;
  }
};

inline std::string HeaderOf(const caller_reply& reply, const std::string& name) {
  for (const reply_header& header : reply.headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return {};
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_PROCESS_ENTRY_ENTRY_FIXTURE_H_
