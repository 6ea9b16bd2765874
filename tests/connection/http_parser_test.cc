#include "berylbarrow/connection/http/http_parser.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <utility>

#include "support/broken_fields.h"

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

/// Parses an answer, and an interim answer before it, in pieces of `step` bytes.
parse_state ParseAnswer(const std::string& answer, std::size_t step) {
  std::optional<response_parser> parser(std::in_place, response_parser::limits{});
  std::string input;
  parse_state state = parse_state::kNeedMore;
  for (std::size_t at = 0; at < answer.size() && state != parse_state::kFailed; at += step) {
    input += answer.substr(at, step);
    state = parser->Parse(input);
    if (state != parse_state::kComplete || parser->Head().status >= 200) continue;
    parser.emplace(response_parser::limits{});
    state = parser->Parse(input);
  }
  return state;
}

// An upstream in trouble sent an answer with a blank or a control byte in the name of a field. A
// line that began with a blank was read as the rest of the field before it.
BOOST_AUTO_TEST_CASE(an_answer_with_a_broken_field_name_is_rejected) {
  for (const std::string& line : BrokenFieldLines()) {
    for (const std::string& answer : AnswersWithLine(line)) {
      for (const std::size_t step : {std::size_t{1}, std::size_t{7}, answer.size()}) {
        BOOST_TEST((ParseAnswer(answer, step) == parse_state::kFailed), answer << ", by " << step);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(blanks_around_values_and_empty_values_are_sound) {
  for (const std::string line :
       {"Y: b", "Y:b", "Y:", "Y: ", "Y:\t \t", "Y: \tb \t", "Y:  b  c", "!#$%&'*+-.^_`|~: b"}) {
    for (const std::string& answer : AnswersWithLine(line)) {
      for (const std::size_t step : {std::size_t{1}, std::size_t{7}, answer.size()}) {
        BOOST_TEST((ParseAnswer(answer, step) == parse_state::kComplete),
                   answer << ", by " << step);
      }
    }
  }
}

}  // namespace
}  // namespace berylbarrow
