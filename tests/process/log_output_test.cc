#include "process/telemetry/log_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace berylbarrow {
namespace {

/// Reads what the pipe holds.
std::string Drain(int descriptor) {
  std::string text;
  std::array<char, 4096> bytes{};
  for (ssize_t count = 0; (count = read(descriptor, bytes.data(), bytes.size())) > 0;) {
    text.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return text;
}

// Guards against a writer that waits for a reader, and against lines that are cut or mixed when the
// reader comes back.
BOOST_AUTO_TEST_CASE(lines_wait_for_a_slow_reader_and_are_dropped_whole) {
  std::array<int, 2> ends{};
  BOOST_TEST_REQUIRE(pipe(ends.data()) == 0);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  log_output output(ends[1]);
  std::ostream stream(&output);
  const std::string line = std::string(99, 'x') + "\n";
  constexpr std::uint64_t kLines = 3000;  // 300 KB
  for (std::uint64_t i = 0; i < kLines; ++i) stream << line << std::flush;
  const std::uint64_t dropped = output.TakeDropped();
  BOOST_TEST(dropped > 0U);
  BOOST_TEST(output.TakeDropped() == 0U);
  std::string text = Drain(ends[0]);
  stream << "last\n" << std::flush;
  text += Drain(ends[0]);
  for (int i = 0; i < 3; ++i) {
    stream << std::flush;
    text += Drain(ends[0]);
  }
  BOOST_TEST(text.size() == (kLines - dropped) * line.size() + 5);
  BOOST_TEST(text.ends_with("x\nlast\n"));
  BOOST_TEST(static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n')) ==
             kLines - dropped + 1);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace berylbarrow
