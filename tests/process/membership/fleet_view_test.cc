#include "berylbarrow/process/membership/fleet_view.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

/// One service with an upstream in each of the failure domains a and b. The text "b out" takes b
/// out; "plan" empties a.
class fake_parser final : public configuration_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view /*file*/) const override {
    configuration document;
    document.domains = {{.name = "a"}, {.name = "b"}};
    document.services = {
        {.name = "drafting",
         .upstreams = {{.name = "a-1", .domain = "a"}, {.name = "b-1", .domain = "b"}}}};
    if (text == "b out") {
      document.domains[1].state = service_state::kOut;
    }
    if (text == "plan") {
      document.move_plan = {{.name = "empty a", .empty = {"a"}}};
    }
    return document;
  }
};

struct fixture {
  manual_clock clock;
  fake_parser parser;
  fleet_view view{fleet_options{.self = {.name = "entry-1", .domain = "a"}}, parser};

  moment At() const { return {clock.Now(), clock.WallNow()}; }

  upstream_options Upstream(std::size_t index) const {
    return view.Current()->value.services[0].upstreams[index];
  }

  void Beat(const std::string& name, process_state state, std::uint64_t sequence,
            std::uint64_t run = 1) {
    view.On(
        heartbeat_received{
            .from = "x",
            .content = {.sender = {.name = name, .incarnation = run, .generation = run},
                        .sequence = sequence,
                        .state = state,
                        .load = {.in_flight = 2}}},
        At());
  }
};

// Guards against work for an upstream that has announced that it is leaving.
BOOST_FIXTURE_TEST_CASE(LeavingUpstreamIsOutOfService, fixture) {
  view.OnTime(At());
  view.On(document_received{.number = 1, .text = "first"}, At());
  Beat("a-1", process_state::kServing, 1);
  BOOST_TEST(view.UpstreamInService(Upstream(0)));
  Beat("a-1", process_state::kLeaving, 2);
  BOOST_TEST(!view.UpstreamInService(Upstream(0)));
}

// Guards against a lagging list that brings a leaving upstream back.
BOOST_FIXTURE_TEST_CASE(InstanceListCannotOverruleTheAnnouncement, fixture) {
  view.OnTime(At());
  view.On(document_received{.number = 1, .text = "first"}, At());
  Beat("a-1", process_state::kLeaving, 1);
  view.On(instances_received{.instances = {{.name = "a-1", .leaving = false},
                                           {.name = "b-1", .leaving = true}}},
          At());
  BOOST_TEST(!view.UpstreamInService(Upstream(0)));
  BOOST_TEST(!view.UpstreamInService(Upstream(1)));
}

// Guards against an older list that arrives late and brings a leaving upstream back, and against an
// upstream that stays out for good.
BOOST_FIXTURE_TEST_CASE(OlderInstanceListBringsNothingBack, fixture) {
  const auto list = [this](bool leaving) {
    view.On(instances_received{.instances = {{.name = "b-1", .leaving = leaving}}}, At());
    return view.UpstreamInService(Upstream(1));
  };
  view.OnTime(At());
  view.On(document_received{.number = 1, .text = "first"}, At());
  Beat("b-1", process_state::kServing, 1);
  BOOST_TEST(!list(true));
  BOOST_TEST(!list(false));
  clock.Advance(std::chrono::seconds(31));
  BOOST_TEST(list(false));
  BOOST_TEST(!list(true));
  // A replaced process is another instance.
  Beat("b-1", process_state::kServing, 1, 2);
  BOOST_TEST(list(false));
}

// Guards against work for a failure domain that the document takes out.
BOOST_FIXTURE_TEST_CASE(DomainTakenOutIsOutOfService, fixture) {
  view.OnTime(At());
  view.On(document_received{.number = 1, .text = "first"}, At());
  BOOST_TEST(view.UpstreamInService(Upstream(1)));
  view.On(document_received{.number = 2, .text = "b out"}, At());
  BOOST_TEST(!view.UpstreamInService(Upstream(1)));
  BOOST_TEST(!view.DomainInService("b"));
  BOOST_TEST(view.DomainInService("a"));
}

// Guards against an agent that keeps to an earlier step because no datagram reaches it.
BOOST_FIXTURE_TEST_CASE(DispatchCarriesTheStepOfThePlan, fixture) {
  fleet_view agent{
      fleet_options{.self = {.name = "a-1", .role = process_role::kAgent, .domain = "a"}}, parser};
  agent.OnTime(At());
  agent.On(document_received{.number = 1, .text = "plan"}, At());
  agent.On(peer_received{1, dispatch{.sender_revision = 2, .sender_plan_step = 1}}, At());
  BOOST_TEST(agent.DomainInService("a"));
  agent.On(peer_received{1, dispatch{.sender_revision = 1, .sender_plan_step = 1}}, At());
  BOOST_TEST(!agent.DomainInService("a"));
}

// Guards against a new revision that waits for the next heartbeat interval.
BOOST_FIXTURE_TEST_CASE(NewRevisionIsAnnouncedAtOnce, fixture) {
  BOOST_TEST(view.OnTime(At()).heartbeat_due);
  clock.Advance(std::chrono::milliseconds(10));
  BOOST_TEST(!view.OnTime(At()).heartbeat_due);
  view.On(document_received{.number = 1, .text = "first"}, At());
  BOOST_TEST(view.OnTime(At()).heartbeat_due);
}

// Guards against a process that counts itself as a peer, because it is among its own seeds.
BOOST_FIXTURE_TEST_CASE(OwnConnectionIsNotAPeer, fixture) {
  view.On(peer_opened{.connection = 1, .greeting = {.sender = {.name = "entry-1"}}}, At());
  BOOST_TEST(view.Members().Members().empty());
}

// Guards against an unheard upstream that counts as idle while the instance list shows it.
BOOST_FIXTURE_TEST_CASE(UnheardListedUpstreamIsUnknown, fixture) {
  view.OnTime(At());
  view.On(document_received{.number = 1, .text = "first"}, At());
  view.On(instances_received{.instances = {{.name = "a-1"}}}, At());
  const domain_observations observed = view.Observe(clock.Now());
  BOOST_TEST(observed.at("a").unknown == 1U);
  BOOST_TEST(observed.at("b").unknown == 0U);
}

}  // namespace
}  // namespace berylbarrow
