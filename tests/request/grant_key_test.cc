#include "berylbarrow/request/execution/grant_key.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

// Guards against an entry and an agent that parse different grants from the same key.
BOOST_AUTO_TEST_CASE(FormattedKeyParsesToSameKey) {
  const grant_key key{
      .permission = {.agent = "pay-1", .incarnation = 0xfffffffffffffffe, .epoch = 12},
      .nonce = "a/b"};
  BOOST_TEST(FormatGrantKey(key) == "pay-1/fffffffffffffffe/12/a/b");
  const auto parsed = ParseGrantKey(FormatGrantKey(key));
  BOOST_TEST_REQUIRE(parsed.has_value());
  BOOST_TEST((parsed.value() == key));
}

// Guards against several spellings of one grant, and against keys of unlimited length in records.
BOOST_AUTO_TEST_CASE(NonCanonicalSpellingsAreRejected) {
  for (const std::string& text :
       {std::string(), std::string("pay-1/a9/1"), std::string("pay-1/a9/1/"),
        std::string("/a9/1/n"), std::string("pay-1/A9/1/n"), std::string("pay-1/0a9/1/n"),
        std::string("pay-1/a9/01/n"), std::string("pay-1/a9/-1/n"),
        std::string("pay-1/a9/18446744073709551616/n"), std::string("pay-1/a9/1/n\n"),
        "pay-1/a9/1/" + std::string(kMaxGrantKeyBytes, 'n')}) {
    const auto parsed = ParseGrantKey(text);
    BOOST_TEST(!parsed.has_value(), text);
    BOOST_TEST(!parsed.error().empty());
  }
}

}  // namespace
}  // namespace berylbarrow
