#ifndef BERYLBARROW_TESTS_PLATFORM_GATEWAY_FIXTURE_H_
#define BERYLBARROW_TESTS_PLATFORM_GATEWAY_FIXTURE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "berylbarrow/process/gateway/gateway.h"

namespace berylbarrow {

/// What a stand-in upstream does with one request.
struct scripted_reply {
  enum class connection_action : std::uint8_t { kKeepOpen, kClose, kReset };
  std::string bytes;
  connection_action after = connection_action::kKeepOpen;
};

/// An upstream that answers as a script says. Each connection has a thread.
class scripted_upstream {
 public:
  /// `request`: the whole text of the request.
  using request_handler = std::function<scripted_reply(const std::string& request)>;

  explicit scripted_upstream(request_handler answer);
  ~scripted_upstream();

  std::string Address() const;
  std::vector<std::string> Requests() const;
  /// Connections that the gateway has reset.
  int ResetCount() const { return resets_; }

 private:
  using tcp = boost::asio::ip::tcp;

  void AcceptConnections();
  void ServeConnection(tcp::socket socket);

  request_handler answer_;
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> ending_{false};
  std::atomic<int> resets_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

/// A gateway on loopback whose platform is played by the test.
class gateway_fixture {
 public:
  explicit gateway_fixture(const std::vector<const scripted_upstream*>& upstreams);
  ~gateway_fixture();

  /// The configuration is no longer known to be current, and `age` old.
  void MakeConfigurationStale(duration age);
  /// Sends the text on a connection of its own and returns all that comes back until the end of the
  /// connection, or until `wait` has passed without news.
  std::string SendAndReceive(const std::string& request,
                             std::chrono::milliseconds wait = std::chrono::milliseconds(400)) const;
  /// Whether the last exchange ended with a reset.
  bool LastConnectionWasReset() const { return reset_; }

 private:
  gateway_settings settings_;
  system_clock clock_;
  std::atomic<std::int64_t> stale_ns_{0};
  mutable bool reset_ = false;
  std::thread thread_;
};

/// A request to one of the routes of the world: "pay", "read" or "draft".
std::string MakeRequest(const std::string& route, const std::string& id,
                        const std::string& key = "key-1");
/// A signed answer with a length.
std::string MakeSignedResponse(const std::string& request, unsigned status, const std::string& body,
                               const std::string& fields = "");
/// The value of a field in the text of a request.
std::string HeaderValue(const std::string& request, const std::string& name);

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_PLATFORM_GATEWAY_FIXTURE_H_
