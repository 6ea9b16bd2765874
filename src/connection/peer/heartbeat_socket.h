#ifndef BERYLBARROW_CONNECTION_PEER_HEARTBEAT_SOCKET_H_
#define BERYLBARROW_CONNECTION_PEER_HEARTBEAT_SOCKET_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "berylbarrow/connection/wire/codec.h"

namespace berylbarrow {

/// The UDP socket of a process. Used on the thread of its io_context.
class heartbeat_socket final : public std::enable_shared_from_this<heartbeat_socket> {
 public:
  using udp = boost::asio::ip::udp;
  /// Called with every datagram, cut to kMaxHeartbeatBytes + 1 bytes.
  using receiver = std::function<void(std::string_view datagram, const udp::endpoint& from)>;

  heartbeat_socket(boost::asio::io_context& context, receiver receive);

  boost::system::error_code Bind(const udp::endpoint& local);
  void Start() { Receive(); }
  /// Returns false if the datagram could not be sent at once.
  bool Send(std::string_view datagram, const udp::endpoint& to);
  void Close();

 private:
  void Receive();

  udp::socket socket_;
  boost::asio::steady_timer pause_;
  receiver receive_;
  udp::endpoint from_;
  std::array<char, kMaxHeartbeatBytes + 1> buffer_{};
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_PEER_HEARTBEAT_SOCKET_H_
