#ifndef BERYLBARROW_TESTS_CONNECTION_SOCKET_FIXTURE_H_
#define BERYLBARROW_TESTS_CONNECTION_SOCKET_FIXTURE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace berylbarrow {

/// Runs the context until the condition holds; false if it does not within the limit.
template <typename Condition>
bool RunUntil(boost::asio::io_context& context, Condition condition,
              std::chrono::seconds limit = std::chrono::seconds(30)) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    context.restart();
    context.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// Runs the context for `time`, whatever it has to do.
inline void RunFor(boost::asio::io_context& context, std::chrono::milliseconds time) {
  context.restart();
  context.run_for(time);
}

/// The far end of a connection in tests: collects what arrives.
class raw_socket : public std::enable_shared_from_this<raw_socket> {
 public:
  explicit raw_socket(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}

  static std::shared_ptr<raw_socket> Connect(boost::asio::io_context& context, std::uint16_t port) {
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    auto result = std::make_shared<raw_socket>(std::move(socket));
    result->Read();
    return result;
  }

  void Send(std::string bytes) {
    auto copy = std::make_shared<std::string>(std::move(bytes));
    boost::asio::async_write(
        socket_, boost::asio::buffer(*copy),
        [self = shared_from_this(), copy](boost::system::error_code, std::size_t) {});
  }

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(block_),
        [self = shared_from_this()](boost::system::error_code error, std::size_t count) {
          self->received_.append(self->block_.data(), count);
          if (error) {
            self->closed_ = true;
          } else {
            self->Read();
          }
        });
  }

  void FinishSending() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
  void Close() { socket_.close(); }
  /// Closes with RST instead of FIN.
  void Reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }

  const std::string& Received() const { return received_; }
  bool Closed() const { return closed_; }
  bool Has(const std::string& text) const { return received_.find(text) != std::string::npos; }

 private:
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 4096> block_{};
  std::string received_;
  bool closed_ = false;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_CONNECTION_SOCKET_FIXTURE_H_
