#include "berylbarrow/request/dispatch/home_ranks.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <vector>

#include "berylbarrow/request/dispatch/upstream_selector.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint32_t kSlots = 10;

/// Reading a chunk takes 8.4 ms, ten running requests 4.3 ms.
const engine_profile kReadingEngine{.slots = kSlots,
                                    .stride = 6,
                                    .step_ms = 5.85,
                                    .per_sequence_ms = 0.426,
                                    .read_tokens_per_ms = 61.2,
                                    .chunk_tokens = 512,
                                    .expert_layers = 12,
                                    .expert_share = 0.85};

std::string RankId(int rank) { return "rank-" + std::to_string(100 + rank); }

/// Gateways of one failure domain that send prompts to the ranks of one group.
class fleet_fixture {
 public:
  fleet_fixture(int gateways, int ranks, const engine_profile& engine, bool dealt)
      : true_load(ranks), registry_({}) {
    routing_content content{.version = 1};
    content.routes = {{.name = "drafts",
                       .host = "h",
                       .prefix = "/",
                       .kind = request_kind::kStreaming,
                       .gap_target = milliseconds(120),
                       .services = {{"model", 1}}}};
    content.services = {{.name = "model", .engine = engine}};
    const routing_view view(std::move(content));
    for (int rank = 0; rank < ranks; ++rank) {
      registry_.Put({.id = RankId(rank),
                     .service = "model",
                     .address = "10.0.0.1:" + std::to_string(1000 + rank),
                     .domain = "north",
                     .slots = kSlots},
                    kStart);
    }
    for (int i = 0; i < gateways; ++i) {
      selectors.push_back(std::make_unique<upstream_selector>(upstream_selector_options{}));
      selectors.back()->SetUpstreams(registry_, &view, kStart);
      for (int rank = 0; rank < ranks; ++rank) {
        selectors.back()->OnEngineReport(
            {.address = "10.0.0.1:" + std::to_string(1000 + rank), .group = "g"}, kStart);
      }
      near_gateways near{.domain = "north", .self = static_cast<std::uint32_t>(i)};
      for (int other = 0; other < gateways; ++other) {
        if (other != i) near.others.push_back(static_cast<std::uint32_t>(other));
      }
      if (dealt) selectors.back()->SetNearGateways(near);
    }
  }

  /// Sends a prompt; returns the requests on its rank, or nothing if no rank takes it.
  std::optional<int> Send(int gateway) {
    const dispatch_choice choice =
        selectors[gateway]->Choose({.service = "model",
                                    .domain = "north",
                                    .tie_break = std::uniform_real_distribution(0.0, 1.0)(random)},
                                   kStart);
    if (choice.upstream_id.empty()) return std::nullopt;
    selectors[gateway]->OnSent(choice.upstream_id, 900, kStart);
    sent.emplace_back(gateway, choice.upstream_id);
    return ++true_load[std::stoi(choice.upstream_id.substr(5)) - 100];
  }

  void Finish(std::size_t index) {
    const auto [gateway, id] = sent[index];
    sent.erase(sent.begin() + static_cast<std::ptrdiff_t>(index));
    selectors[gateway]->OnFinished(id, 900, attempt_outcome::kServed, milliseconds(2000), kStart);
    --true_load[std::stoi(id.substr(5)) - 100];
  }

  /// Each gateway learns of the load of one of the others.
  void TellLoad(int from) {
    for (std::size_t i = 0; i < selectors.size(); ++i) {
      if (static_cast<int>(i) == from) continue;
      selectors[i]->OnPeerLoad(std::to_string(from), selectors[from]->LocalLoad());
    }
  }

  std::vector<std::unique_ptr<upstream_selector>> selectors;
  std::vector<std::pair<int, std::string>> sent;
  std::vector<int> true_load;
  std::mt19937_64 random{1};

 private:
  upstream_registry registry_;
};

