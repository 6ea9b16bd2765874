#ifndef BERYLBARROW_TESTS_SUPPORT_TEXT_EDIT_H_
#define BERYLBARROW_TESTS_SUPPORT_TEXT_EDIT_H_

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/finding.h"

namespace berylbarrow {

/// One edit of a valid text, and the findings it must cause as "LINE:COLUMN: message".
struct edit_case {
  std::string old_text;  // occurs exactly once
  std::string new_text;
  std::vector<std::string> expected;
};

inline std::string Edit(std::string text, const std::string& old_text,
                        const std::string& new_text) {
  const std::size_t at = text.find(old_text);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, "not in the text: " + old_text);
  BOOST_REQUIRE_MESSAGE(text.find(old_text, at + 1) == std::string::npos, "twice: " + old_text);
  return text.replace(at, old_text.size(), new_text);
}

template <typename Value>
std::vector<std::string> Lines(const checked<Value>& result) {
  std::vector<std::string> lines;
  if (!result) {
    for (const finding& each : result.error()) {
      lines.push_back(std::to_string(each.line) + ":" + std::to_string(each.column) + ": " +
                      each.message);
    }
  }
  return lines;
}

/// Checks each case against `parse`, which takes the edited text.
template <typename Parse>
void CheckEdits(const std::string& valid, const std::vector<edit_case>& cases, Parse parse) {
  for (const edit_case& each : cases) {
    const auto lines = Lines(parse(Edit(valid, each.old_text, each.new_text)));
    BOOST_TEST_CONTEXT("edit to: " << each.new_text) {
      BOOST_TEST(lines == each.expected, boost::test_tools::per_element());
    }
  }
}

/// The path of a file of the source folder.
inline std::string SourcePath(const std::string& path) {
  const char* folder = std::getenv("BERYLBARROW_SOURCE");
  BOOST_REQUIRE_MESSAGE(folder != nullptr, "BERYLBARROW_SOURCE is not set");
  return std::string(folder) + "/" + path;
}

inline std::string ReadSource(const std::string& path) {
  std::ifstream file(SourcePath(path), std::ios::binary);
  BOOST_REQUIRE_MESSAGE(file.is_open(), "cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_TEXT_EDIT_H_
