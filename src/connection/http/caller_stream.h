#ifndef BERYLBARROW_CONNECTION_HTTP_CALLER_STREAM_H_
#define BERYLBARROW_CONNECTION_HTTP_CALLER_STREAM_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <memory>
#include <string>
#include <utility>

namespace berylbarrow {

/// Server side of TLS 1.2 and later. Throws std::runtime_error that names the file if a file cannot
/// be used, or if the key is not that of the certificate.
std::shared_ptr<boost::asio::ssl::context> MakeTlsContext(const std::string& certificate_file,
                                                          const std::string& private_key_file);

/// The bytes of a connection of a caller: TCP, or TLS over TCP. Models the asynchronous streams of
/// Boost.Beast.
class caller_stream {
 public:
  using tcp_socket = boost::asio::ip::tcp::socket;
  using tls_layer = boost::asio::ssl::stream<tcp_socket&>;
  using executor_type = tcp_socket::executor_type;
  using error_code = boost::system::error_code;

  /// `tls` is null for plain TCP; otherwise it must outlive the stream.
  caller_stream(tcp_socket socket, boost::asio::ssl::context* tls) : socket_(std::move(socket)) {
    if (tls != nullptr) {
      tls_ = std::make_unique<tls_layer>(socket_, *tls);
    }
  }

  executor_type get_executor() { return socket_.get_executor(); }  // NOLINT: name used by Asio

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {  // NOLINT: name used by Asio
    if (tls_) {
      tls_->async_read_some(buffers, std::forward<Handler>(handler));
    } else {
      socket_.async_read_some(buffers, std::forward<Handler>(handler));
    }
  }
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {  // NOLINT: name used by Asio
    if (tls_) {
      tls_->async_write_some(buffers, std::forward<Handler>(handler));
    } else {
      socket_.async_write_some(buffers, std::forward<Handler>(handler));
    }
  }

  bool IsEncrypted() const { return tls_ != nullptr; }
  /// Encrypted streams only.
  template <typename Handler>
  void AsyncHandshake(Handler&& handler) {
    tls_->async_handshake(boost::asio::ssl::stream_base::server, std::forward<Handler>(handler));
  }
  /// Tells the other end that no more bytes follow. `handler` is called for encrypted streams only.
  template <typename Handler>
  void ShutdownSend(Handler&& handler) {
    if (tls_) {
      tls_->async_shutdown(std::forward<Handler>(handler));
      return;
    }
    error_code ignored;
    socket_.shutdown(tcp_socket::shutdown_send, ignored);
  }
  /// Whether bytes have arrived that no read has taken.
  bool HasUnreadBytes() const;
  void CancelReads();
  void Close();

 private:
  tcp_socket socket_;
  std::unique_ptr<tls_layer> tls_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_CALLER_STREAM_H_
