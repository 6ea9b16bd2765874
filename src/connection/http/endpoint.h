#ifndef BERYLBARROW_CONNECTION_HTTP_ENDPOINT_H_
#define BERYLBARROW_CONNECTION_HTTP_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace berylbarrow {

/// Parses "IP:port" or "[IPv6]:port". Throws std::runtime_error that names the address.
boost::asio::ip::tcp::endpoint ParseHttpEndpoint(const std::string& address);

/// The same for datagrams.
boost::asio::ip::udp::endpoint ParseUdpEndpoint(const std::string& address);

/// Opens a listener. Throws std::runtime_error that names the address.
boost::asio::ip::tcp::acceptor OpenHttpListener(boost::asio::io_context& context,
                                                const std::string& address);

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_ENDPOINT_H_
