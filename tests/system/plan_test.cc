#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "support/load_table.h"
#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

using nlohmann::json;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Fills alajuela, which is out, and empties heredia after it. With a hold of 2 s, a status command
/// of a sanitizer build missed the time in which all processes are at the first step.
std::string WithPlan(const std::string& document) {
  return document +
         "move_plan:\n"
         "  - {name: fill-alajuela, fill: [alajuela], proceed_when: {warm_share_at_least: 0.5, "
         "hold: 5s}}\n"
         "  - {name: empty-heredia, empty: [heredia], proceed_when: {in_flight_at_most: 0}}\n";
}

struct fixture {
  process_fleet fleet{process_fleet_options{.out = "alajuela"}};
  json last_status;  // that Shows() has compared

  /// What `berylbarrow status` prints for this entry.
  json Status(const std::string& entry) {
    std::string output;
    BOOST_TEST(fleet.Command({"status", fleet.Operators(entry)}, &output) == 0, output);
    return json::parse(output, nullptr, false);
  }

  /// Whether the status of the entry shows `revision`, `step` and the state of heredia, with the
  /// revision and the step for every process and, for a domain that is out, nothing in flight.
  bool Shows(const std::string& entry, std::uint64_t revision, std::uint32_t step,
             const std::string& heredia) {
    const json status = Status(entry);
    last_status = status;
    const json served =
        json::parse(Exchange(fleet.Operators(entry), "GET", "/status", "", {}, seconds(2)).body,
                    nullptr, false);
    const auto& processes = status.at("processes");
    const auto& domains = status.at("domains");
    return served.at("plan_step") == step && status.at("plan_step") == step &&
           processes.size() == fleet.Processes().size() &&
           std::all_of(processes.begin(), processes.end(),
                       [&](const json& item) {
                         return item.at("revision") == revision && item.at("plan_step") == step;
                       }) &&
           std::any_of(domains.begin(), domains.end(), [&](const json& item) {
             return item.at("name") == "heredia" && item.at("state") == heredia &&
                    (heredia == "in" || item.at("in_flight") == 0);
           });
  }

  /// Prints each status that was seen if the expected one does not come within the limit.
  void AwaitStatus(const std::string& entry, std::uint64_t revision, std::uint32_t step,
                   const std::string& heredia, std::chrono::milliseconds limit) {
    const auto start = steady_clock::now();
    std::string seen;
    const bool is_shown = Eventually(
        [&] {
          const bool shows = Shows(entry, revision, step, heredia);
          const auto passed =
              std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - start);
          seen += std::to_string(passed.count()) + " ms: " + last_status.dump() + "\n";
          return shows;
        },
        limit);
    BOOST_TEST(is_shown, seen);
  }
};

// Guards against a plan that stops or that its operator cannot follow, against new work in a domain
// that the plan has emptied, and against callers that lose requests while it leaves and returns.
// The commands are those of docs/OPERATIONS.md.
BOOST_FIXTURE_TEST_CASE(PlanMovesTheLoadAndADocumentBringsItBack, fixture) {
  fleet.StartLoad({"--rate", "80", "--seconds", "21", "--mix", "1,7,2", "--max-attempts", "6"});
  BOOST_TEST(Eventually([&] { return fleet.Runs("heredia-payments") > 10; }));
  std::string output;
  BOOST_TEST(fleet.Check(WithPlan(fleet.Document({"alajuela"})), &output) == 0, output);
  fleet.Publish(WithPlan(fleet.Document({"alajuela"})));
  AwaitStatus("entry-2", 2, 1, "in", seconds(7));
  AwaitStatus("entry-2", 2, 2, "out", seconds(13));
  const auto emptied = steady_clock::now();
  BOOST_TEST(fleet.Command({"status", "--table", fleet.Operators("entry-1")}, &output) == 0);
  BOOST_TEST(output.find("empty-heredia") != std::string::npos, output);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const std::size_t runs = fleet.Runs("heredia-payments");
  BOOST_TEST(Eventually([&] {
    return fleet.Draft("entry-1", DraftBody("late", 1)).body.find("domain-out") !=
           std::string::npos;
  }));
  std::this_thread::sleep_until(emptied + seconds(3));
  BOOST_TEST(fleet.Runs("heredia-payments") == runs);
  BOOST_TEST(fleet.IsRunning("load"));

  BOOST_TEST(fleet.Check(fleet.Document({}), &output) == 0, output);
  fleet.Publish(fleet.Document({}));
  AwaitStatus("entry-1", 3, 0, "in", seconds(7));
  BOOST_TEST(Eventually([&] { return fleet.Runs("heredia-payments") > runs; }));
  BOOST_TEST(fleet.FinishLoad(&output) == 0, output);
  BOOST_TEST(LedgersAgree(output), output);
  BOOST_TEST(RowOf(output, "all").whole > 1000U, output);
}

}  // namespace
}  // namespace berylbarrow
