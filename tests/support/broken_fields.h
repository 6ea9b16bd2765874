#ifndef BERYLBARROW_TESTS_SUPPORT_BROKEN_FIELDS_H_
#define BERYLBARROW_TESTS_SUPPORT_BROKEN_FIELDS_H_

#include <string>
#include <vector>

namespace berylbarrow {

/// Lines of a head whose field name holds a byte that RFC 9110 (5.1) allows in no name.
inline std::vector<std::string> BrokenFieldLines() {
  constexpr int kBlank = 0x20;
  std::vector<int> bytes{0x7f, 0x80, 0xa0, 0xff, '"', '(', '/', '@', '{'};
  for (int byte = 0; byte <= kBlank; ++byte) bytes.push_back(byte);
  std::vector<std::string> lines{": no name", " : no name", " ", "\t"};
  for (const int byte : bytes) {
    const std::string text(1, static_cast<char>(byte));
    lines.push_back(text + "Content-Length: 2");
    lines.push_back("Content" + text + "Length: 2");
    lines.push_back("Content-Length" + text + ": 2");
    lines.push_back(text + "Transfer-Encoding: chunked");
  }
  return lines;
}

/// Whole answers in which `line` stands at different places of the head or of the trailer. `fields`
/// are further fields of the head, each with its line end.
inline std::vector<std::string> AnswersWithLine(const std::string& line,
                                                const std::string& fields = "") {
  const std::string status = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string broken = line + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {status + "X: a\r\n" + broken + "Content-Length: 4\r\n\r\ndone",
          status + "X:\r\n" + broken + "Content-Length: 4\r\n\r\ndone",
          status + "Content-Length: 4\r\n" + broken + "\r\ndone",
          status + chunked + broken + "\r\n4\r\ndone\r\n0\r\n\r\n",
          status + chunked + "\r\n4\r\ndone\r\n0\r\nX: a\r\n" + broken + "\r\n",
          "HTTP/1.1 103 Early Hints\r\nX: a\r\n" + broken + "\r\n" + status +
              "Content-Length: 4\r\n\r\ndone"};
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_BROKEN_FIELDS_H_
