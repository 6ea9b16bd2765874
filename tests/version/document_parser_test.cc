#include "berylbarrow/version/configuration/document_parser.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <sstream>

#include "support/text_edit.h"

namespace berylbarrow {
namespace {

// Line numbers of the expectations below refer to this text; its first line is line 1.
const std::string kDocument = R"(domains:
  - {name: north, region: here}
  - {name: south, region: here, state: in}
  - {name: spare, region: here, state: out}
entries:
  - name: entry-1
    domain: north
    caller_address: 127.0.0.1:7001
    peer_address: 127.0.0.1:7101
services:
  - name: drafting
    kind: model
    model: draft
    deadline: 20s
    operations: [{method: POST, path: /v1/completions, idempotent: true}]
    upstreams:
      - {name: draft-1, domain: north, agent_address: "127.0.0.1:7201", checks_fencing: true}
      - {name: draft-2, domain: south, agent_address: "127.0.0.1:7202"}
    limits: {in_flight: 8, queue: 9}
    cold_start: {limit: 3, step_completions: 5}
  - name: payments
    kind: plain
    operations:
      - {method: POST, path: /payments, idempotent: false}
      - {method: GET, path: /status}
    upstreams:
      - {name: pay-1, domain: north, agent_address: "127.0.0.1:7301"}
      - {name: pay-2, domain: spare, agent_address: "127.0.0.1:7302", state: in}
accounts:
  - {name: large, weight: 8}
expert_groups:
  - {name: group, service: drafting, layers: 2, members: [draft-1, draft-2]}
move_plan:
  - name: fill-spare
    fill: [spare]
    not_before: 2026-12-01T05:30:00.250Z
    proceed_when: {warm_share_at_least: 0.75}
  - name: empty-north
    empty: [north]
    proceed_when: {in_flight_at_most: 0, hold: 2m}
address_lifetime: 8s
isolation_timeout: 3s
grant: {epoch: 30s, epochs_kept: 2}
subset_size: 12
)";

checked<configuration> Parse(const std::string& text) {
  return document_parser().Parse(text, "file.yaml");
}

void CheckAll(const std::vector<edit_case>& cases) { CheckEdits(kDocument, cases, Parse); }

// Guards against keys that are accepted but not stored.
BOOST_AUTO_TEST_CASE(ValidDocumentFillsEveryField) {
  using namespace std::chrono_literals;
  const auto parsed = Parse(kDocument);
  BOOST_TEST_REQUIRE(Lines(parsed) == std::vector<std::string>{}, boost::test_tools::per_element());
  const configuration& value = parsed.value();
  BOOST_TEST((value.domains[2] == domain_options{"spare", "here", service_state::kOut}));
  BOOST_TEST(
      (value.entries[0] == entry_options{"entry-1", "north", "127.0.0.1:7001", "127.0.0.1:7101"}));
  const service_options drafting{
      .name = "drafting",
      .kind = service_kind::kModel,
      .model = "draft",
      .deadline = 20s,
      .operations = {{"POST", "/v1/completions", true}},
      .upstreams = {{"draft-1", "north", "127.0.0.1:7201", true, service_state::kIn},
                    {"draft-2", "south", "127.0.0.1:7202", false, service_state::kIn}},
      .cold_start = {3, 5},
      .limits = {8, 9}};
  BOOST_TEST((value.services[0] == drafting));
  BOOST_TEST((value.services[1].operations[0] == operation_options{"POST", "/payments", false}));
  BOOST_TEST((value.services[1].operations[1] == operation_options{"GET", "/status", true}));
  BOOST_TEST((value.accounts[0] == account_options{"large", 8}));
  BOOST_TEST((value.expert_groups[0] ==
              expert_group_options{"group", "drafting", 2, 128, 1, {"draft-1", "draft-2"}}));
  const wall_time start =
      std::chrono::sys_days(std::chrono::year(2026) / 12 / 1) + 5h + 30min + 250ms;
  BOOST_TEST((value.move_plan[0] ==
              plan_step{"fill-spare", {}, {"spare"}, start, {std::nullopt, 0.75, 0s}}));
  BOOST_TEST((value.move_plan[1] ==
              plan_step{"empty-north", {"north"}, {}, std::nullopt, {0U, std::nullopt, 2min}}));
  BOOST_TEST((value.address_lifetime == 8s && value.isolation_timeout == 3s));
  BOOST_TEST((value.grant == grant_options{30s, 2} && value.subset_size == 12U));
}

// Guards against misspelt, absent and repeated keys that silently leave a default in force.
BOOST_AUTO_TEST_CASE(Keys) {
  CheckAll(ReadCases(R"(
subset_size: => subset_sise: => 44:1: the document has an unknown key "subset_sise"
queue: => que: => 19:28: service "drafting": limits has an unknown key "que"
    domain: north\n =>  => 6:5: entry "entry-1" has no key "domain"
{name: large, => { => 30:5: account 1 has no key "name"
    kind: plain\n =>  => 21:5: service "payments" has no key "kind"
    model: draft\n =>  => 11:5: service "drafting" has no key "model"
/payments, idempotent: false => /payments => 24:9: service "payments": operation 1 has no key "idempotent"
deadline: 20s => kind: plain => 14:5: service "drafting" has the key "kind" twice; the first is on line 12
subset_size: 12 => subset_size: => 44:1: the document has no value for the key "subset_size"
subset_size: 12 => [a]: 12 => 44:1: the document has a key that is not text
    kind: plain\n =>     kind: plain\n    model: m\n => 23:12: service "payments" has the key "model", which only services of kind model have
)"));
}

// Guards against values of the wrong type that are read as something else.
BOOST_AUTO_TEST_CASE(TypesAndRanges) {
  CheckAll(ReadCases(R"(
weight: 8 => weight: many => 30:27: account "large" has weight "many", which is not a whole number
weight: 8 => weight: "8" => 30:27: account "large" has weight "8", which is quoted text
weight: 8 => weight: 0 => 30:27: account "large" has weight 0, which is outside 1 to 1000000
weight: 8 => weight: -1 => 30:27: account "large" has weight -1, which is outside 1 to 1000000
weight: 8 => weight: 99999999999 => 30:27: account "large" has weight 99999999999, which is outside 1 to 1000000
weight: 8 => weight: [8] => 30:27: account "large" has a value for weight that is not a whole number
checks_fencing: true => checks_fencing: yes => 17:89: service "drafting": upstream "draft-1" has checks_fencing "yes", which is not true or false
state: out => state: away => 4:40: failure domain "spare" has state "away", which is not in or out
kind: plain => kind: other => 22:11: service "payments" has kind "other", which is not model or plain
least: 0.75 => least: 1.5 => 37:41: move plan step "fill-spare": proceed_when has warm_share_at_least "1.5", which is not a number from 0 to 1
address_lifetime: 8s => address_lifetime: 8 => 41:19: the document has address_lifetime "8", which has no unit; write it as in 250ms, 5s, 2m or 1h
address_lifetime: 8s => address_lifetime: 8d => 41:19: the document has address_lifetime "8d", which is not a duration such as 250ms, 5s, 2m or 1h
epoch: 30s => epoch: 2h => 43:16: grant has epoch 2h, which is outside 100ms to 1h
address_lifetime: 8s => address_lifetime: 61s => 41:19: the document has address_lifetime 61s, which is longer than the 1m that grant.epoch and grant.epochs_kept keep a grant valid
05:30:00.250Z => 05:30:00+01:00 => 36:17: move plan step "fill-spare" has not_before "2026-12-01T05:30:00+01:00", which is not a time in UTC such as 2026-12-01T05:30:00Z
2026-12-01T05 => 2026-02-30T05 => 36:17: move plan step "fill-spare" has not_before "2026-02-30T05:30:00.250Z", which is not a time in UTC such as 2026-12-01T05:30:00Z
name: large => name: a/b => 30:12: account "a/b" has name "a/b", which is not 1 to 64 letters, digits, ".", "_" or "-"
model: draft => model: a b => 13:12: service "drafting" has model "a b", which is not 1 to 128 printable ASCII characters without spaces
limits: {in_flight: 8, queue: 9} => limits: 8 => 19:13: service "drafting" has a value for limits that is not a map
  - {name: large, weight: 8} =>   - large => 30:5: account 1 is not a map of keys and values
empty: [north] => empty: north => 39:12: move plan step "empty-north" has a value for empty that is not a list
empty: [north] => empty: [[north]] => 39:13: move plan step "empty-north" has an item in empty that is not text
[{method: POST, path: /v1/completions, idempotent: true}] => [] => 15:17: service "drafting" has an empty list of operations
method: GET => method: FETCH => 25:18: service "payments": operation 2 has method "FETCH", which is not GET, HEAD, OPTIONS, PUT, DELETE, POST or PATCH
path: /status => path: status => 25:29: service "payments": operation 2 has path "status", which is not a path such as /payments
limit: 3 => limit: 9 => 20:25: service "drafting" has cold_start.limit 9, which is above limits.in_flight 8
)"));
}

// Guards against addresses that no process can use and against two processes with one address.
BOOST_AUTO_TEST_CASE(Addresses) {
  const std::string subject = R"(8:21: entry "entry-1" has caller_address )";
  for (const std::string bad : {"localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                                "127.1:80", "::1:80", "127.0.0.1:8o"}) {
    std::string expected = subject;
    expected.append("\"").append(bad).append("\"");
    expected.append(", which is not an IP address and port such as 10.0.0.1:7000");
    CheckAll({{"127.0.0.1:7001", bad, {expected}}});
  }
  CheckAll({
      {"127.0.0.1:7001",
       "0.0.0.0:7001",
       {subject + R"("0.0.0.0:7001", to which no process can connect)"}},
      {"127.0.0.1:7302",
       "127.0.0.1:7001",
       {R"(28:53: service "payments": upstream "pay-2" has agent_address "127.0.0.1:7001", which is already used by entry "entry-1" on line 8)"}},
      {"127.0.0.1:7001", "\"[::1]:7001\"", {}},
  });
}

// Guards against references that no process can resolve and names that stand for two things.
BOOST_AUTO_TEST_CASE(NamesAndReferences) {
  CheckAll(ReadCases(R"(
pay-1, domain: north => pay-1, domain: x => 27:31: service "payments": upstream "pay-1" names failure domain "x", which is not declared
    domain: north\n =>     domain: x\n => 7:13: entry "entry-1" names failure domain "x", which is not declared
empty: [north] => empty: [x] => 39:13: move plan step "empty-north" names failure domain "x", which is not declared
name: south => name: north => 3:12: failure domain "north" has name "north", which is already used by failure domain "north" on line 2 => 18:33: service "drafting": upstream "draft-2" names failure domain "south", which is not declared
name: payments => name: drafting => 21:11: service "drafting" has name "drafting", which is already used by service "drafting" on line 11
name: pay-1 => name: entry-1 => 27:16: service "payments": upstream "entry-1" has name "entry-1", which is already used by entry "entry-1" on line 6
  - {name: large, weight: 8} =>   - {name: large}\n  - {name: large} => 31:12: account "large" has name "large", which is already used by account "large" on line 30
kind: plain => kind: model\n    model: draft => 23:12: service "payments" has model "draft", which is already used by service "drafting" on line 13
method: GET, path: /status => method: POST, path: /payments, idempotent: true => 25:9: service "payments": operation 2 repeats "POST /payments"
service: drafting => service: x => 32:28: expert group "group" names service "x", which is not declared
service: drafting => service: payments => 32:28: expert group "group" names service "payments", which is not of kind model
[draft-1, draft-2] => [draft-1, pay-1] => 32:68: expert group "group" names member "pay-1", which is not an upstream of service "drafting"
[draft-1, draft-2] => [draft-1, draft-1] => 32:68: expert group "group" has "draft-1" twice in members
members: [draft-1, draft-2]} => members: [draft-1]}\n  - {name: other, service: drafting, members: [draft-1]} => 33:48: expert group "other" names member "draft-1", which is already a member of expert group "group"
- name: empty-north => - name: fill-spare => 38:11: move plan step "fill-spare" has name "fill-spare", which is already used by move plan step "fill-spare" on line 34
)"));
}

// Guards against a plan that takes a whole service out.
BOOST_AUTO_TEST_CASE(MovePlan) {
  CheckAll(ReadCases(R"(
empty: [north] => empty: [north, south] => 39:12: move plan step "empty-north" empties every failure domain that serves service "drafting"
# pay-2 is in the domain that the first step fills.
    fill: [spare]\n =>     fill: [south]\n => 39:12: move plan step "empty-north" empties every failure domain that serves service "payments"
state: in}\naccounts => state: out}\naccounts => 39:12: move plan step "empty-north" empties every failure domain that serves service "payments"
    empty: [north]\n =>  => 38:11: move plan step "empty-north" has neither the key "empty" nor the key "fill"
subset_size: 12 => subset_size: 1 => 44:14: the document has subset_size 1, but a move plan with conditions needs entries that hear every upstream: the largest service has 2 upstreams
empty: [north] => empty: [north]\n    fill: [north] => 40:11: move plan step "empty-north" both empties and fills failure domain "north"
)"));
}

// Guards against texts that are not one plain YAML document.
BOOST_AUTO_TEST_CASE(WholeText) {
  const auto check = [](const std::string& text, const std::string& expected) {
    BOOST_TEST(Lines(Parse(text)) == std::vector<std::string>{expected},
               boost::test_tools::per_element());
  };
  check("", "1:1: the file is empty");
  check("domains: [\n", "1:10: malformed YAML: end of sequence flow not found");
  check("domains: []\n - x\n", "2:2: malformed YAML: end of map not found");
  check("a: &x 1\nb: *x\n", "2:4: YAML aliases are not supported; write the value out");
  check("a: !!int 1\n", "1:4: YAML tags are not supported");
  check("a: 1\n---\nb: 1\n", "3:1: the file has a second YAML document");
  check("a: \"\\\001\"\n", "1:7: malformed YAML: unknown escape character: ?");
  check("text", "1:1: the document is not a map of keys and values");
  check(std::string((1 << 20) + 1, '#'),
        "0:0: the file has 1048577 bytes; at most 1048576 are accepted");
  check(std::string(40, '[') + std::string(40, ']'),
        "1:33: malformed YAML: nested deeper than 32 levels");
}

// Guards against findings that are lost or out of order when there are several.
BOOST_AUTO_TEST_CASE(FindingsAreCompleteAndSortedByPlace) {
  std::string text = Edit(kDocument, "weight: 8", "weight: 0");
  text = Edit(text, "subset_size: 12", "subset_size: 0");
  text = Edit(text, "pay-1, domain: north", "pay-1, domain: x");
  const auto parsed = Parse(text);
  BOOST_REQUIRE(!parsed);
  BOOST_TEST(parsed.error().size() == 3U);
  BOOST_TEST(std::is_sorted(parsed.error().begin(), parsed.error().end()));
  BOOST_TEST(parsed.error().front().file == "file.yaml");
}

// Guards against shipped examples that the parser refuses.
BOOST_AUTO_TEST_CASE(ExamplesAreValid) {
  for (const std::string path : {"solano/document", "solano/move-plan", "zebra/document"}) {
    const auto parsed = Parse(ReadSource("examples/" + path + ".yaml"));
    BOOST_TEST_CONTEXT(path) {
      BOOST_TEST(Lines(parsed) == std::vector<std::string>{}, boost::test_tools::per_element());
      BOOST_REQUIRE(parsed);
      BOOST_TEST(parsed.value().entries.size() == 8U);
      BOOST_TEST(parsed.value().services[0].upstreams.size() == 16U);
      BOOST_TEST(parsed.value().services[1].upstreams.size() == 3U);
      BOOST_TEST(parsed.value().accounts.size() == 10U);
    }
  }
}

/// Drops, repeats, swaps or garbles lines of `text`, as the generator decides.
std::string Mutate(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !lines.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, lines.size());
    std::string& line = lines[at];
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(at));
        break;
      case 1:
        lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(at), std::string(line));
        break;
      case 2:
        std::swap(line, lines[*rc::gen::inRange<std::size_t>(0, lines.size())]);
        break;
      case 3:
        line.resize(*rc::gen::inRange<std::size_t>(0, line.size() + 1));
        break;
      default:
        line.insert(*rc::gen::inRange<std::size_t>(0, line.size() + 1),
                    *rc::gen::container<std::string>(
                        rc::gen::oneOf(rc::gen::elementOf(std::string("[]{}:,-&*!|>'\"%@`#? \t0~")),
                                       rc::gen::arbitrary<char>())));
    }
  }
  std::string mutated;
  for (const std::string& line : lines) {
    mutated += line + "\n";
  }
  return mutated;
}

