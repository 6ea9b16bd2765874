#include "berylbarrow/request/suspect/suspect_table.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr std::uint64_t kSelf = 1;
constexpr std::uint64_t kOther = 2;

struct fixture {
  manual_clock clock;
  suspect_table table;
  suspect_table peer;

  execution_permission Judge(std::uint64_t fingerprint, bool idempotent = true) const {
    return table.PermissionFor(fingerprint, idempotent, clock.Now());
  }
};

// Guards against a request that goes on crashing upstreams, or a payment that is tried again.
BOOST_FIXTURE_TEST_CASE(SecondDeathRefuses, fixture) {
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  BOOST_TEST((Judge(7) == execution_permission::kExclusive));
  BOOST_TEST((Judge(7, false) == execution_permission::kRefused));
  BOOST_TEST((Judge(8) == execution_permission::kUnrestricted));
  peer.Merge(table.Reports(clock.Now()), clock.Now());
  peer.OnUpstreamDeath(7, kOther, clock.Now());
  table.Merge(peer.Reports(clock.Now()), clock.Now());
  BOOST_TEST((Judge(7) == execution_permission::kRefused));
}

// Guards against two deaths that count as one because two agents see them at the same time, and
// against one death that counts twice because it is reported twice.
BOOST_FIXTURE_TEST_CASE(DeathsOfSeveralAgentsAddUp, fixture) {
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  BOOST_TEST(!table.Merge(table.Reports(clock.Now()), clock.Now()));
  BOOST_TEST((Judge(7) == execution_permission::kExclusive));
  peer.OnUpstreamDeath(7, kOther, clock.Now());
  BOOST_TEST(table.Merge(peer.ReportsFor(7, clock.Now()), clock.Now()));
  BOOST_TEST((Judge(7) == execution_permission::kRefused));
  BOOST_TEST(table.ReportsFor(7, clock.Now()).size() == 2U);
}

// Guards against a cleared request that an older report of a peer makes a suspect again.
BOOST_FIXTURE_TEST_CASE(ClearingOutlivesOlderReports, fixture) {
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  const auto older = table.Reports(clock.Now());
  peer.Merge(older, clock.Now());
  table.OnExclusiveCompletion(7);
  table.Merge(older, clock.Now());
  table.Merge(peer.Reports(clock.Now()), clock.Now());
  BOOST_TEST((Judge(7) == execution_permission::kUnrestricted));
  peer.Merge(table.Reports(clock.Now()), clock.Now());
  BOOST_TEST((peer.PermissionFor(7, true, clock.Now()) == execution_permission::kUnrestricted));
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  BOOST_TEST((Judge(7) == execution_permission::kExclusive));
}

// Guards against entries that two peers keep alive for ever by repeating them to each other.
BOOST_FIXTURE_TEST_CASE(RepeatedReportsDoNotRenewTheAge, fixture) {
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  for (int second = 0; second < 601; ++second) {
    peer.Merge(table.Reports(clock.Now()), clock.Now());
    table.Merge(peer.Reports(clock.Now()), clock.Now());
    clock.Advance(std::chrono::seconds(1));
  }
  table.Expire(clock.Now());
  BOOST_TEST(table.Size() == 0U);
  table.Merge(peer.Reports(clock.Now()), clock.Now());
  BOOST_TEST((Judge(7) == execution_permission::kUnrestricted));
}

// Guards against a table that outgrows the datagram of a heartbeat.
BOOST_FIXTURE_TEST_CASE(OldestEntryMakesRoom, fixture) {
  for (std::uint64_t fingerprint = 1; fingerprint <= suspect_table::kMaxEntries + 1;
       ++fingerprint) {
    table.OnUpstreamDeath(fingerprint, kSelf, clock.Now());
    clock.Advance(std::chrono::milliseconds(1));
  }
  BOOST_TEST(table.Size() == suspect_table::kMaxEntries);
  BOOST_TEST((Judge(1) == execution_permission::kUnrestricted));
  BOOST_TEST((Judge(2) == execution_permission::kExclusive));
}

// Guards against peers with full tables that send each other heartbeats without end, because each
// passes on at once what the other has displaced.
BOOST_FIXTURE_TEST_CASE(FullTableHasNoNewsButOfKnownCounters, fixture) {
  const auto merge = [this](std::uint64_t fingerprint, std::uint32_t deaths) {
    return table.Merge({{.fingerprint = fingerprint, .deaths = deaths, .observer = kSelf}},
                       clock.Now());
  };
  for (std::uint64_t fingerprint = 1; fingerprint <= suspect_table::kMaxEntries; ++fingerprint) {
    BOOST_TEST(merge(fingerprint, 1));
  }
  BOOST_TEST(!merge(1, 1));
  BOOST_TEST(merge(1, 2));
  BOOST_TEST(!merge(1000, 1));
  BOOST_TEST((Judge(1000) == execution_permission::kExclusive));
}

}  // namespace
}  // namespace berylbarrow
