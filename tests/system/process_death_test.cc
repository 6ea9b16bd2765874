#include <boost/test/unit_test.hpp>
#include <csignal>

#include "support/load_table.h"
#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

// Guards against drafts that are cut off and payments that run twice when an agent dies, and
// against a replacement that gets no work.
BOOST_AUTO_TEST_CASE(AgentsAreKilledAndReplacedUnderLoad) {
  process_fleet fleet;
  fleet.StartLoad({"--rate", "40", "--seconds", "6", "--max-attempts", "6"});
  BOOST_TEST(Eventually([&] { return fleet.Runs("heredia-payments") > 3; }));
  BOOST_TEST(
      Eventually([&] { return fleet.Metric("heredia-draft", "berylbarrow_agent_in_flight") > 0; }));
  fleet.Kill("heredia-draft");
  fleet.Kill("heredia-payments");
  fleet.Start("heredia-draft");
  fleet.Start("heredia-payments");
  for (const std::string agent : {"heredia-draft", "heredia-payments"}) {
    BOOST_TEST(
        Eventually([&] { return fleet.Metric(agent, "berylbarrow_agent_completed_total") > 0; }));
  }
  std::string table;
  BOOST_TEST(fleet.FinishLoad(&table) == 0, table);
  BOOST_TEST(LedgersAgree(table), table);
  BOOST_TEST(RowOf(table, "drafts").whole > 50U, table);
  BOOST_TEST(RowOf(table, "lookups").incomplete == 0U, table);
}

// Guards against payments that run twice or are falsely refused when callers resend through
// another entry, and against a replacement that does not serve. The callers of the dead entry see
// their drafts break off, so those may be incomplete: at most one per connection.
BOOST_AUTO_TEST_CASE(EntryIsKilledAndReplacedUnderLoad) {
  process_fleet fleet;
  fleet.StartLoad({"--rate", "40", "--seconds", "6", "--max-attempts", "6", "--connections", "8"});
  BOOST_TEST(Eventually(
      [&] { return fleet.Metric("entry-1", "berylbarrow_callers_requests_total") > 20; }));
  fleet.Kill("entry-1");
  fleet.Start("entry-1");
  BOOST_TEST(Eventually(
      [&] { return fleet.Metric("entry-1", "berylbarrow_callers_requests_total") > 5; }));
  std::string table;
  fleet.FinishLoad(&table);
  BOOST_TEST(LedgersAgree(table), table);
  BOOST_TEST(RowOf(table, "all").sent > 100U, table);
  BOOST_TEST(RowOf(table, "all").wrong == 0U, table);
  BOOST_TEST(RowOf(table, "lookups").incomplete == 0U, table);
  BOOST_TEST(RowOf(table, "drafts").incomplete <= 8U, table);
}

}  // namespace
}  // namespace berylbarrow
