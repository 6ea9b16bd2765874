#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <sstream>
#include <string>

#include "support/gateway_fleet.h"
#include "support/hostile_crowd.h"
#include "support/loopback_stream.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The settings of the processes under test. A crowd sends more than the memory.
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kMemoryBytes = kMemoryMb << 20U;
constexpr std::size_t kBodyBytes = 2UL << 20U;
constexpr std::size_t kCrowd = 48;
constexpr std::size_t kChunkBytes = 64UL << 10U;
// For messages of up to 16 KiB, the limit of a header.
constexpr std::size_t kLargeCrowd = 250;
constexpr std::size_t kDescriptors = 300;
constexpr std::size_t kConnections = 100;

gateway_fleet_options Options() {
  return {.gateways = 1,
          .upstreams = 1,
          .settings = "limits: {memory_mb: " + std::to_string(kMemoryMb) + "}",
          .max_body_bytes = kBodyBytes};
}

std::string Head(const std::string& fields) {
  return "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: c1\r\n"
         "Authorization: Token k1\r\nDeadline-Remaining-Ms: 30000\r\n" +
         fields + "\r\n";
}

std::string LengthHead(std::size_t length) {
  return Head("Content-Length: " + std::to_string(length) + "\r\n");
}

std::string ChunkedHead() { return Head("Transfer-Encoding: chunked\r\n"); }

std::string Chunk(std::size_t size) {
  std::ostringstream text;
  text << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
  return text.str();
}

unsigned PayStatus(const gateway_fleet& fleet) {
  return Exchange(fleet.CallersAddress(0), "POST", "/pay/x", "book",
                  {{"Host", "h.example"},
                   {"Request-Attempt-Id", "a1"},
                   {"Authorization", "Token k1"},
                   {"Deadline-Remaining-Ms", "20000"}})
      .status;
}

/// Whether the gateway has stayed within its memory and serves an ordinary caller. The caller comes
/// back after refusals if the crowd keeps the upstream busy.
void CheckGatewayIsSound(gateway_fleet& fleet, bool upstream_is_busy = false) {
  if (upstream_is_busy) {
    BOOST_TEST(Eventually([&] { return PayStatus(fleet) == 200U; }));
  } else {
    BOOST_TEST(PayStatus(fleet) == 200U);
  }
  BOOST_TEST(fleet.IsRunning("gateway-0"));
  const std::size_t peak = fleet.PeakMemoryBytes("gateway-0");
  BOOST_TEST_MESSAGE("peak " << (peak >> 10U) << " KiB");
  BOOST_TEST(peak > 0U);
  BOOST_TEST(peak <= kMemoryBytes);
}

void CheckGatewayWithstands(const hostile_message& message, std::size_t size = kCrowd) {
  request_ledger ledger;
  gateway_fleet fleet(Options(), ledger);
  BOOST_TEST_REQUIRE(fleet.AwaitReady());
  hostile_crowd crowd(fleet.CallersAddress(0), size);
  crowd.Send(message);
  CheckGatewayIsSound(fleet);
}

// Guards against a process that ends because callers let it hold their bodies.
BOOST_AUTO_TEST_CASE(a_gateway_withstands_bodies_of_legal_size_that_stop_short_of_the_end) {
  CheckGatewayWithstands({.head = LengthHead(kBodyBytes), .piece = "x", .pieces = kBodyBytes - 1});
}

BOOST_AUTO_TEST_CASE(a_gateway_withstands_bodies_in_large_chunks_that_stop_short_of_the_end) {
  CheckGatewayWithstands(
      {.head = ChunkedHead(), .piece = Chunk(kChunkBytes), .pieces = kBodyBytes / kChunkBytes});
}

BOOST_AUTO_TEST_CASE(a_gateway_withstands_bodies_in_very_small_chunks_that_stop_short_of_the_end) {
  constexpr std::size_t kSmallChunkBytes = 4;
  CheckGatewayWithstands({.head = ChunkedHead(),
                          .piece = Chunk(kSmallChunkBytes),
                          .pieces = kBodyBytes / kSmallChunkBytes});
}

BOOST_AUTO_TEST_CASE(a_gateway_withstands_chunked_bodies_far_over_the_limit) {
  CheckGatewayWithstands(
      {.head = ChunkedHead(), .piece = Chunk(kChunkBytes), .pieces = 4 * kBodyBytes / kChunkBytes});
}

BOOST_AUTO_TEST_CASE(a_gateway_withstands_bodies_that_are_announced_far_over_the_limit) {
  CheckGatewayWithstands({.head = LengthHead(4UL << 30U), .piece = "x", .pieces = 4 * kBodyBytes});
  CheckGatewayWithstands(
      {.head = ChunkedHead() + "ffffffff\r\n", .piece = "x", .pieces = 4 * kBodyBytes});
}

// Guards against holding whole bodies without bound while the upstream is slow.
BOOST_AUTO_TEST_CASE(a_gateway_withstands_whole_bodies_for_a_slow_upstream) {
  request_ledger ledger;
  gateway_fleet fleet(Options(), ledger);
  BOOST_TEST_REQUIRE(fleet.AwaitReady());
  fleet.Upstream(0).Pause(seconds(10));
  hostile_crowd crowd(fleet.CallersAddress(0), kCrowd);
  crowd.Send({.head = LengthHead(kBodyBytes), .piece = "x", .pieces = kBodyBytes});
  CheckGatewayIsSound(fleet, true);
}

// A field of a header takes many times its bytes on the wire once it is parsed.
BOOST_AUTO_TEST_CASE(a_gateway_withstands_headers_of_very_many_fields) {
  constexpr std::size_t kHeaderBytes = 16000;
  std::string fields;
  while (fields.size() < kHeaderBytes) fields += "a:\r\n";
  CheckGatewayWithstands({.head = Head(fields + "Content-Length: 2\r\n") + "x"}, kLargeCrowd);
}

