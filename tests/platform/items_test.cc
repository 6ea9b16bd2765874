#include "platform/items.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow::platform {
namespace {

std::string problem;

constexpr const char* kConfiguration = R"({"version":7,"routes":[
 {"name":"r","hostname":"h.example","prefix":"/a/","routeType":"streaming","timeoutMs":8000,
  "goalMs":500,"priority":1,"weightedBackends":[{"service":"m","weight":90},
  {"service":"n","weight":10}],"maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":120},
 {"name":"p","hostname":"h.example","prefix":"/p/","routeType":"non_idempotent","service":"n",
  "public":true}],
 "services":[{"name":"m","maxConns":408,"coldStartS":3.0,"coldPerS":36.0,"engine":{"slots":12,
  "stride":4,"step_ms":4.55,"per_seq_ms":0.905,"read_per_s":61400.0,"sets":6,"experts":64,
  "placements":11,"spare":4,"expertMb":1700.0,"linkMbps":92000.0,
  "usual":{"prompt":835,"answer":97}}},{"name":"n","coldStartS":0}],
 "limits":{"maxHeaderBytes":1000,"idleTimeoutMs":9000},
 "tenants":[{"name":"t","apiKeys":["k"],"priority":0}]})";

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded) {
  const auto content = DecodeConfiguration(kConfiguration, problem);
  BOOST_TEST_REQUIRE(content.has_value());
  BOOST_TEST(content->version == 7U);
  const route& streaming = content->routes.at(0);
  BOOST_TEST((streaming.kind == request_kind::kStreaming));
  BOOST_TEST(streaming.MayRepeat());
  BOOST_TEST(streaming.services.size() == 2U);
  BOOST_TEST((streaming.gap_target == std::chrono::milliseconds(120)));
  const route& payment = content->routes.at(1);
  BOOST_TEST(!payment.MayRepeat());
  BOOST_TEST(payment.is_public);
  const service_profile& model = content->services.at(0);
  BOOST_TEST((model.cold_start == std::chrono::seconds(3)));
  BOOST_TEST(model.engine->expert_layers == 6U);
  BOOST_TEST(model.engine->read_tokens_per_ms == 61.4);
  BOOST_TEST(!content->services.at(1).engine.has_value());
  BOOST_TEST(content->limits.max_header_bytes == 1000U);
  BOOST_TEST(content->accounts.value().at(0).priority.value() == 0U);
}

BOOST_AUTO_TEST_CASE(a_malformed_configuration_is_rejected_with_a_reason) {
  for (const char* text :
       {"", "[]", "{\"version\":7}", "{\"version\":\"7\",\"routes\":[],\"services\":[]}",
        "{\"version\":7,\"routes\":[{\"name\":\"r\"}],\"services\":[]}"}) {
    problem.clear();
    BOOST_TEST(!DecodeConfiguration(text, problem).has_value());
    BOOST_TEST(!problem.empty());
  }
}

// A platform may write a whole number with a fraction of zero, and a time in fractions of its unit.
BOOST_AUTO_TEST_CASE(numbers_are_decoded_in_each_notation) {
  const auto content = DecodeConfiguration(
      R"({"version":7.0,"routes":[{"name":"r","hostname":"h","prefix":"/","routeType":"idempotent",
        "timeoutMs":2500.5,"goalMs":1e2,"priority":1.0,"maxAttempts":2.0,"service":"m"}],
        "services":[{"name":"m","coldStartS":3,"coldPerS":14,"maxConns":1324.0,
        "engine":{"slots":6.0,"stride":6.0,"read_per_s":61400,"sets":16.0,"experts":192.0,
        "placements":3.0,"spare":2.0,"expertMb":210,"usual":{"prompt":835.2,"answer":96.6}}}],
        "limits":{"maxHeaderBytes":1e3,"idleTimeoutMs":9000.25},
        "tenants":[{"name":"t","apiKeys":["k"],"priority":0.0}]})",
      problem);
  BOOST_TEST_REQUIRE(content.has_value(), problem);
  BOOST_TEST(content->version == 7U);
  BOOST_TEST((content->routes.at(0).timeout == std::chrono::milliseconds(2500)));
  BOOST_TEST((content->routes.at(0).goal == std::chrono::milliseconds(100)));
  BOOST_TEST(content->routes.at(0).max_attempts == 2U);
  BOOST_TEST(content->services.at(0).engine->slots == 6U);
  BOOST_TEST(content->services.at(0).engine->experts == 192U);
  BOOST_TEST(content->services.at(0).engine->usual_answer == 96U);
  BOOST_TEST(content->limits.max_header_bytes == 1000U);
  const auto record = DecodeUpstream("i-1",
                                     R"({"service":"m","address":"10.0.0.1:80","zone":"z",)"
                                     R"("slots":6.0,"state":"ready","coldMs":500.75,"born":1e12})",
                                     problem);
  BOOST_TEST_REQUIRE(record.has_value(), problem);
  BOOST_TEST(record->slots == 6U);
  BOOST_TEST((record->cold_left == std::chrono::milliseconds(500)));
  BOOST_TEST(record->born == 1'000'000'000'000U);
}

BOOST_AUTO_TEST_CASE(valid_upstream_records_are_decoded_and_malformed_ones_rejected) {
  const std::string valid =
      R"({"service":"m","address":"10.0.0.1:80","zone":"z","slots":12,"state":"draining",)"
      R"("coldMs":500,"born":1786594317900,"seq":4})";
  const auto record = DecodeUpstream("i-1", valid, problem);
  BOOST_TEST_REQUIRE(record.has_value());
  BOOST_TEST(record->leaving);
  BOOST_TEST((record->cold_left == std::chrono::milliseconds(500)));
  for (const char* text :
       {"\xff\xfe", "{}",
        R"({"service":"m","address":"nowhere","zone":"z","slots":1,"state":"ready"})",
        R"({"service":"m","address":"10.0.0.1:80","zone":"z","slots":1,"state":"odd"})",
        R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"})",
        R"({"service":"m","address":"10.0.0.1:80","zone":"z","slots":"1","state":"ready"})"}) {
    BOOST_TEST(!DecodeUpstream("i-1", text, problem).has_value());
  }
}

BOOST_AUTO_TEST_CASE(pages_contain_items_and_removals) {
  const auto page = DecodePage(
      R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412,"created":412,"lease":1},)"
      R"({"key":"b","revision":413,"tombstone":true}],"currentRev":413})",
      problem);
  BOOST_TEST_REQUIRE(page.has_value());
  BOOST_TEST(page->items.at(0).value.value() == "node-1");
  BOOST_TEST(!page->items.at(1).value.has_value());
  BOOST_TEST(page->revision == 413U);
  BOOST_TEST(!DecodePage("{\"items\":[]}", problem).has_value());
}

BOOST_AUTO_TEST_CASE(only_standard_padded_base64_is_decoded) {
  BOOST_TEST(DecodeBase64("").value().empty());
  BOOST_TEST(DecodeBase64("Zg==").value() == "f");
  BOOST_TEST(DecodeBase64("Zm8=").value() == "fo");
  BOOST_TEST(DecodeBase64("Zm9v").value() == "foo");
  for (const char* text : {"Z", "Zg=", "Z===", "Zg==Zg==", "Zm9-", "Z g="}) {
    BOOST_TEST(!DecodeBase64(text).has_value());
  }
}

}  // namespace
}  // namespace berylbarrow::platform
