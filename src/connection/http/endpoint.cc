#include "connection/http/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace berylbarrow {

using boost::asio::ip::tcp;

tcp::endpoint ParseHttpEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw std::runtime_error("address \"" + address + "\" is not of the form IP:port");
  }
  auto host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
  boost::system::error_code invalid;
  const auto ip = boost::asio::ip::make_address(host, invalid);
  if (error != std::errc{} || stop != end || invalid) {
    throw std::runtime_error("address \"" + address + "\" is not of the form IP:port");
  }
  return {ip, port};
}

boost::asio::ip::udp::endpoint ParseUdpEndpoint(const std::string& address) {
  const tcp::endpoint parsed = ParseHttpEndpoint(address);
  return {parsed.address(), parsed.port()};
}

tcp::acceptor OpenHttpListener(boost::asio::io_context& context, const std::string& address) {
  const auto endpoint = ParseHttpEndpoint(address);
  try {
    return tcp::acceptor(context, endpoint);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + address + ": " + error.code().message());
  }
}

}  // namespace berylbarrow