// Engines whose writers cost more than a chunk: earlier deployments keep their choice of ranks.
BOOST_AUTO_TEST_CASE(ranks_are_dealt_only_where_reading_dominates_a_step) {
  const engine_profile writing{
      .slots = 12, .per_sequence_ms = 0.905, .read_tokens_per_ms = 61.4, .chunk_tokens = 512};
  BOOST_TEST(ReadingDominates(kReadingEngine));
  BOOST_TEST(!ReadingDominates(writing));
  BOOST_TEST(!ReadingDominates({.slots = 10}));
  fleet_fixture dealt(2, 8, writing, true);
  fleet_fixture not_dealt(2, 8, writing, false);
  for (int i = 0; i < 40; ++i) BOOST_TEST((dealt.Send(i % 2) == not_dealt.Send(i % 2)));
  BOOST_TEST((dealt.sent == not_dealt.sent));
}

// A rank that belongs to no gateway, or to two, would be empty or full.
BOOST_AUTO_TEST_CASE(each_rank_has_one_home_gateway_and_gateways_have_equally_many) {
  std::set<std::string> ranks;
  for (int rank = 0; rank < 24; ++rank) ranks.insert(RankId(rank));
  std::set<std::string> dealt;
  for (std::uint32_t self : {10U, 20U, 30U, 40U, 50U}) {
    near_gateways gateways{.domain = "north", .self = self, .others = {50, 10, 40, 20, 30}};
    std::erase(gateways.others, self);
    const std::set<std::string> homes = HomeRanks(ranks, gateways);
    BOOST_TEST((homes.size() == 4 || homes.size() == 5));
    for (const std::string& rank : homes) BOOST_TEST(dealt.insert(rank).second);
  }
  BOOST_TEST((dealt == ranks));
  BOOST_TEST((HomeRanks(ranks, {.domain = "north", .self = 10}) == ranks));
}

// Callers move to one gateway: its home ranks must not fill up while others are free.
BOOST_AUTO_TEST_CASE(a_gateway_with_most_of_the_traffic_uses_the_other_ranks_too) {
  fleet_fixture fleet(4, 16, kReadingEngine, true);
  for (int i = 0; i < 16 * 7; ++i) BOOST_TEST(fleet.Send(0).has_value());
  BOOST_TEST(*std::max_element(fleet.true_load.begin(), fleet.true_load.end()) <= 10);
  BOOST_TEST(*std::min_element(fleet.true_load.begin(), fleet.true_load.end()) >= 5);
}

/// Share of the prompts that come to a rank without a free slot, at two thirds of the capacity and
/// with load messages a quarter of a second apart.
double ShareBehindFullRank(bool dealt) {
  constexpr int kGateways = 6;
  constexpr int kRanks = 24;
  constexpr int kPromptsPerMessage = 20;  // of all gateways, between two messages of one
  fleet_fixture fleet(kGateways, kRanks, kReadingEngine, dealt);
  int behind_full_rank = 0;
  int prompts = 0;
  for (int turn = 0; turn < 2000; ++turn) {
    const int gateway = static_cast<int>(fleet.random() % kGateways);
    const auto load = fleet.Send(gateway);
    if (load) ++prompts;
    if (load && *load > static_cast<int>(kSlots)) ++behind_full_rank;
    if (fleet.sent.size() > kRanks * kSlots * 2 / 3) fleet.Finish(fleet.random() % 100);
    if (turn % kPromptsPerMessage < kGateways) fleet.TellLoad(turn % kPromptsPerMessage);
  }
  return static_cast<double>(behind_full_rank) / prompts;
}

// Many gateways with old loads: the prompts of a moment, short and long ones, met at the same ranks
// and waited for slots there while slots of other ranks were free.
BOOST_AUTO_TEST_CASE(prompts_of_many_gateways_find_free_slots_although_known_loads_are_old) {
  const double undealt = ShareBehindFullRank(false);
  const double dealt = ShareBehindFullRank(true);
  BOOST_TEST_MESSAGE("behind a full rank: " << undealt << " undealt, " << dealt << " dealt");
  constexpr double kMaxShare = 0.01;  // of prompts that wait although a third of the slots is free
  BOOST_TEST(undealt > kMaxShare);    // shows that the load is the one to guard against
  BOOST_TEST(dealt < kMaxShare);
}

}  // namespace
}  // namespace berylbarrow
