#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>

#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

constexpr int kRanks = 4;
const std::chrono::seconds kChangeLimit{12};  // for a takeover and the change after it

std::string AgentOf(int rank) { return "rank-" + std::to_string(rank); }

/// Four ranks that ignore the fencing token, and an agent for each. No entry runs.
class rank_fleet : public process_fleet {
 public:
  rank_fleet() : process_fleet(std::getenv("BERYLBARROW_BUILD")) {  // NOLINT(concurrency-mt-unsafe)
    platform_ = FreeAddress();
    for (const std::string entry : {"entry-1", "entry-2"}) {
      callers_[entry] = FreeAddress();
      peers_[entry] = FreeAddress();
    }
    for (int rank = 0; rank < kRanks; ++rank) {
      peers_[AgentOf(rank)] = FreeAddress();
      operators_[AgentOf(rank)] = FreeAddress();
      engines_.push_back(FreeAddress());
    }
    std::ofstream(folder_ / "document.yaml") << GroupDocument();
    Add("platform", {build_ / "berylbarrow-platform", "--listen", platform_, "--config",
                     folder_ / "document.yaml"});
    std::string all;
    for (const std::string& engine : engines_) all += (all.empty() ? "" : ",") + engine;
    Add("ranks", {build_ / "berylbarrow-ranks", "--listen", all, "--ignore-fencing"});
    for (int rank = 0; rank < kRanks; ++rank) {
      Add(AgentOf(rank),
          {build_ / "berylbarrow", "agent",
           WriteSettings(AgentOf(rank), "heredia",
                         "upstream: {address: " + engines_[rank] + ", service: draft}")});
    }
  }

  nlohmann::json Ledger() const {
    return nlohmann::json::parse(Exchange(engines_.front(), "GET", "/ledger").body, nullptr, false);
  }
  std::uint64_t Step() const { return Number("step"); }
  std::uint64_t Version() const { return Number("last_version"); }
  bool IsConsistent() const { return Ledger().value("consistent", false); }
  void SetFault(int rank, const std::string& mode) const {
    Exchange(engines_.at(rank), "POST", "/admin/fault?mode=" + mode);
  }
  /// Whether the map changes `times` times from now on.
  bool Changes(std::uint64_t times) const {
    const std::uint64_t before = Version();
    return Eventually([&] { return Version() >= before + times; }, kChangeLimit);
  }
  bool Leads(int rank) const { return Metric(AgentOf(rank), "berylbarrow_agent_group_leads") == 1; }

 private:
  std::uint64_t Number(const char* name) const {
    const nlohmann::json ledger = Ledger();
    return ledger.is_object() ? ledger.value(name, std::uint64_t{0}) : 0;
  }

  std::string GroupDocument() const {
    std::string text =
        "domains:\n  - {name: heredia, region: central-valley}\n"
        "entries:\n  - {name: entry-1, domain: heredia, caller_address: " +
        callers_.at("entry-1") + ", peer_address: " + peers_.at("entry-1") +
        "}\nservices:\n  - name: draft\n    kind: model\n    model: draft\n    operations:\n"
        "      - {method: POST, path: /v1/completions, idempotent: true}\n    upstreams:\n";
    std::string members;
    for (int rank = 0; rank < kRanks; ++rank) {
      text += "      - {name: " + AgentOf(rank) +
              ", domain: heredia, agent_address: " + peers_.at(AgentOf(rank)) + "}\n";
      members += (rank == 0 ? "" : ", ") + AgentOf(rank);
    }
    return text +
           "expert_groups:\n  - {name: experts, service: draft, layers: 2, experts_per_layer: 8, "
           "spare_slots_per_rank: 1, members: [" +
           members + "]}\naccounts:\n  - {name: counter, weight: 1}\n";
  }

  std::vector<std::string> engines_;
};

// Guards against ranks on different maps, and a group that stays on its last map, when the agent of
// the coordinator is killed and replaced.
BOOST_AUTO_TEST_CASE(CoordinatorDiesAndIsReplaced) {
  rank_fleet fleet;
  BOOST_TEST(fleet.Changes(2));
  BOOST_TEST(fleet.Leads(0));
  fleet.Kill(AgentOf(0));
  // With rank 0's agent gone no change can be agreed on; another one leads meanwhile.
  BOOST_TEST(Eventually([&] { return fleet.Leads(1); }, kChangeLimit));
  const std::uint64_t step = fleet.Step();
  fleet.Start(AgentOf(0));
  BOOST_TEST(fleet.Changes(2));
  BOOST_TEST(fleet.Step() > step);
  BOOST_TEST(fleet.Leads(0));
  BOOST_TEST(fleet.IsConsistent(), fleet.Ledger().dump());
}

// Guards against a coordinator that wakes after another took over and changes the maps of some
// ranks, with engines that take orders with an old token; and against a stalled or restarted rank
// that the others leave behind.
BOOST_AUTO_TEST_CASE(OldCoordinatorWakesAndRanksFail) {
  rank_fleet fleet;
  BOOST_TEST(fleet.Changes(1));
  fleet.Signal(AgentOf(0), SIGSTOP);
  const auto resume_at = std::chrono::steady_clock::now() + std::chrono::seconds(6);
  BOOST_TEST(Eventually([&] { return fleet.Leads(1); }, kChangeLimit));
  std::this_thread::sleep_until(resume_at);
  fleet.Signal(AgentOf(0), SIGCONT);
  BOOST_TEST(fleet.Changes(2));
  fleet.SetFault(2, "stall");
  const std::uint64_t stalled = fleet.Step();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));  // the length of the stall
  BOOST_TEST(fleet.Step() <= stalled + 1);
  fleet.SetFault(2, "none");
  BOOST_TEST(fleet.Changes(1));
  fleet.SetFault(3, "restart");
  BOOST_TEST(fleet.Changes(1));
  BOOST_TEST(fleet.IsConsistent(), fleet.Ledger().dump());
}

}  // namespace
}  // namespace berylbarrow