BOOST_AUTO_TEST_CASE(a_gateway_withstands_pipelined_requests) {
  request_ledger ledger;
  gateway_fleet fleet(Options(), ledger);
  BOOST_TEST_REQUIRE(fleet.AwaitReady());
  hostile_crowd crowd(fleet.CallersAddress(0), kLargeCrowd);
  crowd.Send({.head = LengthHead(0), .piece = LengthHead(0), .pieces = 1000});
  CheckGatewayIsSound(fleet, true);
}

// Guards against holding answers without bound for callers that do not read.
BOOST_AUTO_TEST_CASE(a_gateway_withstands_callers_that_do_not_read_large_answers) {
  constexpr std::size_t kAnswerBytes = 4UL << 20U;
  std::atomic<std::size_t> answered{0};
  loopback_server large([&](loopback_stream& stream) {
    while (const auto request = stream.ReadRequest(seconds(60))) {
      const std::string id(request->head.Find("Request-Attempt-Id"));
      const std::string body = id == "c1" ? std::string(kAnswerBytes, 'x') : "done";
      std::string answer = "HTTP/1.1 200 OK\r\nReplica-Signature: s\r\nRequest-Attempt-Id: ";
      answer += id;
      answer += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      answer += body;
      stream.Send(answer);
      ++answered;
    }
  });
  request_ledger ledger;
  gateway_fleet fleet(Options(), ledger);
  fleet.UnlistUpstream("i-0");
  fleet.Store().Put("servers/i-large", {{"service", "roster"},
                                        {"address", large.Address()},
                                        {"zone", "zagreb-a"},
                                        {"version", "v1"},
                                        {"slots", 6},
                                        {"state", "ready"},
                                        {"coldMs", 0},
                                        {"seq", 1}});
  BOOST_TEST_REQUIRE(fleet.AwaitReady());
  hostile_crowd crowd(fleet.CallersAddress(0), kCrowd);
  crowd.Send({.head = LengthHead(0)});
  BOOST_TEST(Eventually([&] { return answered >= kCrowd; }));
  CheckGatewayIsSound(fleet);
}

// Guards against callers who cannot connect because others keep all connections.
BOOST_AUTO_TEST_CASE(a_gateway_withstands_more_connections_than_it_may_hold) {
  request_ledger ledger;
  gateway_fleet_options options = Options();
  options.settings = "limits: {memory_mb: " + std::to_string(kMemoryMb) +
                     ", max_connections: " + std::to_string(kConnections) +
                     ", max_descriptors: " + std::to_string(kDescriptors) + "}";
  gateway_fleet fleet(options, ledger);
  BOOST_TEST_REQUIRE(fleet.AwaitReady());
  hostile_crowd silent(fleet.CallersAddress(0), kConnections);
  hostile_crowd arriving(fleet.CallersAddress(0), kConnections);
  arriving.Send({.head = "POST /pay/x HTTP/1.1\r\nHost: h.example\r\n"});
  hostile_crowd directory(fleet.DirectoryAddress(0), 2 * kDescriptors);
  CheckGatewayIsSound(fleet);
  BOOST_TEST(Exchange(fleet.DirectoryAddress(0), "GET", "/unknown").status == 404U);
  BOOST_TEST(fleet.OpenDescriptors("gateway-0") <= kDescriptors);
}

// An entry passes bodies on through agents. Its limits are in its settings.
struct entry_fleet : process_fleet {
  entry_fleet()
      : process_fleet({.entry_settings = "limits: {memory_mb: " + std::to_string(kMemoryMb) +
                                         ", max_request_bytes: 1048576}"}) {}
};

void CheckEntryWithstands(const hostile_message& message) {
  entry_fleet fleet;
  // Bodies are half as large as those for the gateway.
  hostile_crowd crowd(fleet.Callers("entry-1"), 2 * kCrowd);
  crowd.Send(message);
  BOOST_TEST(Exchange(fleet.Callers("entry-1"), "GET", "/services/payments/status", "",
                      {{"Berylbarrow-Account", "counter"}})
                 .status == 200U);
  BOOST_TEST(fleet.IsRunning("entry-1"));
  const std::size_t peak = fleet.PeakMemoryBytes("entry-1");
  BOOST_TEST_MESSAGE("peak " << (peak >> 10U) << " KiB");
  BOOST_TEST(peak > 0U);
  BOOST_TEST(peak <= kMemoryBytes);
}

const std::string kEntryHead = "POST /services/payments/payments HTTP/1.1\r\nHost: e\r\n";

BOOST_AUTO_TEST_CASE(an_entry_withstands_bodies_of_legal_size_that_stop_short_of_the_end) {
  CheckEntryWithstands({.head = kEntryHead + "Content-Length: 1048576\r\n\r\n",
                        .piece = "x",
                        .pieces = (1UL << 20U) - 1});
}

BOOST_AUTO_TEST_CASE(an_entry_withstands_bodies_in_large_chunks_that_stop_short_of_the_end) {
  CheckEntryWithstands({.head = kEntryHead + "Transfer-Encoding: chunked\r\n\r\n",
                        .piece = Chunk(kChunkBytes),
                        .pieces = (1UL << 20U) / kChunkBytes});
}

BOOST_AUTO_TEST_CASE(an_entry_withstands_chunked_bodies_far_over_the_limit) {
  CheckEntryWithstands({.head = kEntryHead + "Transfer-Encoding: chunked\r\n\r\n",
                        .piece = Chunk(kChunkBytes),
                        .pieces = 4 * (1UL << 20U) / kChunkBytes});
}

}  // namespace
}  // namespace berylbarrow
