#ifndef BERYLBARROW_TESTS_SUPPORT_TCP_RELAY_H_
#define BERYLBARROW_TESTS_SUPPORT_TCP_RELAY_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace berylbarrow {

/// Passes TCP connections on to a target and can disturb them. It runs on a thread of its own; its
/// functions may be called by any thread.
class tcp_relay {
 public:
  /// Both are "IP:port".
  tcp_relay(const std::string& listen, const std::string& target);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  /// Closes every connection. New ones are accepted.
  void Cut();
  /// No byte of the connections open now is passed on any more, and they stay open.
  void Silence();
  /// Bytes are passed on after this time from now on.
  void Delay(std::chrono::milliseconds delay) { delay_ms_ = delay.count(); }

  /// Connections accepted so far.
  std::size_t Accepted() const { return accepted_; }
  /// Bytes passed from the target so far.
  std::size_t BytesFromTarget() const { return bytes_from_target_; }

 private:
  using tcp = boost::asio::ip::tcp;
  struct link;

  void Accept();
  void Pump(const std::shared_ptr<link>& link, bool from_target);

  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  std::vector<std::weak_ptr<link>> links_;
  std::vector<std::shared_ptr<link>> held_;  // silent ones
  std::atomic<std::int64_t> delay_ms_{0};
  std::atomic<std::size_t> accepted_{0};
  std::atomic<std::size_t> bytes_from_target_{0};
  std::thread thread_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_TCP_RELAY_H_
