#ifndef BERYLBARROW_TESTS_SUPPORT_LOOPBACK_STREAM_H_
#define BERYLBARROW_TESTS_SUPPORT_LOOPBACK_STREAM_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "berylbarrow/connection/http/http_parser.h"

namespace berylbarrow {

struct http_message {
  http_head head;
  std::string body;
};

/// A TCP connection on loopback with blocking calls. One thread at a time may use it, except for
/// Interrupt().
class loopback_stream {
 public:
  using milliseconds = std::chrono::milliseconds;

  explicit loopback_stream(int descriptor);
  ~loopback_stream();
  loopback_stream(const loopback_stream&) = delete;
  loopback_stream& operator=(const loopback_stream&) = delete;

  /// Connects to "IP:port". Returns null if that fails.
  static std::unique_ptr<loopback_stream> Connect(const std::string& address);

  bool Send(std::string_view bytes);
  /// Reads one message. Returns nothing if it is not complete when the connection ends or `limit`
  /// has passed.
  std::optional<http_message> ReadRequest(milliseconds limit);
  std::optional<http_message> ReadAnswer(milliseconds limit);
  /// Whether the other side has closed or reset the connection, and nothing is left to read.
  bool IsEnded();
  /// Closes the connection by a reset.
  void Reset();
  /// Ends the connection in both directions, so that calls of other threads return.
  void Interrupt();

 private:
  template <typename Parser>
  std::optional<http_message> Read(milliseconds limit);

  std::mutex descriptor_mutex_;
  int descriptor_;
  std::string input_;
};

/// Listens on a free loopback port and serves each connection on a thread of its own.
class loopback_server {
 public:
  using connection_handler = std::function<void(loopback_stream&)>;

  explicit loopback_server(connection_handler handler);
  ~loopback_server();

  const std::string& Address() const { return address_; }
  bool IsStopping() const { return stopping_; }
  /// Ends all open connections.
  void InterruptAll();
  /// Stops listening, ends all connections and waits for their threads.
  void Stop();

 private:
  struct connection {
    std::shared_ptr<loopback_stream> stream;
    std::shared_ptr<std::atomic<bool>> done;
    std::thread thread;
  };

  void Accept();
  void Collect();

  connection_handler handler_;
  int listener_ = -1;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<connection> connections_;
  std::thread accept_thread_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_LOOPBACK_STREAM_H_
