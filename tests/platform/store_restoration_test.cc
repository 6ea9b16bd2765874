#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/socket_fixture.h"
#include "platform/store_feed.h"
#include "support/store_stand_in.h"

namespace berylbarrow::platform {
namespace {

using std::chrono::milliseconds;

/// Keeps what a feed reports.
class recording_sink final : public platform_sink {
 public:
  void OnRouting(routing_content&& content) override { version = content.version; }
  void OnEvacuatedDomains(const std::set<std::string>& domains) override { evacuated = domains; }
  void OnConfigurationCurrent(time_point requested_at) override { current_at = requested_at; }
  void OnUpstreamList(const std::vector<upstream_record>& records) override {
    upstreams.clear();
    for (const upstream_record& record : records) upstreams.insert(record.id);
  }
  void OnUpstreamChanges(const std::vector<upstream_change>& changes) override {
    for (const upstream_change& change : changes) upstreams.insert(change.id);
  }
  void OnStoreReachability(bool, const std::string&) override {}
  void OnStoreEvent(const store_event& event) override { events.push_back(event.what); }
  void OnUnreadableItem(const std::string&, const std::string&) override {}

  std::uint64_t version = 0;
  std::set<std::string> evacuated;
  std::set<std::string> upstreams;
  time_point current_at = time_point::min();
  std::vector<store_event::kind> events;
};

nlohmann::json Configuration(std::uint64_t version) {
  return {{"version", version},
          {"routes", nlohmann::json::array()},
          {"services", nlohmann::json::array()}};
}

nlohmann::json Upstream() {
  return {{"service", "app"}, {"address", "127.0.0.1:1"}, {"zone", "north"},
          {"slots", 1},       {"state", "ready"},         {"born", 1}};
}

struct fixture {
  fixture() {
    store.Put("op/config", Configuration(3));
    store.Put("servers/i-1", Upstream());
    backup = store.MakeBackup();
    store.Put("op/config", Configuration(5));
    store.Put("op/evacuate/south", nlohmann::json::object());
    store.Put("servers/i-2", Upstream());
    feed.Start();
    BOOST_TEST_REQUIRE(Await([&] {
      return sink.version == 5 && sink.evacuated.count("south") == 1 && sink.upstreams.size() == 2;
    }));
  }

  template <typename Condition>
  bool Await(Condition condition) {
    return RunUntil(context, [&] {
      feed.Advance(clock.Now());
      return condition();
    });
  }
  void AwaitRestoration() {
    BOOST_TEST_REQUIRE(Await([&] {
      return sink.upstreams.count("i-2") == 0 && !sink.events.empty() &&
             sink.events.back() == store_event::kind::kConfigurationHeld;
    }));
  }

  boost::asio::io_context context;
  store_stand_in store;
  system_clock clock;
  recording_sink sink;
  std::size_t backup = 0;
  store_feed feed{context,
                  {.address = store.Address(),
                   .timing = {.configuration_wait = milliseconds(300),
                              .upstreams_pause = milliseconds(100),
                              .call_timeout = milliseconds(3000),
                              .retry_timeout = milliseconds(3000)}},
                  clock,
                  sink};
};

// Guards against a store that comes back from a copy and is followed as if nothing had happened:
// versions fall, evacuations end, and keys count as current that a lost version has taken away.
BOOST_FIXTURE_TEST_CASE(a_feed_keeps_what_a_restored_store_has_lost_until_it_is_written_again,
                        fixture) {
  store.Restore(backup);
  const time_point restored_at = clock.Now();
  AwaitRestoration();
  BOOST_TEST(std::count(sink.events.begin(), sink.events.end(), store_event::kind::kRestored) == 1);
  BOOST_TEST(sink.version == 5U);
  BOOST_TEST(sink.evacuated.count("south") == 1U);
  BOOST_TEST((sink.current_at < restored_at));
  BOOST_TEST((feed.View() == store_view{.era = 1, .version = 5}));

  store.Put("op/config", Configuration(5));
  store.Put("op/evacuate/south", nlohmann::json::object());
  store.Put("servers/i-2", Upstream());
  BOOST_TEST(Await([&] { return sink.current_at > restored_at; }));
  BOOST_TEST(Await([&] { return sink.upstreams.size() == 2; }));
  BOOST_TEST(sink.version == 5U);
  store.Put("op/config", Configuration(6));
  BOOST_TEST(Await([&] { return sink.version == 6; }));
}

// Guards against the quiet gap: the restored store has given out as many revisions again as the
// watch had seen, so that it is answered without 410.
BOOST_FIXTURE_TEST_CASE(a_feed_misses_nothing_if_the_store_passes_its_revision_again, fixture) {
  store.SetFault(store_stand_in::fault::kRefusing);
  store.Restore(backup);
  store.Put("servers/i-3", Upstream());
  for (int i = 0; i < 8; ++i) store.Put("other/" + std::to_string(i), Upstream());
  store.SetFault(store_stand_in::fault::kNone);
  AwaitRestoration();
  BOOST_TEST((sink.upstreams == std::set<std::string>{"i-1", "i-3"}));
  // It is lost once more, and what was written after the first time is missing again.
  store.Restore(backup);
  BOOST_TEST(Await([&] { return sink.upstreams == std::set<std::string>{"i-1"}; }));
  BOOST_TEST(std::count(sink.events.begin(), sink.events.end(), store_event::kind::kRestored) == 2);
  BOOST_TEST(sink.version == 5U);
}

// Guards against a proof of another gateway that is taken for one of the configuration in force
// here.
BOOST_FIXTURE_TEST_CASE(a_feed_takes_only_proofs_of_its_own_era_and_version, fixture) {
  store.SetFault(store_stand_in::fault::kSilent);
  const time_point later = clock.Now() + std::chrono::hours(1);
  feed.OnPeerProof({.era = 0, .version = 4}, later);
  feed.OnPeerProof({.era = 0, .version = 6}, later);
  feed.OnPeerProof({.era = 1, .version = 5}, later);
  BOOST_TEST((sink.current_at < later));
  feed.OnPeerProof({.era = 0, .version = 5}, later);
  BOOST_TEST((sink.current_at == later));
}

// Guards against a proof from before the operator could write again what a restored store has lost.
BOOST_FIXTURE_TEST_CASE(a_feed_takes_no_proof_while_the_restored_store_lacks_writes, fixture) {
  store.Restore(backup);
  AwaitRestoration();
  const time_point later = clock.Now() + std::chrono::hours(1);
  feed.OnPeerProof(feed.View(), later);
  BOOST_TEST((sink.current_at < later));
}

}  // namespace
}  // namespace berylbarrow::platform
