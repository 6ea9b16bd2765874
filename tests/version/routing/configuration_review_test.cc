#include "berylbarrow/version/routing/configuration_review.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>

#include "berylbarrow/version/routing/configuration_changes.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using field = configuration_field;
using kind = review_kind;
using section = configuration_section;

routing_content SoundContent() {
  return {.version = 7,
          .routes = {{.name = "draft",
                      .host = "kring.example",
                      .prefix = "/draft/",
                      .kind = request_kind::kStreaming,
                      .timeout = milliseconds(8000),
                      .goal = milliseconds(400),
                      .priority = 1,
                      .resumable = true,
                      .gap_target = milliseconds(120),
                      .services = {{.service = "llm", .weight = 1}}},
                     {.name = "book",
                      .host = "kring.example",
                      .prefix = "/book/",
                      .kind = request_kind::kNonIdempotent,
                      .timeout = milliseconds(800),
                      .goal = milliseconds(120),
                      .services = {{.service = "ledger", .weight = 1}}}},
          .services = {{.name = "llm",
                        .health_path = "/healthz",
                        .max_connections = 590,
                        .cold_start = milliseconds(3000),
                        .cold_requests_per_second = 14,
                        .engine = engine_profile{.slots = 10,
                                                 .stride = 7,
                                                 .step_ms = 4.84,
                                                 .per_sequence_ms = 0.435,
                                                 .read_tokens_per_ms = 74.8,
                                                 .usual_prompt = 835,
                                                 .usual_answer = 158}},
                       {.name = "ledger", .health_path = "/healthz", .max_connections = 500}},
          .accounts = std::vector<client_account>{{.name = "depot", .keys = {"k1", "k2"}},
                                                  {.name = "office", .keys = {"k3"}}}};
}

struct flawed_configuration {
  const char* what;
  kind expected;
  section where;
  field of;
  std::function<void(routing_content&)> spoil;
};

const std::vector<flawed_configuration> kFlaws = {
    {"a service that does not exist", kind::kError, section::kRoutes, field::kServices,
     [](routing_content& c) { c.routes[0].services.push_back({.service = "gone", .weight = 1}); }},
    {"no weight", kind::kError, section::kRoutes, field::kServices,
     [](routing_content& c) { c.routes[0].services[0].weight = 0; }},
    {"a name used twice", kind::kError, section::kRoutes, field::kName,
     [](routing_content& c) { c.routes[1].name = "draft"; }},
    {"a priority that does not exist", kind::kError, section::kRoutes, field::kPriority,
     [](routing_content& c) { c.routes[1].priority = 10; }},
    {"no time", kind::kError, section::kRoutes, field::kTimeout,
     [](routing_content& c) { c.routes[1].timeout = c.routes[1].goal = milliseconds(0); }},
    {"a service listed twice", kind::kError, section::kServices, field::kName,
     [](routing_content& c) { c.services.push_back(c.services[1]); }},
    {"an engine without slots", kind::kError, section::kServices, field::kEngine,
     [](routing_content& c) { c.services[0].engine->slots = 0; }},
    {"experts without a slot", kind::kError, section::kServices, field::kEngine,
     [](routing_content& c) { c.services[0].engine->expert_layers = 12; }},
    {"an account listed twice", kind::kError, section::kAccounts, field::kName,
     [](routing_content& c) { (*c.accounts)[1].name = "depot"; }},
    {"a header of no byte", kind::kError, section::kLimits, field::kHeaderBytes,
     [](routing_content& c) { c.limits.max_header_bytes = 0; }},
    {"a route behind another", kind::kNeverMatches, section::kRoutes, field::kPrefix,
     [](routing_content& c) {
       c.routes[1].prefix = "/draft/";
       c.routes[1].host = "Kring.example:443";
     }},
    {"a prefix that ends inside a segment", kind::kNeverMatches, section::kRoutes, field::kPrefix,
     [](routing_content& c) { c.routes[1].prefix = "/book"; }},
    {"a prefix with a query", kind::kNeverMatches, section::kRoutes, field::kPrefix,
     [](routing_content& c) { c.routes[1].prefix = "/book/?x=/"; }},
    {"a prefix longer than headers may be", kind::kNeverMatches, section::kRoutes, field::kPrefix,
     [](routing_content& c) { c.limits.max_header_bytes = 5; }},
    {"a URL as host", kind::kNeverMatches, section::kRoutes, field::kHost,
     [](routing_content& c) { c.routes[1].host = "https://kring.example"; }},
    {"a key of another account", kind::kNeverMatches, section::kAccounts, field::kKeys,
     [](routing_content& c) {
       (*c.accounts)[1].keys = {"k2", "k4"};
     }},
    {"a key with a line end", kind::kNeverMatches, section::kAccounts, field::kKeys,
     [](routing_content& c) { (*c.accounts)[1].keys = {"k3\n"}; }},
    {"a backend that is never chosen", kind::kNoEffect, section::kRoutes, field::kServices,
     [](routing_content& c) {
       c.routes[0].services.push_back({.service = "ledger", .weight = 0});
     }},
    {"a pause without a stream", kind::kNoEffect, section::kRoutes, field::kGapTarget,
     [](routing_content& c) { c.routes[1].gap_target = milliseconds(100); }},
    {"resuming without a stream", kind::kNoEffect, section::kRoutes, field::kResumable,
     [](routing_content& c) { c.routes[1].resumable = true; }},
    {"a service without a route", kind::kNoEffect, section::kServices, field::kEntry,
     [](routing_content& c) { c.routes.pop_back(); }},
    {"a cold start without a rate", kind::kNoEffect, section::kServices, field::kColdStart,
     [](routing_content& c) { c.services[0].cold_requests_per_second = 0; }},
    {"an account without a key", kind::kNoEffect, section::kAccounts, field::kEntry,
     [](routing_content& c) { (*c.accounts)[1].keys.clear(); }},
    {"keys that no route needs", kind::kNoEffect, section::kAccounts, field::kEntry,
     [](routing_content& c) { c.routes[0].is_public = c.routes[1].is_public = true; }},
    {"a goal above the timeout", kind::kContradiction, section::kRoutes, field::kGoal,
     [](routing_content& c) { c.routes[1].goal = milliseconds(900); }},
    {"a pause above the timeout", kind::kContradiction, section::kRoutes, field::kGapTarget,
     [](routing_content& c) { c.routes[0].gap_target = milliseconds(9000); }},
    {"a goal below the time to read a prompt", kind::kContradiction, section::kRoutes, field::kGoal,
     [](routing_content& c) { c.routes[0].goal = milliseconds(11); }},
    {"a pause below that of one pass", kind::kContradiction, section::kRoutes, field::kGapTarget,
     [](routing_content& c) { c.routes[0].gap_target = milliseconds(30); }},
    {"a timeout below the usual answer", kind::kContradiction, section::kRoutes, field::kTimeout,
     [](routing_content& c) { c.routes[0].timeout = milliseconds(500); }},
    {"fewer connections than slots", kind::kContradiction, section::kServices,
     field::kMaxConnections, [](routing_content& c) { c.services[0].max_connections = 9; }},
    {"keys needed and no account", kind::kContradiction, section::kAccounts, field::kEntry,
     [](routing_content& c) { c.accounts->clear(); }},
};

