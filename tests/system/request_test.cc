#include <boost/test/unit_test.hpp>
#include <future>

#include "common/expected_answer.h"
#include "support/load_table.h"
#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

// Guards against a request that takes down one upstream after the other while its caller resends
// it, and against other requests that fail with it.
BOOST_AUTO_TEST_CASE(RequestThatCrashesUpstreamsIsRefused) {
  process_fleet fleet;
  const std::string body = DraftBody("crash-upstream", 5);
  fleet.StartLoad({"--rate", "20", "--seconds", "6", "--mix", "1,0,0", "--max-attempts", "6"});
  unsigned deaths = 0;
  // Starts dead upstreams again, as the platform does.
  const auto revive = [&] {
    for (const std::string name : {"heredia-draft-upstream", "alajuela-draft-upstream"}) {
      if (fleet.IsRunning(name)) continue;
      ++deaths;
      fleet.Start(name);
    }
  };
  http_answer last;
  for (int attempt = 0; attempt < 20 && last.status != 422; ++attempt) {
    auto answer = std::async(std::launch::async, [&] { return fleet.Draft("entry-1", body); });
    while (answer.wait_for(std::chrono::milliseconds(20)) != std::future_status::ready) revive();
    last = answer.get();
  }
  revive();
  BOOST_TEST(last.status == 422U, last.body);
  BOOST_TEST(deaths == 2U);
  // Through the other entry as well.
  BOOST_TEST(fleet.Draft("entry-2", body).status == 422U);
  revive();
  BOOST_TEST(deaths == 2U);
  std::string table;
  BOOST_TEST(fleet.FinishLoad(&table) == 0, table);
  BOOST_TEST(RowOf(table, "drafts").whole > 60U, table);
  const std::string harmless = DraftBody("a harmless form", 3);
  BOOST_TEST((fleet.Draft("entry-1", harmless).body == tools::ExpectedCompletion(harmless)));
}

// Guards against a payment that runs a second time when its caller gives up on the first attempt
// and resends through another entry while the first attempt runs.
BOOST_AUTO_TEST_CASE(PaymentSentAgainThroughTheOtherEntryRunsOnce) {
  process_fleet fleet({.service_ms = 2000});
  const std::string key = fleet.Grant("entry-1") + "/stamp-1";
  const std::string body = R"({"fee":1500})";
  const auto pay = [&](const std::string& entry, const std::string& attempt) {
    return Exchange(fleet.Callers(entry), "POST", "/services/payments/payments", body,
                    {{"Berylbarrow-Account", "counter"},
                     {"Idempotency-Key", key},
                     {"Berylbarrow-Attempt", attempt}});
  };
  const auto operations = [&] {
    return fleet.Operations("heredia-payments").size() +
           fleet.Operations("alajuela-payments").size();
  };
  auto first = std::async(std::launch::async, [&] { return pay("entry-1", "1"); });
  BOOST_TEST(Eventually([&] { return operations() == 1; }));
  const http_answer second = pay("entry-2", "2");
  const http_answer answer = first.get();
  BOOST_TEST(answer.status == 200U, answer.body);
  BOOST_TEST(second.status == 200U, second.body);
  BOOST_TEST(answer.body == second.body);
  BOOST_TEST(answer.body == tools::ExpectedPlainAnswer("POST", "/payments", body));
  BOOST_TEST(pay("entry-2", "3").body == answer.body);
  BOOST_TEST(operations() == 1U);
}

}  // namespace
}  // namespace berylbarrow
