#include "connection/peer/heartbeat_socket.h"

#include <boost/asio/buffer.hpp>
#include <chrono>
#include <utility>

namespace berylbarrow {
namespace {

using boost::system::error_code;

// Keeps a socket with a lasting error from using a whole core.
constexpr std::chrono::milliseconds kPauseAfterError{10};

}  // namespace

heartbeat_socket::heartbeat_socket(boost::asio::io_context& context, receiver receive)
    : socket_(context), pause_(context), receive_(std::move(receive)) {}

error_code heartbeat_socket::Bind(const udp::endpoint& local) {
  error_code error;
  socket_.open(local.protocol(), error);
  if (!error) socket_.bind(local, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    error_code ignored;
    socket_.close(ignored);
  }
  return error;
}

bool heartbeat_socket::Send(std::string_view datagram, const udp::endpoint& to) {
  error_code error;
  socket_.send_to(boost::asio::buffer(datagram.data(), datagram.size()), to, 0, error);
  return !error;
}

void heartbeat_socket::Close() {
  error_code ignored;
  socket_.close(ignored);
  pause_.cancel();
}

void heartbeat_socket::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), from_,
      [self = shared_from_this()](const error_code& error, std::size_t count) {
        if (!self->socket_.is_open()) return;
        if (!error) {
          self->receive_({self->buffer_.data(), count}, self->from_);
          if (self->socket_.is_open()) self->Receive();
          return;
        }
        self->pause_.expires_after(kPauseAfterError);
        self->pause_.async_wait([self](const error_code& /*cancelled*/) {
          if (self->socket_.is_open()) self->Receive();
        });
      });
}

}  // namespace berylbarrow
