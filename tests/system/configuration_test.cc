#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "support/load_table.h"
#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

bool AllHave(const process_fleet& fleet, std::uint64_t revision) {
  const auto names = fleet.Processes();
  return std::all_of(names.begin(), names.end(),
                     [&](const auto& name) { return fleet.Revision(name) == revision; });
}

// Guards against a revision that stays with its first readers when the service dies, and against a
// new process that gets none without the service.
BOOST_AUTO_TEST_CASE(RevisionSpreadsWithoutTheService) {
  process_fleet fleet;
  fleet.Publish(fleet.Document({"heredia"}));
  const auto names = fleet.Processes();
  BOOST_TEST(Eventually([&] {
    return std::any_of(names.begin(), names.end(),
                       [&](const auto& name) { return fleet.Revision(name) == 2; });
  }));
  const auto seen = steady_clock::now();
  fleet.Kill("platform");
  BOOST_TEST(Eventually([&] { return AllHave(fleet, 2); }));
  BOOST_TEST((steady_clock::now() - seen < seconds(7)));
  for (const std::string name : {"alajuela-payments", "entry-2"}) {
    fleet.Kill(name);
    fleet.Start(name);
    BOOST_TEST(Eventually([&] { return fleet.Revision(name) == 2; }), name);
  }
  BOOST_TEST(Eventually(
      [&] { return fleet.Draft("entry-2", DraftBody("without the service", 2)).status == 200; }));
}

// Guards against a process that takes back a revision because the service offers an older one.
BOOST_AUTO_TEST_CASE(OlderRevisionIsIgnored) {
  process_fleet fleet;
  fleet.Publish(fleet.Document({"heredia"}));
  BOOST_TEST(Eventually([&] { return AllHave(fleet, 2); }));
  fleet.SetPlatformFault("older");
  fleet.Kill("heredia-draft");
  fleet.Start("heredia-draft");
  BOOST_TEST(Eventually([&] { return fleet.Revision("heredia-draft") == 2; }));
  const auto names = fleet.Processes();
  BOOST_TEST(Eventually([&] {
    return std::any_of(names.begin(), names.end(), [&](const auto& name) {
      return fleet.Metric(name, "berylbarrow_platform_older_revisions_total") >= 2;
    });
  }));
  BOOST_TEST(AllHave(fleet, 2));
}

// Guards against new work in a drained failure domain later than 5 s after its publication, by the
// ledger of the upstream, and against refused callers meanwhile.
BOOST_AUTO_TEST_CASE(DrainedDomainGetsNoNewWork) {
  process_fleet fleet;
  fleet.StartLoad({"--rate", "80", "--seconds", "9", "--mix", "0,8,2", "--max-attempts", "6"});
  BOOST_TEST(Eventually([&] { return fleet.Runs("heredia-payments") > 3; }));
  std::size_t runs = fleet.Runs("heredia-payments");
  const auto published = steady_clock::now();
  fleet.Publish(fleet.Document({"heredia"}));
  auto last_work = published;
  while (fleet.IsRunning("load")) {
    const std::size_t seen = fleet.Runs("heredia-payments");
    if (seen > runs) last_work = steady_clock::now();
    runs = seen;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(last_work - published);
  BOOST_TEST_MESSAGE("last new work " << took.count() << " ms after the publication");
  BOOST_TEST((took <= seconds(5)), took.count() << " ms");
  std::string table;
  BOOST_TEST(fleet.FinishLoad(&table) == 0, table);
  BOOST_TEST(LedgersAgree(table), table);
  BOOST_TEST(RowOf(table, "all").whole > 500U, table);
}

}  // namespace
}  // namespace berylbarrow
