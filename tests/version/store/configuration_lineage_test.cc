#include "berylbarrow/version/store/configuration_lineage.h"

#include <boost/test/unit_test.hpp>

#include "berylbarrow/version/store/evacuation_view.h"

namespace berylbarrow {
namespace {

using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr time_point kSettled = kStart + seconds(2);

// Guards against a configuration that reverts in the seconds before the operator writes it again.
BOOST_AUTO_TEST_CASE(a_restored_store_with_a_lower_version_changes_and_proves_nothing) {
  configuration_lineage lineage({.rewrite_time = seconds(2)});
  BOOST_TEST((lineage.OnStored(7, kStart) == lineage_verdict::kAdopt));
  BOOST_TEST(lineage.ProvesCurrent(kStart, kStart));
  lineage.OnStoreRestored(kStart);
  BOOST_TEST((lineage.OnStored(4, kStart) == lineage_verdict::kHeld));
  BOOST_TEST(!lineage.OnConfirmed(kSettled + seconds(5)));
  // The store lacks writes: one that took a key away may be among them.
  BOOST_TEST(!lineage.ProvesCurrent(kSettled + seconds(5), kSettled + seconds(5)));
  BOOST_TEST((lineage.OnStored(7, kSettled + seconds(6)) == lineage_verdict::kInForce));
  BOOST_TEST(lineage.ProvesCurrent(kSettled + seconds(6), kSettled + seconds(6)));
  BOOST_TEST((lineage.OnStored(9, kSettled + seconds(7)) == lineage_verdict::kAdopt));
}

// Guards against keys that count as current although the version that took them away was lost
// before this process read it.
BOOST_AUTO_TEST_CASE(requests_from_before_the_rewrite_time_prove_nothing) {
  configuration_lineage lineage({.rewrite_time = seconds(2)});
  lineage.OnStored(7, kStart);
  lineage.OnStoreRestored(kStart);
  BOOST_TEST((lineage.OnStored(7, kStart) == lineage_verdict::kInForce));
  BOOST_TEST(!lineage.ProvesCurrent(kStart + seconds(1), kStart + seconds(3)));
  BOOST_TEST(lineage.ProvesCurrent(kSettled, kSettled));
  lineage.OnStoreRestored(kStart + seconds(20));
  BOOST_TEST(!lineage.ProvesCurrent(kStart + seconds(21), kStart + seconds(21)));
}

// Guards against a process that ignores for ever what the operator writes under a lower version.
BOOST_AUTO_TEST_CASE(a_lower_version_that_stands_without_a_failed_read_is_put_in_force) {
  configuration_lineage lineage({.lower_version_delay = seconds(30)});
  lineage.OnStored(7, kStart);
  lineage.OnStoreRestored(kStart);
  lineage.OnStored(4, kStart);
  lineage.OnStored(5, kStart + seconds(20));  // the delay starts anew
  BOOST_TEST(!lineage.OnConfirmed(kStart + seconds(40)));
  lineage.OnReadFailed();
  BOOST_TEST(!lineage.OnConfirmed(kStart + seconds(60)));
  BOOST_TEST(!lineage.OnConfirmed(kStart + seconds(89)));
  BOOST_TEST(lineage.OnConfirmed(kStart + seconds(90)));
  BOOST_TEST(lineage.InForce() == 5U);
  BOOST_TEST(lineage.ProvesCurrent(kStart + seconds(90), kStart + seconds(90)));
}

// Guards against a gateway that has restarted, reads the older configuration of a restored store
// and accepts keys that a newer one has taken away.
BOOST_AUTO_TEST_CASE(a_version_that_another_process_names_is_waited_for) {
  configuration_lineage lineage({.named_version_lifetime = seconds(30)});
  lineage.OnStored(4, kStart);
  BOOST_TEST(lineage.OnNamed(7, kStart));
  // The name may arrive before the first read.
  BOOST_TEST(configuration_lineage({}).OnNamed(7, kStart));
  BOOST_TEST(!lineage.ProvesCurrent(kStart + seconds(1), kStart + seconds(1)));
  lineage.OnNamed(5, kStart + seconds(1));
  BOOST_TEST(!lineage.ProvesCurrent(kStart + seconds(2), kStart + seconds(2)));
  BOOST_TEST((lineage.OnStored(7, kStart + seconds(3)) == lineage_verdict::kAdopt));
  BOOST_TEST(lineage.ProvesCurrent(kStart + seconds(3), kStart + seconds(3)));
  lineage.OnNamed(99, kStart + seconds(3));
  BOOST_TEST(lineage.ProvesCurrent(kStart + seconds(33), kStart + seconds(33)));
}

// Guards against a neighbour's view of the earlier era that counts as a proof because it is young.
BOOST_AUTO_TEST_CASE(the_view_of_another_process_proves_nothing) {
  configuration_lineage lineage({});
  lineage.OnStored(7, kStart);
  lineage.OnStoreRestored(kStart);
  lineage.OnStored(4, kStart);
  BOOST_TEST(!lineage.OnNamed(7, kSettled + seconds(1)));
  BOOST_TEST(!lineage.ProvesCurrent(kSettled + seconds(1), kSettled + seconds(1)));
  BOOST_TEST(lineage.InForce() == 7U);
}

// Guards against another behaviour at a store that was never restored.
BOOST_AUTO_TEST_CASE(without_a_restoration_a_lower_version_is_ignored) {
  configuration_lineage lineage({});
  lineage.OnStored(7, kStart);
  BOOST_TEST((lineage.OnStored(4, kStart) == lineage_verdict::kOlder));
  BOOST_TEST(!lineage.OnConfirmed(kStart + seconds(100)));
  BOOST_TEST(lineage.ProvesCurrent(kStart, kStart));
  BOOST_TEST(lineage.InForce() == 7U);
}

// Guards against work for an evacuated failure domain while its evacuation is not written again.
BOOST_AUTO_TEST_CASE(an_evacuation_that_the_store_has_lost_holds_until_it_is_written_again) {
  evacuation_view view({.rewrite_time = seconds(10)});
  view.Replace({"north", "south"}, kStart);
  view.OnStoreRestored();
  view.Replace({"west"}, kStart);
  BOOST_TEST((view.Domains(kStart) == std::set<std::string>{"north", "south", "west"}));
  view.Put("south");
  // Lost once more: both get the full time again.
  view.OnStoreRestored();
  view.Replace({}, kStart + seconds(9));
  BOOST_TEST(
      (view.Domains(kStart + seconds(18)) == std::set<std::string>{"north", "south", "west"}));
  view.Put("south");
  view.Remove("west");
  BOOST_TEST((view.Domains(kStart + seconds(19)) == std::set<std::string>{"south"}));
  view.Replace({}, kStart + seconds(20));
  BOOST_TEST(view.Domains(kStart + seconds(20)).empty());
}

}  // namespace
}  // namespace berylbarrow
