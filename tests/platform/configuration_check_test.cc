#include "berylbarrow/process/cli/configuration_check.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "platform/configuration_schema.h"
#include "platform/configuration_words.h"
#include "support/store_stand_in.h"

namespace berylbarrow::platform {
namespace {

using nlohmann::json;

json Configuration() {
  return json::parse(R"({
    "version": 7,
    "routes": [{"name": "draft", "hostname": "kring.example", "prefix": "/draft/",
                "routeType": "streaming", "timeoutMs": 8000, "goalMs": 400, "priority": 1,
                "service": "llm", "maxAttempts": 2, "public": false, "sticky": true,
                "resumable": true, "gapTargetMs": 120}],
    "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 590, "protocol": "h1",
                  "tls": false, "coldStartS": 3.0, "coldPerS": 14.0,
                  "engine": {"slots": 10, "stride": 7, "step_ms": 4.84, "models": [{"name": "m"}],
                             "usual": {"prompt": 835, "answer": 158}}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "depot", "apiKeys": ["secret-1", "secret-2"], "priority": 1}]
  })");
}

struct check_run {
  int code = 0;
  std::string out;
  std::string err;
};

check_run Check(const std::string& text, const std::string& in_force = "") {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunConfigurationCheck({.path = "next.json", .in_force = in_force}, text,
                                         store_configuration_format(), out, err);
  return {.code = code, .out = out.str(), .err = err.str()};
}

BOOST_AUTO_TEST_CASE(a_sound_configuration_is_summed_up) {
  const check_run run = Check(Configuration().dump());
  BOOST_TEST(run.code == 0);
  BOOST_TEST(run.err.empty(), run.err);
  BOOST_TEST(run.out == "next.json: version 7, 1 routes, 1 services, 1 accounts, 0 findings\n");
}

// Each error names the place, the value and what is allowed.
BOOST_AUTO_TEST_CASE(errors_of_form_name_place_value_and_what_is_allowed) {
  json next = Configuration();
  json& route = next["routes"][0];
  route["routeType"] = "stream";
  route["timeoutMs"] = 1.5;
  route["goalMS"] = 300;
  route["weightedBackends"] = json::array();
  route.erase("hostname");
  next["services"][0]["engine"]["slots"] = 0;
  next["tenants"][0]["apiKeys"] = "secret-1";
  next["limits"] = 5;
  const check_run run = Check(next.dump());
  BOOST_TEST(run.code == 1);
  for (const char* line : {
           "error: routes[0].routeType: is \"stream\"; allowed: idempotent, non_idempotent, "
           "streaming\n",
           "error: routes[0].timeoutMs: is 1.5; allowed: a whole number from 0 to 86400000\n",
           "error: routes[0].goalMS: is not a key of a configuration; it has no effect\n",
           "error: routes[0].hostname: is missing\n",
           "error: routes[0].service: has no effect beside weightedBackends\n",
           "error: services[0].engine.slots: is 0; allowed: a whole number from 1 to "
           "4294967295\n",
           "error: tenants[0].apiKeys: is not a list of texts\n",
           "error: limits: is 5; needed is an object\n",
       }) {
    BOOST_TEST(run.err.find(line) != std::string::npos, line << run.err);
  }
  BOOST_TEST(run.err.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_text_that_is_no_json_is_an_error) {
  const check_run run = Check("{\"version\": 7,");
  BOOST_TEST(run.code == 1);
  BOOST_TEST(run.err.find("next.json: error: ") == 0U, run.err);
}

BOOST_AUTO_TEST_CASE(findings_are_in_the_words_of_the_document) {
  json next = Configuration();
  next["routes"][0]["gapTargetMs"] = 20;
  next["routes"][0]["prefix"] = "/draft";
  next["tenants"][0]["apiKeys"] = json::array();
  const check_run run = Check(next.dump());
  BOOST_TEST(run.code == 1);
  BOOST_TEST(run.err ==
                 "next.json: never matches: routes[0] \"draft\" prefix: is \"/draft\"; prefixes "
                 "begin and end with \"/\"\n"
                 "next.json: contradiction: routes[0] \"draft\" gapTargetMs: is 20 ms, but a pass "
                 "of the idle service \"llm\" takes 34 ms\n"
                 "next.json: no effect: tenants[0] \"depot\": has no key\n",
             run.err);
}

// The version in force is read from the platform's store.
BOOST_AUTO_TEST_CASE(differences_to_the_store_are_listed_without_keys) {
  store_stand_in store;
  store.Put("op/config", Configuration());
  json next = Configuration();
  next["version"] = 8;
  next["routes"][0]["goalMs"] = 300;
  next["tenants"][0]["apiKeys"] = {"secret-2", "secret-3"};
  next["tenants"].push_back({{"name", "office"}, {"apiKeys", {"secret-4"}}});
  const check_run run = Check(next.dump(), store.Address());
  BOOST_TEST(run.code == 0, run.err);
  BOOST_TEST(run.out ==
                 "differs from version 7, which is in force:\n"
                 "  version: 7 -> 8\n"
                 "  routes[0] \"draft\" goalMs: 400 ms -> 300 ms\n"
                 "  tenants[0] \"depot\" apiKeys: 2 keys -> 2 keys, 1 of them new, 1 taken away\n"
                 "  tenants[1] \"office\": added\n"
                 "next.json: version 8, 1 routes, 1 services, 2 accounts, 0 findings\n",
             run.out);
}

BOOST_AUTO_TEST_CASE(a_version_that_would_not_be_put_in_force_is_an_error) {
  store_stand_in store;
  store.Put("op/config", Configuration());
  json next = Configuration();
  next["routes"][0]["goalMs"] = 300;
  const check_run run = Check(next.dump(), store.Address());
  BOOST_TEST(run.code == 1);
  BOOST_TEST(run.err.find("error: version: is 7; gateways keep version 7") != std::string::npos,
             run.err);
  const check_run equal = Check(Configuration().dump(), store.Address());
  BOOST_TEST(equal.code == 0, equal.err);
  BOOST_TEST(equal.out.find("equal to version 7") == 0U, equal.out);
}

BOOST_AUTO_TEST_CASE(a_version_in_force_that_cannot_be_read_is_reported) {
  BOOST_TEST(Check(Configuration().dump(), "no-such-file.json").code == 2);
  store_stand_in store;
  const check_run empty = Check(Configuration().dump(), store.Address());
  BOOST_TEST(empty.code == 2);
  BOOST_TEST(empty.err.find("the store holds no configuration") != std::string::npos, empty.err);
  const std::string path = "in_force." + std::to_string(getpid()) + ".json";
  std::ofstream(path) << Configuration().dump(2);
  BOOST_TEST(Check(Configuration().dump(), path).code == 0);
  std::remove(path.c_str());
}

BOOST_AUTO_TEST_CASE(settings_and_published_documents_are_no_configurations) {
  const store_configuration_format format;
  BOOST_TEST(format.IsConfiguration("\n { \"version\": 1 }"));
  BOOST_TEST(!format.IsConfiguration("process: {name: entry-1}\n"));
  BOOST_TEST(!format.IsConfiguration(""));
}

}  // namespace
}  // namespace berylbarrow::platform
