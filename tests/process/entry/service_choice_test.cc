#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "process/entry/directory.h"
#include "process/entry/entry_fixture.h"

namespace berylbarrow {
namespace {

using std::chrono::seconds;

constexpr int kDomains = 5;
constexpr int kServices = 28;

std::string Domain(int index) { return "domain-" + std::to_string(index % kDomains); }

/// 340 entries and 600 upstreams of 28 services.
std::shared_ptr<const configuration_version> DesignSize() {
  configuration_version version;
  version.value.subset_size = 6;
  for (int i = 0; i < 340; ++i) {
    version.value.entries.push_back({.name = "entry-" + std::to_string(i), .domain = Domain(i)});
  }
  version.value.services.resize(kServices);
  for (int i = 0; i < kServices; ++i) {
    version.value.services[i].name = "service-" + std::to_string(i);
  }
  for (int i = 0; i < 600; ++i) {
    version.value.services[i % kServices].upstreams.push_back(
        {.name = "upstream-" + std::to_string(i), .domain = Domain(i / kServices)});
  }
  return std::make_shared<configuration_version>(std::move(version));
}

// Guards against an upstream that no entry reaches, against a service whose entries lie in one
// failure domain, and against links that grow with entries times upstreams.
BOOST_AUTO_TEST_CASE(EveryUpstreamHasTwoEntriesAndLinksAreFew) {
  const auto version = DesignSize();
  std::map<std::string, int> entries_of;
  std::size_t links = 0;
  std::size_t most_links = 0;
  for (const entry_options& entry : version->value.entries) {
    const directory index(version, entry.name, [](const std::string&) { return true; });
    std::size_t own = 0;
    for (const service_options& service : version->value.services) {
      std::map<std::string, int> by_domain;
      for (const std::string& name : index.EntriesOf(service.name)) {
        ++by_domain[Domain(std::stoi(name.substr(6)))];
      }
      BOOST_TEST(index.EntriesOf(service.name).size() == 36U);
      for (const auto& [domain, count] : by_domain) BOOST_TEST((count == 7 || count == 8));
      if (!index.EntriesOf(service.name).contains(entry.name)) continue;
      for (const upstream_options* upstream : index.Subset(service.name)) {
        ++entries_of[upstream->name];
        ++own;
      }
    }
    links += own;
    most_links = std::max(most_links, own);
  }
  BOOST_TEST(entries_of.size() == 600U);
  const auto fewest = std::min_element(entries_of.begin(), entries_of.end(),
                                       [](auto& a, auto& b) { return a.second < b.second; });
  BOOST_TEST(fewest->second >= 2);
  BOOST_TEST_MESSAGE("links of an entry: mean " << links / 340.0 << ", most " << most_links
                                                << "; of an agent: mean " << links / 600.0);
  BOOST_TEST(links <= 340U * 20);
}

// Guards against a drained failure domain that moves the services of entries elsewhere.
BOOST_AUTO_TEST_CASE(DrainedDomainOnlyAddsEntriesElsewhere) {
  const auto version = DesignSize();
  const directory all(version, "entry-0", [](const std::string&) { return true; });
  const directory less(version, "entry-0",
                       [](const std::string& domain) { return domain != "domain-3"; });
  for (const service_options& service : version->value.services) {
    const auto& after = less.EntriesOf(service.name);
    BOOST_TEST(after.size() == 36U);
    for (const std::string& name : all.EntriesOf(service.name)) {
      const bool is_drained = Domain(std::stoi(name.substr(6))) == "domain-3";
      BOOST_TEST(after.contains(name) != is_drained);
    }
  }
}

// Guards against an upstream that is reached by no entry when its service has more upstreams than
// its entries choose.
BOOST_AUTO_TEST_CASE(UpstreamsThatNobodyChoseAreAdded) {
  auto version = std::make_shared<configuration_version>(*DesignSize());
  version->value.subset_size = 1;
  version->value.entries_per_service = 3;
  std::map<std::string, int> entries_of;
  for (const entry_options& entry : version->value.entries) {
    const directory index(version, entry.name, [](const std::string&) { return true; });
    for (const service_options& service : version->value.services) {
      if (!index.EntriesOf(service.name).contains(entry.name)) continue;
      for (const upstream_options* upstream : index.Subset(service.name)) {
        ++entries_of[upstream->name];
      }
    }
  }
  BOOST_TEST(entries_of.size() == 600U);
  for (const auto& [name, count] : entries_of) BOOST_TEST(count >= 2, name);
}

// Guards against callers with an old address response that are refused when the choice of entries
// changes, and against an entry that keeps serving, or answers for a key it cannot know.
BOOST_FIXTURE_TEST_CASE(EntryServesForTheLifetimeOfAddressResponses, entry_fixture) {
  const auto hear_other_entry = [this] {
    Input(heartbeat_received{.from = "e2",
                             .content = {.sender = {.name = "entry-2", .incarnation = 9},
                                         .sequence = ++sequence,
                                         .state = process_state::kServing}});
  };
  Start();
  hear_other_entry();
  Document(2, "many");
  Input(address_query{.caller = 1, .service = "drafting", .account = "acme"});
  const auto answer = Take<caller_reply>().at(0);
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body.find("c1") == std::string::npos);
  Draft(2);
  BOOST_TEST(Sent<dispatch>().size() == 1U);
  for (int i = 0; i < 18; ++i) {
    Wait(seconds(1));
    Beat("d-1");
    hear_other_entry();
  }
  outputs.clear();
  Draft(3);
  Pay(4, "p-1/1/5/n", 1);
  const auto refused = Take<caller_reply>();
  BOOST_REQUIRE(refused.size() == 2U);
  for (const caller_reply& reply : refused) {
    BOOST_TEST(reply.status == 503);
    BOOST_TEST(HeaderOf(reply, "Berylbarrow-Outcome") == "not-run");
    BOOST_TEST(!nlohmann::json::parse(reply.body).at("addresses").empty());
  }
  BOOST_TEST(Sent<dispatch>().empty());
  // A later attempt may have run, so its agent is asked.
  Pay(5, "p-1/1/5/m", 2);
  Open("p-1", 40);
  BOOST_TEST(Sent<dispatch>().size() == 1U);
}

}  // namespace
}  // namespace berylbarrow
