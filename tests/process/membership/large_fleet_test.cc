#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "berylbarrow/process/membership/domain_digest.h"
#include "berylbarrow/process/membership/fleet_members.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr duration kBeatInterval = milliseconds(250);
constexpr duration kStep = milliseconds(10);
constexpr std::size_t kDomains = 5;
constexpr std::size_t kGateways = 98;
constexpr std::size_t kCompanions = 192;

struct fleet_options_of_test {
  double loss = 0;
  std::uint32_t flat_gateways = 16;
};

/// The membership of a whole fleet, with beats and digests over a network that loses datagrams.
class large_fleet {
 public:
  large_fleet(std::uint64_t seed, const fleet_options_of_test& options)
      : random_(seed), options_(options) {
    for (std::size_t i = 0; i < kGateways + kCompanions; ++i) Start(i);
  }

  void Run(duration span) {
    for (const time_point end = now_ + span; now_ < end; now_ += kStep) {
      for (auto& [address, node] : nodes_) {
        if (node.alive && now_ >= node.next_beat) Beat(node);
      }
      auto sent = std::exchange(sent_, {});
      for (const packet& each : sent) Deliver(each);
    }
  }

  void Kill(std::size_t index) { nodes_.at(Address(index)).alive = false; }
  void Start(std::size_t index) {
    const bool is_gateway = index < kGateways;
    fleet_member self{.name = "node-" + std::to_string(index),
                      .role = is_gateway ? member_role::kGateway : member_role::kCompanion,
                      .domain = "domain-" + std::to_string(index % kDomains),
                      .incarnation = random_(),
                      .peers_address = Address(index),
                      .callers_address = is_gateway ? "callers-" + std::to_string(index) : "",
                      .ready = is_gateway,
                      .group = is_gateway ? "" : "group-" + std::to_string(index % 2),
                      .coordinates = index == kGateways || index == kGateways + 1};
    fleet_members_options options{.seeds = {Address(0), Address(1), Address(2)}};
    options.flat_gateways = options_.flat_gateways;
    node& started = nodes_[Address(index)];
    started.members = std::make_unique<fleet_members>(options, self);
    started.alive = true;
    started.sequence = 0;
    started.next_beat = now_ + milliseconds(std::uniform_int_distribution<int>(0, 249)(random_));
  }

  /// Gateways that do not count exactly the running gateways as live.
  std::size_t WrongGateways() {
    std::size_t wrong = 0;
    std::size_t running = 0;
    for (std::size_t i = 0; i < kGateways; ++i) running += nodes_.at(Address(i)).alive ? 1 : 0;
    for (std::size_t i = 0; i < kGateways; ++i) {
      const node& each = nodes_.at(Address(i));
      if (each.alive && each.members->LiveGateways(now_) != running) ++wrong;
    }
    return wrong;
  }

  /// Gateways that name this one in answers to callers of its failure domain.
  std::size_t GatewaysThatName(std::size_t index) {
    const fleet_member& wanted = nodes_.at(Address(index)).members->Self();
    std::size_t naming = 0;
    for (std::size_t i = 0; i < kGateways; ++i) {
      const node& each = nodes_.at(Address(i));
      if (!each.alive || i == index) continue;
      const auto named = each.members->ReadyAddresses(wanted.domain, 2, now_);
      naming += std::count(named.begin(), named.end(), wanted.callers_address) > 0 ? 1U : 0U;
    }
    return naming;
  }

  /// Companions that do not know who coordinates their group.
  std::size_t CompanionsWithoutCoordinator() const {
    std::size_t without = 0;
    for (const auto& [address, each] : nodes_) {
      const fleet_member& self = each.members->Self();
      if (self.role != member_role::kCompanion || self.coordinates) continue;
      const std::string known = each.members->CoordinatorAddress(self.group);
      without += known.empty() || !nodes_.at(known).members->Self().coordinates ? 1U : 0U;
    }
    return without;
  }

