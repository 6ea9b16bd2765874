#include "support/scripted_upstream.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace berylbarrow {

using std::chrono::milliseconds;

scripted_upstream::scripted_upstream(request_handler handler, reply_time when)
    : handler_(std::move(handler)),
      reply_time_(when),
      acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
      accept_thread_([this] { AcceptConnections(); }) {}

scripted_upstream::~scripted_upstream() {
  stopping_ = true;
  boost::system::error_code ignored;
  tcp::socket wake_up(context_);
  wake_up.connect(acceptor_.local_endpoint(), ignored);
  accept_thread_.join();
  for (std::thread& thread : connection_threads_) thread.join();
}

std::string scripted_upstream::Address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

std::vector<std::string> scripted_upstream::Requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

void scripted_upstream::AcceptConnections() {
  while (!stopping_) {
    boost::system::error_code error;
    tcp::socket socket = acceptor_.accept(error);
    if (error || stopping_) continue;
    connection_threads_.emplace_back(
        [this, accepted = std::move(socket)]() mutable { ServeConnection(std::move(accepted)); });
  }
}

void scripted_upstream::ServeConnection(tcp::socket socket) {
  std::string buffered;
  boost::system::error_code error;
  while (!stopping_) {
    const std::size_t header_size =
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffered), "\r\n\r\n", error);
    if (error == boost::asio::error::connection_reset) ++reset_count_;
    if (error) return;
    std::string length;
    if (reply_time_ == reply_time::kAfterBody) {
      length = HeaderValue(buffered.substr(0, header_size), "Content-Length");
    }
    const std::size_t request_size = header_size + (length.empty() ? 0 : std::stoul(length));
    while (buffered.size() < request_size && !error) {
      std::array<char, 4096> bytes{};
      const std::size_t received_size = socket.read_some(boost::asio::buffer(bytes), error);
      buffered.append(bytes.data(), received_size);
    }
    const std::string request = buffered.substr(0, request_size);
    buffered.erase(0, request_size);
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(request);
    }
    const scripted_reply reply = handler_(request);
    boost::asio::write(socket, boost::asio::buffer(reply.bytes), error);
    if (!reply.endless_bytes.empty()) return SendEndlessly(socket, reply);
    if (!reply.delayed_bytes.empty()) {
      std::this_thread::sleep_for(reply.delay);
      boost::asio::write(socket, boost::asio::buffer(reply.delayed_bytes), error);
    }
    if (reply.action == scripted_reply::connection_action::kKeepOpen) continue;
    return EndConnection(socket, reply.action);
  }
}

void scripted_upstream::EndConnection(tcp::socket& socket,
                                      scripted_reply::connection_action action) {
  boost::system::error_code error;
  switch (action) {
    case scripted_reply::connection_action::kReset:
      std::this_thread::sleep_for(milliseconds(30));  // lets the reply arrive before the reset
      socket.set_option(boost::asio::socket_base::linger(true, 0), error);
      socket.close(error);  // the destructor would close the connection cleanly
      return;
    case scripted_reply::connection_action::kFinish: {
      socket.shutdown(tcp::socket::shutdown_send, error);
      std::array<char, 4096> bytes{};
      while (!error) socket.read_some(boost::asio::buffer(bytes), error);
      return;
    }
    case scripted_reply::connection_action::kStall:
      while (!stopping_) std::this_thread::sleep_for(milliseconds(20));
      return;
    default:
      return;
  }
}

void scripted_upstream::SendEndlessly(tcp::socket& socket, const scripted_reply& reply) {
  boost::system::error_code error;
  while (!stopping_ && !error) {
    std::this_thread::sleep_for(reply.pause);
    endless_byte_count_ +=
        boost::asio::write(socket, boost::asio::buffer(reply.endless_bytes), error);
  }
}

std::string HeaderValue(const std::string& request, const std::string& name) {
  const auto header_start = request.find("\r\n" + name + ": ");
  if (header_start == std::string::npos) return {};
  const auto value_start = header_start + name.size() + 4;
  return request.substr(value_start, request.find("\r\n", value_start) - value_start);
}

}  // namespace berylbarrow
