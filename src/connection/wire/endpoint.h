#ifndef BERYLBARROW_CONNECTION_WIRE_ENDPOINT_H_
#define BERYLBARROW_CONNECTION_WIRE_ENDPOINT_H_

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylbarrow {

struct ip_endpoint {
  boost::asio::ip::address address;
  std::uint16_t port = 0;
};

/// Parses "127.0.0.1:80" or "[::1]:80". Host names are not resolved.
std::optional<ip_endpoint> ParseEndpoint(std::string_view text);

std::string FormatEndpoint(const ip_endpoint& endpoint);

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_WIRE_ENDPOINT_H_