BOOST_AUTO_TEST_CASE(a_sound_configuration_has_no_findings) {
  BOOST_TEST(ReviewConfiguration(SoundContent()).empty());
}

// Each flaw is found where it is, and brings at most findings that follow from it.
BOOST_AUTO_TEST_CASE(each_flaw_is_found_at_its_place) {
  for (const flawed_configuration& flaw : kFlaws) {
    routing_content content = SoundContent();
    flaw.spoil(content);
    bool found = false;
    for (const review_finding& each : ReviewConfiguration(content)) {
      found = found || (each.kind == flaw.expected && each.place.section == flaw.where &&
                        each.place.field == flaw.of);
    }
    BOOST_TEST(found, flaw.what);
  }
}

BOOST_AUTO_TEST_CASE(a_finding_tells_the_entry_the_value_and_what_is_allowed) {
  routing_content content = SoundContent();
  content.routes[1].goal = milliseconds(900);
  const auto found = ReviewConfiguration(content);
  BOOST_REQUIRE(found.size() == 1U);
  BOOST_TEST(found[0].place.index == 1U);
  BOOST_TEST(found[0].place.entry == "book");
  BOOST_TEST(found[0].message == "is 900 ms, above the timeout of 800 ms");
}

BOOST_AUTO_TEST_CASE(equal_configurations_differ_in_nothing) {
  BOOST_TEST(CompareConfigurations(SoundContent(), SoundContent()).empty());
}

// Guards against keys in the output: an operator may paste it anywhere.
BOOST_AUTO_TEST_CASE(changes_name_entries_and_fields_and_hide_keys) {
  routing_content next = SoundContent();
  next.version = 9;
  next.routes[1].goal = milliseconds(100);
  next.routes.erase(next.routes.begin());
  next.services[1].name = "books";
  next.limits.max_body_bytes = 1;
  (*next.accounts)[0].keys = {"k1", "k5", "k6"};
  const auto changes = CompareConfigurations(SoundContent(), next);
  const auto find = [&](section where, field of, const std::string& entry) {
    const auto found = std::find_if(changes.begin(), changes.end(), [&](const auto& each) {
      return each.place.section == where && each.place.field == of && each.place.entry == entry;
    });
    BOOST_TEST_REQUIRE((found != changes.end()), entry);
    return *found;
  };
  BOOST_TEST(changes.size() == 7U);
  BOOST_TEST(find(section::kRoot, field::kVersion, "").after == "9");
  BOOST_TEST(find(section::kRoutes, field::kEntry, "draft").after.empty());
  BOOST_TEST(find(section::kRoutes, field::kGoal, "book").before == "120 ms");
  BOOST_TEST(find(section::kServices, field::kEntry, "ledger").after.empty());
  BOOST_TEST(find(section::kServices, field::kEntry, "books").before.empty());
  BOOST_TEST(find(section::kLimits, field::kBodyBytes, "").after == "1");
  const auto keys = find(section::kAccounts, field::kKeys, "depot");
  BOOST_TEST(keys.before == "2 keys");
  BOOST_TEST(keys.after == "3 keys, 2 of them new, 1 taken away");
}

BOOST_AUTO_TEST_CASE(a_configuration_that_begins_to_need_keys_is_a_change) {
  routing_content open = SoundContent();
  open.accounts.reset();
  const auto changes = CompareConfigurations(open, SoundContent());
  BOOST_REQUIRE(changes.size() == 3U);
  BOOST_TEST(changes[0].before == "requests need no key");
  BOOST_TEST(changes[0].after == "requests need keys");
}

}  // namespace
}  // namespace berylbarrow
