#include "berylbarrow/request/stream/event_splitter.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

std::string Feed(event_splitter& splitter, std::string bytes) { return splitter.Feed(bytes); }

BOOST_AUTO_TEST_CASE(an_incomplete_event_is_held_back) {
  event_splitter splitter(std::nullopt);
  BOOST_TEST(Feed(splitter, "id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(splitter.PartialEvent() == "id: 2\nda");
  BOOST_TEST(Feed(splitter, "ta: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(splitter.PartialEvent().empty());
  BOOST_TEST(splitter.LastEventId().value() == 2U);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_does_not_repeat_events) {
  event_splitter splitter(std::nullopt);
  Feed(splitter, "id: 1\n\nid: 2\n\nid: 3\nda");
  splitter.PrepareResumption();
  BOOST_TEST(Feed(splitter, "id: 2\n\nid: 3\n\n") == "id: 3\n\n");
  BOOST_TEST(!splitter.HasGap());
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_with_a_gap_is_not_forwarded) {
  event_splitter splitter(std::nullopt);
  Feed(splitter, "id: 1\n\n");
  splitter.PrepareResumption();
  BOOST_TEST(Feed(splitter, "id: 3\n\n").empty());
  BOOST_TEST(splitter.HasGap());
}

BOOST_AUTO_TEST_CASE(a_stream_resumed_by_the_caller_begins_after_its_last_event) {
  event_splitter splitter(12);
  BOOST_TEST(Feed(splitter, "id: 12\r\n\r\nid: 13\r\ndata: x\r\n\r\n") ==
             "id: 13\r\ndata: x\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(bytes_may_arrive_one_by_one) {
  event_splitter splitter(std::nullopt);
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  std::string forwarded;
  for (const char c : text) forwarded += Feed(splitter, std::string(1, c));
  BOOST_TEST(forwarded == text);
  BOOST_TEST(splitter.ForwardedEvents() == 2U);
}

}  // namespace
}  // namespace berylbarrow
