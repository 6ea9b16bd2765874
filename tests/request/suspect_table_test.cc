#include "berylbarrow/request/suspect/suspect_table.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr std::uint64_t kSelf = 1;
constexpr std::uint64_t kOther = 2;

struct suspect_fixture {
  manual_clock clock;
  suspect_table table;
  suspect_table peer;

  execution_permission PermissionFor(std::uint64_t fingerprint, bool idempotent = true) const {
    return table.PermissionFor(fingerprint, idempotent, clock.Now());
  }
};

// Guards against a request that keeps crashing upstreams, and against a retry of a non-idempotent
// request, such as a payment, that may have run.
BOOST_FIXTURE_TEST_CASE(SecondDeathRefusesTheRequest, suspect_fixture) {
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  BOOST_TEST((PermissionFor(7) == execution_permission::kExclusive));
  BOOST_TEST((PermissionFor(7, false) == execution_permission::kRefused));
  BOOST_TEST((PermissionFor(8) == execution_permission::kUnrestricted));
  peer.Merge(table.Reports(clock.Now()), clock.Now());
  peer.OnUpstreamDeath(7, kOther, clock.Now());
  table.Merge(peer.Reports(clock.Now()), clock.Now());
  BOOST_TEST((PermissionFor(7) == execution_permission::kRefused));
}

// Guards against counting two deaths as one because two agents see them at the same time, and
// against counting one death twice because it is reported twice.
BOOST_FIXTURE_TEST_CASE(DeathsOfSeveralAgentsAddUp, suspect_fixture) {
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  BOOST_TEST(!table.Merge(table.Reports(clock.Now()), clock.Now()));
  BOOST_TEST((PermissionFor(7) == execution_permission::kExclusive));
  peer.OnUpstreamDeath(7, kOther, clock.Now());
  BOOST_TEST(table.Merge(peer.ReportsFor(7, clock.Now()), clock.Now()));
  BOOST_TEST((PermissionFor(7) == execution_permission::kRefused));
  BOOST_TEST(table.ReportsFor(7, clock.Now()).size() == 2U);
}

// Guards against an older report of a peer that makes a cleared request a suspect again.
BOOST_FIXTURE_TEST_CASE(OlderReportsDoNotUndoClearing, suspect_fixture) {
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  const auto older = table.Reports(clock.Now());
  peer.Merge(older, clock.Now());
  table.OnExclusiveCompletion(7);
  table.Merge(older, clock.Now());
  table.Merge(peer.Reports(clock.Now()), clock.Now());
  BOOST_TEST((PermissionFor(7) == execution_permission::kUnrestricted));
  peer.Merge(table.Reports(clock.Now()), clock.Now());
  BOOST_TEST((peer.PermissionFor(7, true, clock.Now()) == execution_permission::kUnrestricted));
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  BOOST_TEST((PermissionFor(7) == execution_permission::kExclusive));
}

// Guards against entries that two peers keep alive forever by reporting them to each other.
BOOST_FIXTURE_TEST_CASE(RepeatedReportsDoNotResetTheAge, suspect_fixture) {
  table.OnUpstreamDeath(7, kSelf, clock.Now());
  for (int second = 0; second < 601; ++second) {
    peer.Merge(table.Reports(clock.Now()), clock.Now());
    table.Merge(peer.Reports(clock.Now()), clock.Now());
    clock.Advance(std::chrono::seconds(1));
  }
  table.Expire(clock.Now());
  BOOST_TEST(table.Size() == 0U);
  table.Merge(peer.Reports(clock.Now()), clock.Now());
  BOOST_TEST((PermissionFor(7) == execution_permission::kUnrestricted));
}

// Guards against a table that grows beyond the datagram of a heartbeat.
BOOST_FIXTURE_TEST_CASE(FullTableEvictsTheOldestEntry, suspect_fixture) {
  for (std::uint64_t fingerprint = 1; fingerprint <= suspect_table::kMaxEntries + 1;
       ++fingerprint) {
    table.OnUpstreamDeath(fingerprint, kSelf, clock.Now());
    clock.Advance(std::chrono::milliseconds(1));
  }
  BOOST_TEST(table.Size() == suspect_table::kMaxEntries);
  BOOST_TEST((PermissionFor(1) == execution_permission::kUnrestricted));
  BOOST_TEST((PermissionFor(2) == execution_permission::kExclusive));
}

// Guards against an endless exchange of heartbeats between peers with full tables, where each
// reports at once what the other has evicted.
BOOST_FIXTURE_TEST_CASE(FullTableSignalsNewDeathsOfKnownEntriesOnly, suspect_fixture) {
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
  BOOST_TEST((PermissionFor(1000) == execution_permission::kExclusive));
}

}  // namespace
}  // namespace berylbarrow
