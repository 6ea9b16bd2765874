#include "berylbarrow/connection/http/http_parser.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

const std::string kChunkedHead =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

// A caller sent small extensions with very many chunks, which no limit of the body counts.
BOOST_AUTO_TEST_CASE(the_extensions_of_all_chunks_are_limited_together) {
  request_parser parser({.header_bytes = 1000, .body_bytes = 1U << 20U});
  std::string input = kChunkedHead;
  BOOST_TEST((parser.Parse(input) == parse_state::kNeedMore));
  parse_state state = parse_state::kNeedMore;
  int chunks = 0;
  for (; state == parse_state::kNeedMore && chunks < 100; ++chunks) {
    input += "1;x=" + std::string(90, 'y') + "\r\nz\r\n";
    state = parser.Parse(input);
  }
  BOOST_TEST((state == parse_state::kFailed));
  BOOST_TEST(parser.HeaderTooLarge());
  BOOST_TEST(chunks <= 12);
}

// A body in pieces took twice its size and more.
BOOST_AUTO_TEST_CASE(a_body_that_arrives_in_pieces_takes_little_more_than_its_size) {
  constexpr std::size_t kPieceBytes = 1000;
  request_parser parser({.body_bytes = 4U << 20U});
  std::string input = kChunkedHead;
  parser.Parse(input);
  for (std::size_t size = kPieceBytes; size <= 1U << 20U; size += kPieceBytes) {
    input += "3e8\r\n" + std::string(kPieceBytes, 'x') + "\r\n";
    BOOST_REQUIRE((parser.Parse(input) == parse_state::kNeedMore));
    BOOST_REQUIRE(parser.Body().size() == size);
    BOOST_REQUIRE(parser.Body().capacity() <= size + size / 4 + 8192);
  }
}

// Very many fields of a few bytes take a multiple of their size on the wire.
BOOST_AUTO_TEST_CASE(the_memory_of_a_head_counts_with_its_fields) {
  request_parser parser({.header_bytes = 16384});
  std::string input = "GET /x HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 1000; ++i) input += "a:\r\n";
  input += "\r\n";
  BOOST_TEST((parser.Parse(input) == parse_state::kComplete));
  BOOST_TEST(parser.HeldBytes() >= 1000 * sizeof(header_field));
}

}  // namespace
}  // namespace berylbarrow
