#ifndef BERYLBARROW_TESTS_PLATFORM_GATEWAY_FIXTURE_H_
#define BERYLBARROW_TESTS_PLATFORM_GATEWAY_FIXTURE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "berylbarrow/process/gateway/gateway.h"
#include "support/scripted_upstream.h"

namespace berylbarrow {

struct gateway_fixture_options {
  duration shutdown_grace = std::chrono::milliseconds(600);
  duration route_timeout = std::chrono::seconds(3);
  duration address_lifetime = std::chrono::seconds(2);
};

/// Runs a gateway on loopback with a fake platform feed.
class gateway_fixture {
 public:
  explicit gateway_fixture(const std::vector<const scripted_upstream*>& upstreams,
                           const gateway_fixture_options& options = {});
  ~gateway_fixture();

  /// Keeps the thread of the gateway busy for a while, as a large configuration does.
  void BlockThread(duration time) { block_ns_ = time.count(); }
  /// Sends SIGTERM. The gateway ends within its shutdown grace.
  void RequestShutdown();
  /// Blocks until the gateway has ended.
  void WaitForEnd();
  /// Sends raw bytes on a new connection, which is returned.
  boost::asio::ip::tcp::socket Send(boost::asio::io_context& context,
                                    const std::string& request) const;

  /// Where the gateway receives the datagrams of other processes.
  boost::asio::ip::udp::endpoint PeersEndpoint() const;
  /// Stops confirming the configuration as current, and blocks for `age`.
  void MakeConfigurationStale(duration age);
  /// Sends raw bytes on a new connection and returns everything received until the connection
  /// closes or nothing arrives for `idle_timeout`.
  std::string SendAndReceive(const std::string& request, std::chrono::milliseconds idle_timeout =
                                                             std::chrono::milliseconds(400)) const;
  /// Whether the gateway reset the connection of the last SendAndReceive().
  bool LastConnectionWasReset() const { return last_connection_was_reset_; }

 private:
  gateway_settings settings_;
  system_clock clock_;
  std::atomic<std::int64_t> block_ns_{0};      // for which the feed blocks the thread once
  std::atomic<std::int64_t> stale_age_ns_{0};  // 0 while the feed confirms the configuration
  mutable bool last_connection_was_reset_ = false;
  bool shutdown_requested_ = false;
  std::thread thread_;
};

/// An address with a free port below the range from which the system gives ports to outgoing
/// connections, so that no other test takes it before a process under test uses it.
std::string FreeLoopbackAddress();
/// Builds a request to one of the routes of the fixture: "pay" (non-idempotent), "read"
/// (idempotent) or "draft" (resumable stream).
std::string MakeRequest(const std::string& route, const std::string& id,
                        const std::string& key = "key-1",
                        std::chrono::milliseconds deadline = std::chrono::milliseconds(2500));
/// Builds the header of a chunked event stream and the given chunks, and ends the stream if
/// `complete`.
std::string MakeStreamResponse(const std::string& request, const std::vector<std::string>& chunks,
                               bool complete);
/// Builds the chunk of a chunked response.
std::string MakeChunk(const std::string& bytes);
/// Builds a signed response with a Content-Length for the attempt id of `request`.
std::string MakeSignedResponse(const std::string& request, unsigned status, const std::string& body,
                               const std::string& headers = "");

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_PLATFORM_GATEWAY_FIXTURE_H_
