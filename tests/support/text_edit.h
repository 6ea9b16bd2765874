#ifndef BERYLBARROW_TESTS_SUPPORT_TEXT_EDIT_H_
#define BERYLBARROW_TESTS_SUPPORT_TEXT_EDIT_H_

#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
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

/// Reads a table with one case per line: `OLD => NEW => FINDING => ...`, where `\n` stands for a
/// line break. Empty lines and lines that begin with `# ` are skipped.
inline std::vector<edit_case> ReadCases(const std::string& table) {
  const std::string separator = " => ";
  std::vector<edit_case> cases;
  std::istringstream lines(table);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty() || line.rfind("# ", 0) == 0) {
      continue;
    }
    std::vector<std::string> parts;
    for (std::size_t at = 0; at != std::string::npos;) {
      const std::size_t end = line.find(separator, at);
      parts.push_back(boost::replace_all_copy(line.substr(at, end - at), "\\n", "\n"));
      at = end == std::string::npos ? end : end + separator.size();
    }
    BOOST_REQUIRE_MESSAGE(parts.size() >= 3, "a case needs a finding: " + line);
    cases.push_back({parts[0], parts[1], {parts.begin() + 2, parts.end()}});
  }
  BOOST_REQUIRE(!cases.empty());
  return cases;
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