// Guards against a published document that throws, or is refused without a usable place.
BOOST_AUTO_TEST_CASE(MutatedDocumentsNeverThrow) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 20261201U}) {
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 500;
    const auto result = rc::detail::checkTestable(
        [] {
          const std::string text = Mutate(kDocument);
          const auto last = std::max<std::ptrdiff_t>(1, std::count(text.begin(), text.end(), '\n'));
          const auto parsed = Parse(text);
          if (!parsed) {
            RC_ASSERT(!parsed.error().empty());
            for (const finding& each : parsed.error()) {
              RC_ASSERT(each.line >= 1U);
              RC_ASSERT(each.line <= static_cast<std::uint32_t>(last));
              RC_ASSERT(each.column >= 1U);
            }
          }
        },
        rc::detail::TestMetadata(), params);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    BOOST_TEST(result.is<rc::detail::SuccessResult>(), "seed " << seed << ": " << report.str());
  }
}

// Guards against a wrong document that fills the memory of every process with findings.
BOOST_AUTO_TEST_CASE(NumberOfFindingsIsBounded) {
  std::string text = "domains:\n";
  for (int i = 0; i < 5000; ++i) {
    text += "  - {}\n";
  }
  const auto result = document_parser().Parse(text, "file");
  BOOST_REQUIRE(!result);
  BOOST_TEST(result.error().size() == 1001U);
  BOOST_TEST(result.error().back().message.ends_with("further findings omitted"));
}

}  // namespace
}  // namespace berylbarrow
