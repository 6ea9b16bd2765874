#include <boost/test/unit_test.hpp>
#include <csignal>

#include "support/load_table.h"
#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

// Guards against an agent that resumes after a pause and starts work in a failure domain that was
// drained meanwhile. 6 s is longer than entries take to consider the agent dead.
BOOST_AUTO_TEST_CASE(PausedAgentStartsNothingInADrainedDomain) {
  process_fleet fleet;
  fleet.StartLoad({"--rate", "80", "--seconds", "9", "--mix", "0,8,2", "--max-attempts", "6"});
  BOOST_TEST(Eventually([&] { return fleet.Runs("heredia-payments") > 3; }));
  fleet.Signal("heredia-payments", SIGSTOP);
  const auto resume_at = std::chrono::steady_clock::now() + std::chrono::seconds(6);
  fleet.Publish(fleet.Document({"heredia"}));
  BOOST_TEST(Eventually([&] { return fleet.Revision("entry-1") == 2; }));
  std::this_thread::sleep_until(resume_at);
  const std::size_t runs = fleet.Runs("heredia-payments");
  const std::size_t elsewhere = fleet.Runs("alajuela-payments");
  fleet.Signal("heredia-payments", SIGCONT);
  BOOST_TEST(Eventually([&] { return fleet.Revision("heredia-payments") == 2; }));
  std::string table;
  BOOST_TEST(fleet.FinishLoad(&table) == 0, table);
  BOOST_TEST(LedgersAgree(table), table);
  BOOST_TEST(fleet.Runs("heredia-payments") == runs);
  BOOST_TEST(fleet.Runs("alajuela-payments") > elsewhere);
}

// Guards against answers that an entry corrupts or cuts off when it resumes after its agents have
// considered it dead.
BOOST_AUTO_TEST_CASE(PausedEntryCompletesItsAnswers) {
  process_fleet fleet;
  fleet.StartLoad({"--rate", "40", "--seconds", "8", "--max-attempts", "6"});
  BOOST_TEST(
      Eventually([&] { return fleet.Metric("entry-1", "berylbarrow_requests_in_flight") > 0; }));
  fleet.Signal("entry-1", SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(5));  // the length of the pause
  fleet.Signal("entry-1", SIGCONT);
  std::string table;
  BOOST_TEST(fleet.FinishLoad(&table) == 0, table);
  BOOST_TEST(LedgersAgree(table), table);
  BOOST_TEST(fleet.Draft("entry-1", DraftBody("after the pause", 3)).status == 200U);
}

}  // namespace
}  // namespace berylbarrow
