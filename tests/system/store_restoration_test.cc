#include <boost/test/unit_test.hpp>
#include <string>

#include "support/gateway_fleet.h"

namespace berylbarrow {
namespace {

unsigned Lookup(const gateway_fleet& fleet, int gateway, const std::string& id) {
  return Exchange(fleet.CallersAddress(gateway), "POST", "/read/x", "book " + id,
                  {{"Host", "h.example"},
                   {"Request-Attempt-Id", id},
                   {"Authorization", "Token k1"},
                   {"Deadline-Remaining-Ms", "2500"}})
      .status;
}

// Guards against a gateway that starts after a restoration of the store, reads the older
// configuration there and accepts keys that the lost one may have taken away.
BOOST_AUTO_TEST_CASE(a_gateway_that_restarts_after_a_restoration_waits_for_the_lost_version) {
  request_ledger ledger;
  gateway_fleet fleet({.gateways = 2, .upstreams = 2}, ledger);
  BOOST_REQUIRE(fleet.AwaitReady());
  const std::size_t backup = fleet.Store().MakeBackup();
  fleet.PublishConfiguration(1, 8000);
  const std::size_t in_force = 4;  // two versions at two gateways
  BOOST_REQUIRE(Eventually([&] { return fleet.LogLines("version_in_force").size() == in_force; }));
  fleet.Kill(fleet.GatewayName(1));
  fleet.Store().Restore(backup);
  BOOST_REQUIRE(Eventually([&] { return !fleet.LogLines("lower_version_held").empty(); }));
  BOOST_TEST(fleet.LogLines("store_restored").size() == 1U);

  // A gateway may hear of a version before it has read one, at its first start as well.
  const std::size_t named_before = fleet.LogLines("newer_version_named").size();
  fleet.Start(fleet.GatewayName(1));
  BOOST_REQUIRE(
      Eventually([&] { return fleet.LogLines("newer_version_named").size() > named_before; }));
  BOOST_TEST(Lookup(fleet, 1, "a1") == 503U);
  // The gateway that has the lost version keeps it, and the operator writes a newer one.
  BOOST_TEST(fleet.LogLines("version_lowered").empty());
  fleet.PublishConfiguration(1, 8000);
  BOOST_REQUIRE(fleet.AwaitReady());
  BOOST_TEST(Lookup(fleet, 0, "a2") == 200U);
  BOOST_TEST(Lookup(fleet, 1, "a3") == 200U);
}

}  // namespace
}  // namespace berylbarrow
