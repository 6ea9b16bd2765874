#include "berylbarrow/process/telemetry/log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace berylbarrow {
namespace {

/// Collects what is logged while it exists.
class captured_log {
 public:
  explicit captured_log(const log_options& options) : before_(std::cout.rdbuf(text_.rdbuf())) {
    logger::Configure(options, "entry-1", "heredia", clock);
  }
  ~captured_log() {
    std::cout.rdbuf(before_);
    static const system_clock kSystemClock;
    logger::Configure({}, "", "", kSystemClock);
  }
  captured_log(const captured_log&) = delete;
  captured_log& operator=(const captured_log&) = delete;

  std::vector<std::string> Lines() const {
    std::istringstream in(text_.str());
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
      lines.push_back(line);
    }
    return lines;
  }

  manual_clock clock;

 private:
  std::ostringstream text_;
  std::streambuf* before_;
};

// Guards against missing parts of a line and against values that forge lines or fields.
BOOST_AUTO_TEST_CASE(TextLineHasEveryPart) {
  const captured_log log({});
  logger::Event(log_level::kWarning, "routing", "request_refused",
                {{"service", "pay"}, {"detail", "a b\nERROR x=1"}, {"empty", ""}, {"p", "%msg"}});
  BOOST_TEST(log.Lines() ==
                 std::vector<std::string>{
                     "2026-12-01T01:00:00.000Z WARNING routing entry-1 heredia request_refused "
                     "service=pay detail=\"a b\\nERROR x=1\" empty=\"\" p=%msg"},
             boost::test_tools::per_element());
}

// Guards against lines that a JSON reader cannot parse, also for bytes that are not UTF-8.
BOOST_AUTO_TEST_CASE(JsonLineIsOneObject) {
  const captured_log log({.format = log_format::kJson, .modules = {}});
  logger::Event(log_level::kError, "peer", "closed", {{"event", "own"}, {"bytes", "\xff\n"}});
  const auto line = nlohmann::json::parse(log.Lines().at(0));
  BOOST_TEST(line["time"] == "2026-12-01T01:00:00.000Z");
  BOOST_TEST(line["level"] == "ERROR");
  BOOST_TEST(line["module"] == "peer");
  BOOST_TEST(line["process"] == "entry-1");
  BOOST_TEST(line["failure_domain"] == "heredia");
  BOOST_TEST(line["event"] == "closed");
  BOOST_TEST(line["fields"]["event"] == "own");
}

// Guards against a module whose own level is ignored.
BOOST_AUTO_TEST_CASE(ModulesHaveLevelsOfTheirOwn) {
  const captured_log log({.level = log_level::kWarning,
                          .modules = {{"peer", log_level::kDebug}, {"http", log_level::kError}}});
  for (const char* module : {"peer", "http", "core"}) {
    logger::Event(log_level::kDebug, module, "debug");
    logger::Event(log_level::kWarning, module, "warning");
  }
  BOOST_TEST(log.Lines().size() == 3U);
  BOOST_TEST(logger::Enabled(log_level::kDebug, "peer"));
  BOOST_TEST(!logger::Enabled(log_level::kWarning, "http"));
}

// Guards against a flood of one event, and against suppressed events that are never counted.
BOOST_AUTO_TEST_CASE(RepeatedEventsAreSuppressedAndCounted) {
  captured_log log({});
  for (int i = 0; i < 50; ++i) {
    logger::Event(log_level::kInfo, "http", "refused");
    logger::Event(log_level::kInfo, "http", "other");
  }
  BOOST_TEST(log.Lines().size() == 20U);
  log.clock.Advance(std::chrono::milliseconds(1100));
  logger::Event(log_level::kInfo, "http", "refused");
  const auto lines = log.Lines();
  const auto count = [&lines](const std::string& text) {
    return std::count_if(lines.begin(), lines.end(), [&text](const std::string& line) {
      return line.find(text) != std::string::npos;
    });
  };
  BOOST_TEST(count("events_suppressed name=refused suppressed=40") == 1);
  BOOST_TEST(count("events_suppressed name=other suppressed=40") == 1);
  for (int i = 0; i < 12; ++i) {
    logger::Event(log_level::kInfo, "http", "refused");
  }
  logger::Flush();
  BOOST_TEST(log.Lines().back().find("name=refused suppressed=3") != std::string::npos);
}

// Guards against lines of several threads that mix.
BOOST_AUTO_TEST_CASE(ThreadsLogWholeLines) {
  const captured_log log({});
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([i] {
      for (int j = 0; j < 10; ++j) {
        logger::Event(log_level::kInfo, "m" + std::to_string(i), "tick");
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto lines = log.Lines();
  BOOST_TEST(lines.size() == 40U);
  BOOST_TEST(std::all_of(lines.begin(), lines.end(), [](const std::string& line) {
    return line.size() ==
           std::string("2026-12-01T01:00:00.000Z INFO m0 entry-1 heredia tick").size();
  }));
}

}  // namespace
}  // namespace berylbarrow
