#include "berylbarrow/version/configuration/configuration_store.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

/// Accepts every text except "invalid".
class fake_parser final : public configuration_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view file) const override {
    if (text == "invalid") {
      return findings{{.file = std::string(file), .line = 1, .column = 1, .message = "invalid"}};
    }
    return configuration{};
  }
};

// Guards against an in-force revision that falls when the service answers an older one.
BOOST_AUTO_TEST_CASE(RevisionNeverFalls) {
  const fake_parser parser;
  configuration_store store(parser);
  BOOST_TEST((store.Offer(3, "three") == offer_result::kAccepted));
  BOOST_TEST((store.Offer(2, "two") == offer_result::kOlder));
  BOOST_TEST(store.Revision() == 3U);
  BOOST_TEST(store.Current()->text == "three");
}

// Guards against a document that is applied although it has findings.
BOOST_AUTO_TEST_CASE(InvalidDocumentIsRefusedAsAWhole) {
  const fake_parser parser;
  configuration_store store(parser);
  store.Offer(1, "one");
  BOOST_TEST((store.Offer(2, "invalid") == offer_result::kInvalid));
  BOOST_TEST(store.Revision() == 1U);
  BOOST_TEST(store.LastRefused() == 2U);
  BOOST_TEST(store.LastFindings().size() == 1U);
}

// Guards against two documents in force under one revision.
BOOST_AUTO_TEST_CASE(SecondTextOfARevisionIsAConflict) {
  const fake_parser parser;
  configuration_store store(parser);
  store.Offer(1, "one");
  BOOST_TEST((store.Offer(1, "other") == offer_result::kConflict));
  BOOST_TEST((store.Offer(1, "one") == offer_result::kKnown));
  BOOST_TEST(store.Current()->text == "one");
}

}  // namespace
}  // namespace berylbarrow
