#ifndef BERYLBARROW_TESTS_SUPPORT_SCRIPTED_UPSTREAM_H_
#define BERYLBARROW_TESTS_SUPPORT_SCRIPTED_UPSTREAM_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// The raw response of a scripted upstream, and what happens to the connection after it.
struct scripted_reply {
  enum class connection_action : std::uint8_t {
    kKeepOpen,
    kClose,
    kReset,
    kFinish,  // ends the sending direction in order, and discards what still arrives
    kStall,   // keeps the connection and reads nothing more
  };
  std::string bytes;
  connection_action action = connection_action::kKeepOpen;
  /// Sent `delay` after `bytes`, before `action`.
  std::string delayed_bytes;
  std::chrono::milliseconds delay{0};
  /// Sent again and again after `bytes`, with `pause` before each, until the gateway closes the
  /// connection.
  std::string endless_bytes;
  std::chrono::milliseconds pause{0};
};

/// An upstream on loopback whose replies come from a handler. Each connection has its own thread,
/// on which the handler is called.
class scripted_upstream {
 public:
  /// `request`: the raw header and body of the request.
  using request_handler = std::function<scripted_reply(const std::string& request)>;

  /// When the handler is called and the reply is sent.
  enum class reply_time : std::uint8_t {
    kAfterBody,
    kAfterHeader,  // the body of the request is not read
  };

  explicit scripted_upstream(request_handler handler, reply_time when = reply_time::kAfterBody);
  ~scripted_upstream();

  std::string Address() const;
  std::vector<std::string> Requests() const;
  /// Bytes of `endless_bytes` that were written.
  std::size_t EndlessByteCount() const { return endless_byte_count_; }
  /// Number of connections that the gateway has reset.
  int ResetCount() const { return reset_count_; }

 private:
  using tcp = boost::asio::ip::tcp;

  void AcceptConnections();
  void ServeConnection(tcp::socket socket);
  void SendEndlessly(tcp::socket& socket, const scripted_reply& reply);
  void EndConnection(tcp::socket& socket, scripted_reply::connection_action action);

  request_handler handler_;
  reply_time reply_time_;
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> reset_count_{0};
  std::atomic<std::size_t> endless_byte_count_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<std::thread> connection_threads_;
  std::thread accept_thread_;
};

/// Returns the value of a header of a raw request, or an empty string.
std::string HeaderValue(const std::string& request, const std::string& name);

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_SCRIPTED_UPSTREAM_H_