  void SetReady(std::size_t index, bool ready) {
    nodes_.at(Address(index)).members->Self().ready = ready;
  }

  /// Most datagrams that one process has received a second since the last call.
  double TakeMostReceived(duration span) {
    std::size_t most = 0;
    for (auto& [address, each] : nodes_) most = std::max(most, std::exchange(each.received, 0));
    return static_cast<double>(most) / std::chrono::duration<double>(span).count();
  }

 private:
  struct node {
    std::unique_ptr<fleet_members> members;
    bool alive = false;
    std::uint64_t sequence = 0;
    time_point next_beat;
    std::size_t received = 0;
  };
  struct packet {
    std::string to;
    std::optional<fleet_beat> beat;
    domain_digest digest;
  };

  static std::string Address(std::size_t index) {
    return "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1) + ":7000";
  }

  void Beat(node& from) {
    from.next_beat = now_ + kBeatInterval;
    fleet_beat beat{.self = from.members->Self(),
                    .sequence = ++from.sequence,
                    .hints = from.members->RandomHints()};
    const beat_targets targets = from.members->Targets(now_);
    for (const std::string& to : targets.direct) Send({.to = to, .beat = beat});
    if (!targets.companions.empty()) {
      const fleet_beat for_companions{.self = from.members->Self(),
                                      .sequence = ++from.sequence,
                                      .hints = from.members->HintsForCompanions()};
      for (const std::string& to : targets.companions) Send({.to = to, .beat = for_companions});
    }
    for (const std::string& to : targets.remote) {
      Send({.to = to, .beat = beat});
      if (from.members->Self().role != member_role::kGateway) continue;
      Send({.to = to,
            .digest = {.domain = from.members->Self().domain,
                       .gateways = from.members->Sightings(now_)}});
    }
    beat.wants_answer = true;
    for (const std::string& to : targets.unknown) Send({.to = to, .beat = beat});
  }

  void Send(packet&& each) {
    if (std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss) return;
    sent_.push_back(std::move(each));
  }

  void Deliver(const packet& each) {
    const auto found = nodes_.find(each.to);
    if (found == nodes_.end() || !found->second.alive) return;
    node& to = found->second;
    ++to.received;
    if (!each.beat) return to.members->OnSightings(each.digest.gateways, now_);
    to.members->OnBeat(*each.beat, now_);
    if (each.beat->wants_answer && to.members->Self().role == member_role::kGateway) {
      Send({.to = each.beat->self.peers_address,
            .beat = fleet_beat{.self = to.members->Self(),
                               .sequence = ++to.sequence,
                               .hints = to.members->RandomHints()}});
    }
  }

  std::mt19937_64 random_;
  fleet_options_of_test options_;
  time_point now_ = kStart;
  std::map<std::string, node> nodes_;  // by address
  std::deque<packet> sent_;
};

// Pattern: 98 gateways and 192 companions. With beats to all, each gateway received 1,156 datagrams
// a second, and the fleet spent a third of its credit on bytes between failure domains.
BOOST_AUTO_TEST_CASE(a_large_fleet_knows_its_gateways_with_few_datagrams) {
  large_fleet fleet(1, {});
  fleet.Run(seconds(5));
  BOOST_TEST(fleet.WrongGateways() == 0U);
  BOOST_TEST(fleet.CompanionsWithoutCoordinator() == 0U);
  fleet.TakeMostReceived(seconds(1));
  fleet.Run(seconds(4));
  BOOST_TEST(fleet.TakeMostReceived(seconds(4)) < 300);
  large_fleet flat(1, {.flat_gateways = 1000});
  flat.Run(seconds(2));
  flat.TakeMostReceived(seconds(2));
  flat.Run(seconds(1));
  BOOST_TEST(flat.TakeMostReceived(seconds(1)) > 1000);
}

