#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "support/load_table.h"
#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

/// SIGTERM to the processes while load runs; every one must end by itself with exit code 0.
void CheckGracefulShutdown(process_fleet& fleet, const std::vector<std::string>& names) {
  // The account of the load prefers entry-1.
  fleet.StartLoad({"--rate", "40", "--seconds", "4", "--max-attempts", "6"});
  for (const std::string& name : names) {
    const std::string metric = name.rfind("entry", 0) == 0 ? "berylbarrow_requests_in_flight"
                                                           : "berylbarrow_agent_in_flight";
    BOOST_TEST(Eventually([&] { return fleet.Metric(name, metric) > 0; }), name);
  }
  for (const std::string& name : names) fleet.Signal(name, SIGTERM);
  for (const std::string& name : names) BOOST_TEST(fleet.WaitExit(name) == 0, name);
  std::string table;
  BOOST_TEST(fleet.FinishLoad(&table) == 0, table);
  BOOST_TEST(LedgersAgree(table), table);
  BOOST_TEST(RowOf(table, "all").incomplete == 0U, table);
  BOOST_TEST(RowOf(table, "all").unknown == 0U, table);
  BOOST_TEST(RowOf(table, "all").whole > 80U, table);
}

// Each guards against an answer that a graceful shutdown cuts off, an operation whose outcome it
// leaves unknown, and a process that does not end or ends with an error.
BOOST_AUTO_TEST_CASE(EntryEndsGracefully) {
  process_fleet fleet;
  CheckGracefulShutdown(fleet, {"entry-1"});
}

BOOST_AUTO_TEST_CASE(AgentEndsGracefully) {
  process_fleet fleet;
  CheckGracefulShutdown(fleet, {"heredia-draft"});
}

BOOST_AUTO_TEST_CASE(EntryAndAgentEndGracefullyTogether) {
  process_fleet fleet;
  CheckGracefulShutdown(fleet, {"entry-1", "alajuela-draft"});
}

/// A caller with a small receive buffer that reads only when told to.
class slow_reader {
 public:
  slow_reader(const std::string& address, const std::string& body) {
    const auto colon = address.rfind(':');
    const tcp::endpoint entry(boost::asio::ip::make_address(address.substr(0, colon)),
                              static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    socket_.open(entry.protocol());
    socket_.set_option(tcp::socket::receive_buffer_size(16 << 10));
    socket_.connect(entry);
    boost::asio::write(socket_,
                       boost::asio::buffer("POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
                                           "Content-Type: application/json\r\n"
                                           "Berylbarrow-Account: counter\r\nContent-Length: " +
                                           std::to_string(body.size()) + "\r\n\r\n" + body));
  }

  /// Reads to the end of the connection at about `rate` bytes per second.
  std::string ReadAll(std::size_t rate) {
    using clock = std::chrono::steady_clock;
    const auto start = clock::now();
    std::string text;
    std::array<char, 4096> piece{};
    boost::system::error_code error;
    while (!error) {
      text.append(piece.data(), socket_.read_some(boost::asio::buffer(piece), error));
      std::this_thread::sleep_until(start + std::chrono::milliseconds(text.size() * 1000 / rate));
    }
    return text;
  }

 private:
  using tcp = boost::asio::ip::tcp;
  boost::asio::io_context context_;
  tcp::socket socket_{context_};
};

// Guards against an entry that ends while a slow caller is still reading a complete answer.
BOOST_AUTO_TEST_CASE(EntryWritesTheWholeAnswerToASlowReader) {
  process_fleet fleet({.token_ms = 0});
  slow_reader caller(fleet.Callers("entry-1"), DraftBody("long", 100'000));
  const auto in_flight = [&] { return fleet.Metric("entry-1", "berylbarrow_requests_in_flight"); };
  BOOST_TEST(Eventually([&] { return in_flight() > 0; }));
  BOOST_TEST(Eventually([&] { return in_flight() == 0; }));
  fleet.Signal("entry-1", SIGTERM);
  BOOST_REQUIRE(
      Eventually([&] { return fleet.State("entry-1").at("stopped_accepting").get<bool>(); }));
  const std::string answer = caller.ReadAll(300'000);
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  BOOST_TEST(answer.ends_with("\r\n0\r\n\r\n"), "cut off after " << answer.size() << " bytes");
  BOOST_TEST(fleet.WaitExit("entry-1") == 0);
}

}  // namespace
}  // namespace berylbarrow
