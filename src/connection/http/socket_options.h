#ifndef BERYLBARROW_SRC_CONNECTION_HTTP_SOCKET_OPTIONS_H_
#define BERYLBARROW_SRC_CONNECTION_HTTP_SOCKET_OPTIONS_H_

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// Sends small messages at once, and ends the connection when sent bytes stay unacknowledged for
/// `silence_limit`, so that a peer without power or behind a partition is noticed.
inline void SetConnectionOptions(boost::asio::ip::tcp::socket& socket, duration silence_limit) {
  boost::system::error_code ignored;  // a socket that has just failed reports it on its next use
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> limit(
      static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(silence_limit).count()));
  socket.set_option(limit, ignored);
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_CONNECTION_HTTP_SOCKET_OPTIONS_H_