// Answers to callers may name a gateway that was killed for contactMs + 3 s at most, 6 s or more.
BOOST_AUTO_TEST_CASE(killed_and_restarted_gateways_are_noticed_although_datagrams_are_lost) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    large_fleet fleet(seed, {.loss = 0.05});
    fleet.Run(seconds(6));
    for (const std::size_t index : {7U, 40U, 41U}) fleet.Kill(index);
    fleet.Run(seconds(4));
    for (const std::size_t index : {7U, 40U, 41U}) BOOST_TEST(fleet.GatewaysThatName(index) == 0U);
    for (const std::size_t index : {7U, 40U, 41U}) fleet.Start(index);
    fleet.Run(seconds(4));
    for (const std::size_t index : {7U, 40U, 41U}) {
      BOOST_TEST(fleet.GatewaysThatName(index) == kGateways - 1);
    }
    BOOST_TEST(fleet.WrongGateways() == 0U);
  }
}

// A gateway that is not ready any more is left out everywhere long before callers ask again.
BOOST_AUTO_TEST_CASE(readiness_reaches_gateways_of_other_failure_domains) {
  large_fleet fleet(4, {});
  fleet.Run(seconds(5));
  fleet.SetReady(11, false);
  fleet.Run(milliseconds(2500));
  BOOST_TEST(fleet.GatewaysThatName(11) == 0U);
}

BOOST_AUTO_TEST_CASE(a_whole_failure_domain_may_be_lost_and_return) {
  large_fleet fleet(5, {.loss = 0.01});
  fleet.Run(seconds(5));
  for (std::size_t i = 0; i < kGateways; i += kDomains) fleet.Kill(i);
  fleet.Run(seconds(4));
  BOOST_TEST(fleet.WrongGateways() == 0U);
  for (std::size_t i = 0; i < kGateways; i += kDomains) fleet.Start(i);
  fleet.Run(seconds(4));
  BOOST_TEST(fleet.WrongGateways() == 0U);
}

BOOST_AUTO_TEST_CASE(digests_fit_into_datagrams_and_survive_the_wire) {
  domain_digest digest{.domain = "zone", .groups = {{.name = "g", .epoch = 3}}};
  for (std::uint32_t i = 0; i < 70; ++i) {
    digest.gateways.push_back({.name = i, .incarnation = 9, .age_ms = 200, .ready = true});
  }
  for (std::uint32_t i = 0; i < 120; ++i) {
    const engine_report report{.address = "10.0.0.1:" + std::to_string(i + 1),
                               .group = "g",
                               .epoch = 3,
                               .pace = 2.5,
                               .running = 4,
                               .waiting = 300};
    digest.engines.push_back(SightingOf(report, milliseconds(40), 0));
  }
  for (std::uint32_t i = 0; i < 600; ++i)
    digest.in_flight.push_back({.upstream = i, .in_flight = 2});
  domain_digest merged{.domain = "zone", .groups = digest.groups};
  const auto datagrams = EncodeDomainDigest(digest);
  for (const std::string& datagram : datagrams) {
    BOOST_TEST(datagram.size() <= 1400U);
    const auto part = DecodeDomainDigest(datagram);
    BOOST_TEST_REQUIRE(part.has_value());
    BOOST_TEST(part->parts == datagrams.size());
    const auto append = [](auto& to, const auto& from) {
      to.insert(to.end(), from.begin(), from.end());
    };
    append(merged.gateways, part->gateways);
    append(merged.engines, part->engines);
    append(merged.in_flight, part->in_flight);
  }
  BOOST_TEST((merged == digest));
  const engine_report report = ReportOf(digest.engines.back(), digest);
  BOOST_TEST(report.group == "g");
  BOOST_TEST(report.epoch == 3U);
  BOOST_TEST(report.pace == 2.5);
  BOOST_TEST(report.waiting == 255U);
  BOOST_TEST(!DecodeDomainDigest("GET / HTTP/1.1").has_value());
}

}  // namespace
}  // namespace berylbarrow
