#include <boost/test/unit_test.hpp>
#include <csignal>

#include "support/load_table.h"
#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

/// SIGTERM to the processes while load runs; every one must end by itself with exit code 0.
void CheckGracefulShutdown(process_fleet& fleet, const std::vector<std::string>& names) {
  // The account of the load prefers entry-1.
  fleet.StartLoad({"--rate", "40", "--seconds", "4", "--max-attempts", "6"});
  for (const std::string& name : names) {
    const std::string metric = name.rfind("entry", 0) == 0 ? "berylbarrow_requests_in_flight"
                                                           : "berylbarrow_agent_in_flight";
    BOOST_TEST(Eventually([&] { return fleet.Metric(name, metric) > 0; }), name);
  }
  for (const std::string& name : names) fleet.Signal(name, SIGTERM);
  for (const std::string& name : names) BOOST_TEST(fleet.WaitExit(name) == 0, name);
  std::string table;
  BOOST_TEST(fleet.FinishLoad(&table) == 0, table);
  BOOST_TEST(LedgersAgree(table), table);
  BOOST_TEST(RowOf(table, "all").incomplete == 0U, table);
  BOOST_TEST(RowOf(table, "all").unknown == 0U, table);
  BOOST_TEST(RowOf(table, "all").whole > 80U, table);
}

// Each guards against an answer that a graceful shutdown cuts off, an operation whose outcome it
// leaves unknown, and a process that does not end or ends with an error.
BOOST_AUTO_TEST_CASE(EntryEndsGracefully) {
  process_fleet fleet;
  CheckGracefulShutdown(fleet, {"entry-1"});
}

BOOST_AUTO_TEST_CASE(AgentEndsGracefully) {
  process_fleet fleet;
  CheckGracefulShutdown(fleet, {"heredia-draft"});
}

BOOST_AUTO_TEST_CASE(EntryAndAgentEndGracefullyTogether) {
  process_fleet fleet;
  CheckGracefulShutdown(fleet, {"entry-1", "alajuela-draft"});
}

}  // namespace
}  // namespace berylbarrow
