#include "berylbarrow/process/settings/settings.h"

#include <boost/test/unit_test.hpp>

#include "support/text_edit.h"

namespace berylbarrow {
namespace {

// Line numbers of the expectations below refer to these texts; their first line is line 1.
const std::string kEntry = R"(process: {name: entry-1, domain: north}
listen:
  callers: 0.0.0.0:7001
  tls: {certificate: chain.pem, private_key: key.pem}
  peers: 127.0.0.1:7101
  operators: 127.0.0.1:7901
platform:
  configuration_service: 127.0.0.1:7800
  instance_list: 127.0.0.1:7801
seeds: ["127.0.0.1:7102", "127.0.0.1:7103"]
limits:
  max_connections: 10
  max_requests: 11
  max_executions: 12
  max_request_bytes: 2000000
  max_answer_bytes: 3000000
  max_buffered_bytes: 4000000
  ring_capacity: 13
  max_frame_bytes: 5000000
log:
  level: warning
  format: json
  modules: {routing: debug}
)";

const std::string kAgent = R"(process: {name: draft-1, domain: north}
listen: {peers: "127.0.0.1:7201", operators: "127.0.0.1:7902"}
platform: {configuration_service: "127.0.0.1:7800", instance_list: "127.0.0.1:7801"}
upstream: {address: "127.0.0.1:8000", service: drafting}
)";

checked<process_settings> ParseEntry(const std::string& text) {
  return ParseSettings(process_role::kEntry, text, "file.yaml");
}

checked<process_settings> ParseAgent(const std::string& text) {
  return ParseSettings(process_role::kAgent, text, "file.yaml");
}

// Guards against keys that are accepted but not stored.
BOOST_AUTO_TEST_CASE(ValidSettingsFillEveryField) {
  const auto entry = ParseEntry(kEntry);
  BOOST_TEST_REQUIRE(Lines(entry) == std::vector<std::string>{}, boost::test_tools::per_element());
  const process_settings expected_entry{
      .role = process_role::kEntry,
      .name = "entry-1",
      .domain = "north",
      .callers_address = "0.0.0.0:7001",
      .tls_certificate = "chain.pem",
      .tls_private_key = "key.pem",
      .peers_address = "127.0.0.1:7101",
      .operators_address = "127.0.0.1:7901",
      .configuration_service = "127.0.0.1:7800",
      .instance_list = "127.0.0.1:7801",
      .upstream_address = "",
      .service = "",
      .seeds = {"127.0.0.1:7102", "127.0.0.1:7103"},
      .limits = {10, 11, 12, 2'000'000, 3'000'000, 4'000'000, 13, 5'000'000},
      .log = {log_level::kWarning, log_format::kJson, {{"routing", log_level::kDebug}}}};
  BOOST_TEST((entry.value() == expected_entry));
  const auto agent = ParseAgent(kAgent);
  BOOST_TEST_REQUIRE(Lines(agent) == std::vector<std::string>{}, boost::test_tools::per_element());
  BOOST_TEST((agent.value().role == process_role::kAgent));
  BOOST_TEST(agent.value().upstream_address == "127.0.0.1:8000");
  BOOST_TEST(agent.value().service == "drafting");
  BOOST_TEST((agent.value().limits == process_limits{}));
}

// Guards against a process that starts with settings it cannot use.
BOOST_AUTO_TEST_CASE(EntryFindings) {
  const char* const cases = R"(
log: => lock: => 20:1: the settings file has an unknown key "lock"
, domain: north =>  => 1:10: process has no key "domain"
  callers: 0.0.0.0:7001\n =>  => 3:3: listen has no key "callers"
7901 => 7101 => 6:14: listen has operators "127.0.0.1:7101", which is already used by listen on line 5
, private_key: key.pem =>  => 4:8: listen: tls has no key "private_key"
chain.pem => "" => 4:22: listen: tls has certificate "", which is empty
key.pem => "" => 4:46: listen: tls has private_key "", which is empty
  instance_list: 127.0.0.1:7801\n =>  => 8:3: platform has no key "instance_list"
127.0.0.1:7800 => config:7800 => 8:26: platform has configuration_service "config:7800", which is not an IP address and port such as 10.0.0.1:7000
"127.0.0.1:7102" => here => 10:9: the settings file has the item "here" in seeds, which is not an IP address and port such as 10.0.0.1:7000
7103 => 7102 => 10:27: the settings file has "127.0.0.1:7102" twice in seeds
ring_capacity: 13 => ring_capacity: 1 => 18:18: limits has ring_capacity 1, which is outside 2 to 1048576
3000000 => 4000001 => 16:21: limits has max_answer_bytes 4000001, which is above max_buffered_bytes 4000000
2000000 => 4990000 => 15:22: limits has max_request_bytes 4990000, which must be at least 65536 below max_frame_bytes 5000000
level: warning => level: loud => 21:10: log has level "loud", which is not debug, info, warning or error
routing: debug => routing: loud => 23:22: log: modules has routing "loud", which is not debug, info, warning or error
log: => upstream: {}\nlog: => 20:11: the settings file has the key "upstream", which only agents have
log:\n => log: [\n => 22:9: malformed YAML: end of sequence flow not found
)";
  CheckEdits(kEntry, ReadCases(cases), ParseEntry);
}

BOOST_AUTO_TEST_CASE(AgentFindings) {
  const char* const cases = R"(
upstream: {address: "127.0.0.1:8000", service: drafting}\n =>  => 1:1: the settings file has no key "upstream"
, service: drafting =>  => 4:11: upstream has no key "service"
listen: { => listen: {callers: "127.0.0.1:1",  => 2:19: listen has the key "callers", which only entries have
)";
  CheckEdits(kAgent, ReadCases(cases), ParseAgent);
}

}  // namespace
}  // namespace berylbarrow
