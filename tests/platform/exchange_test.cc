#include "platform/exchange.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <regex>

namespace berylbarrow::platform {
namespace {

using std::chrono::milliseconds;

http_head CallerHead() {
  return {.method = "POST",
          .target = "/a/b?c",
          .fields = {{"Host", "h.example"},
                     {"Request-Attempt-Id", "id-1"},
                     {"Authorization", "Token secret"},
                     {"Deadline-Remaining-Ms", "8000"},
                     {"Token-Usage", "1460,80"},
                     {"Last-Event-Id", "12"},
                     {"Tenant", "forged"},
                     {"Expect-Replica", "forged"},
                     {"Connection", "keep-alive, X-Hop"},
                     {"X-Hop", "1"},
                     {"X-Other", "2"}}};
}

std::string JoinedValues(const std::vector<header_field>& fields, const std::string& name) {
  std::string joined;
  for (const header_field& field : fields) {
    if (EqualNames(field.name, name)) joined += "[" + field.value + "]";
  }
  return joined;
}

BOOST_AUTO_TEST_CASE(caller_fields_are_parsed) {
  const caller_facts facts = header_codec().ReadCaller(CallerHead());
  BOOST_TEST(facts.attempt_id == "id-1");
  BOOST_TEST(facts.key == "secret");
  BOOST_TEST((facts.deadline == milliseconds(8000)));
  BOOST_TEST(facts.prompt_tokens == 1460U);
  BOOST_TEST(facts.answer_tokens == 80U);
  BOOST_TEST(facts.last_event.value() == 12U);
}

BOOST_AUTO_TEST_CASE(malformed_caller_fields_are_treated_as_absent) {
  const http_head head{.method = "GET",
                       .target = "/",
                       .fields = {{"Authorization", "Basic x"},
                                  {"Deadline-Remaining-Ms", "soon"},
                                  {"Token-Usage", "x,,9999999999999999999999"}}};
  const caller_facts facts = header_codec().ReadCaller(head);
  BOOST_TEST(facts.key.empty());
  BOOST_TEST(!facts.deadline.has_value());
  BOOST_TEST(facts.prompt_tokens == 0U);
  const http_head too_long{
      .method = "GET", .target = "/", .fields = {{"Deadline-Remaining-Ms", "99999999999999999"}}};
  BOOST_TEST((header_codec().ReadCaller(too_long).deadline == std::chrono::hours(24)));
}

BOOST_AUTO_TEST_CASE(the_upstream_receives_the_account_but_not_the_key) {
  const auto fields = header_codec().AttemptFields(CallerHead(), {.upstream_id = "i-1",
                                                                  .account = "counter",
                                                                  .remaining = milliseconds(7000),
                                                                  .last_event = 15,
                                                                  .priority = 12});
  BOOST_TEST(JoinedValues(fields, "Authorization").empty());
  BOOST_TEST(JoinedValues(fields, "Tenant") == "[counter]");
  BOOST_TEST(JoinedValues(fields, "Expect-Replica") == "[i-1]");
  BOOST_TEST(JoinedValues(fields, "Deadline-Remaining-Ms") == "[7000]");
  BOOST_TEST(JoinedValues(fields, "Last-Event-Id") == "[15]");
  BOOST_TEST(JoinedValues(fields, "Request-Priority") == "[9]");
  BOOST_TEST(JoinedValues(fields, "Request-Attempt-Id") == "[id-1]");
  BOOST_TEST(JoinedValues(fields, "X-Hop").empty());
  BOOST_TEST(JoinedValues(fields, "X-Other") == "[2]");
}

BOOST_AUTO_TEST_CASE(a_public_request_has_no_account_field) {
  const auto fields = header_codec().AttemptFields(
      CallerHead(), {.upstream_id = "i-1", .remaining = milliseconds(0)});
  BOOST_TEST(JoinedValues(fields, "Tenant").empty());
  BOOST_TEST(JoinedValues(fields, "Deadline-Remaining-Ms") == "[1]");
}

BOOST_AUTO_TEST_CASE(upstream_answer_fields_are_parsed) {
  const header_codec codec;
  BOOST_TEST(codec.ReadReply({.status = 503, .fields = {{"Not-Executed", "1"}}}).not_run);
  BOOST_TEST(codec.ReadReply({.status = 421}).is_misdirected);
  const reply_facts facts = codec.ReadReply(
      {.status = 200,
       .fields = {{"Replica-Signature", "x"}, {"Replica-Load", "3,0,8"}, {"Cold-Ms", "250"}}});
  BOOST_TEST(facts.is_signed);
  BOOST_TEST(!facts.not_run);
  BOOST_TEST(facts.load->slots == 8U);
  BOOST_TEST((facts.cold_left == milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(address_and_readiness_requests_are_recognised_by_path) {
  const discovery_api discovery;
  const auto question = discovery.ParseAddressQuery(
      {.method = "GET", .target = "/resolve?name=h&region=r&zone=north"});
  BOOST_TEST_REQUIRE(question.has_value());
  BOOST_TEST(question->domain == "north");
  BOOST_TEST(!discovery.ParseAddressQuery({.method = "GET", .target = "/other"}).has_value());
  BOOST_TEST(discovery.MakeAddressAnswer({"10.0.0.1:80"}, std::chrono::seconds(2)).body ==
             R"({"addresses":["10.0.0.1:80"],"ttlS":2})");
  BOOST_TEST(discovery.IsReadinessProbe({.method = "GET", .target = "/readyz"}));
}

BOOST_AUTO_TEST_CASE(the_shared_prompt_parts_are_all_but_the_last) {
  const header_codec codec;
  const auto parts = [&](const std::string& value) {
    return codec.ReadCaller({.fields = {{"Prompt-Prefix", value}}}).shared_parts;
  };
  BOOST_TEST(parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250") ==
                 (std::vector<std::uint64_t>{0x5c1e07a2, 0x91bd3f06}),
             boost::test_tools::per_element());
  BOOST_TEST(parts("5c1e07a2:800").empty());
  BOOST_TEST(parts("").empty());
  BOOST_TEST(parts("no id:1,5c1e07a2:800").empty());
  std::string many;
  for (int i = 0; i < 1000; ++i) many += "1:1,";
  BOOST_TEST(parts(many + "2:1").size() == 32U);
}

BOOST_AUTO_TEST_CASE(the_rate_limit_of_an_upstream_is_a_decimal_number) {
  const header_codec codec;
  const auto limit = [&](const std::string& value) {
    return codec.ReadReply({.status = 200, .fields = {{"Server-Limit", value}}}).rate_limit;
  };
  BOOST_TEST(limit("2.25").value() == 2.25);
  BOOST_TEST(limit("0").value() == 0);
  for (const char* malformed : {"", "x", "2x", "-1", "nan", "inf", "1e999", "2,5"}) {
    BOOST_TEST(!limit(malformed).has_value(), malformed);
  }
}

BOOST_AUTO_TEST_CASE(an_upstream_says_in_its_answers_that_it_leaves) {
  const auto is_leaving = [](const std::string& value) {
    return header_codec()
        .ReadReply({.status = 200, .fields = {{"Server-Leaving", value}}})
        .is_leaving;
  };
  BOOST_TEST(is_leaving("1"));
  BOOST_TEST(!is_leaving("0"));
  BOOST_TEST(!header_codec().ReadReply({.status = 200}).is_leaving);
}

BOOST_AUTO_TEST_CASE(an_upstream_says_with_a_refusal_how_long_it_wants_nothing) {
  const auto pause = [](unsigned status, const std::string& seconds) {
    return header_codec().ReadReply({.status = status, .fields = {{"Retry-After", seconds}}}).pause;
  };
  BOOST_TEST((pause(503, "2").value() == std::chrono::seconds(2)));
  BOOST_TEST((pause(503, "0.25").value() == milliseconds(250)));
  BOOST_TEST((pause(503, "1e9") == std::nullopt));
  BOOST_TEST((pause(503, "99999999999999").value() == std::chrono::hours(24)));
  BOOST_TEST((pause(503, "Fri, 31 Dec 1999 23:59:59 GMT") == std::nullopt));
  BOOST_TEST((pause(200, "2") == std::nullopt));
}

// Guards against uses of the platform's wire names outside its adapter.
BOOST_AUTO_TEST_CASE(platform_wire_names_occur_only_in_the_platform_folder) {
  const std::regex wire_names(
      "Replica-Signature|Expect-Replica|Request-Attempt-Id|Not-Executed|Deadline-Remaining|"
      "Token-Usage|Replica-Load|At-Server|Server-L(imit|eaving)|kv-watch|kv-range|"
      "op/evacuate|op/config|weightedBackends|gapTargetMs|routeType|/picked|/resolve|/"
      "readyz|\\b(zone|tenant|machine)s?\\b");
  const std::filesystem::path root = std::getenv("BERYLBARROW_SOURCE");
  for (const char* folder : {"src", "include"}) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
      if (!entry.is_regular_file()) continue;
      std::ifstream file(entry.path());
      for (std::string line; std::getline(file, line);) {
        BOOST_TEST(!std::regex_search(line, wire_names), entry.path().string() << ": " << line);
      }
    }
  }
}

}  // namespace
}  // namespace berylbarrow::platform
