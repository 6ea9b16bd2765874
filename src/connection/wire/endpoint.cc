#include "connection/wire/endpoint.h"

#include <charconv>

namespace berylbarrow {

std::optional<ip_endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (failure != std::errc() || end != digits.data() + digits.size()) return std::nullopt;

  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error || address.is_v6() != bracketed) return std::nullopt;
  return ip_endpoint{.address = address, .port = port};
}

std::string FormatEndpoint(const ip_endpoint& endpoint) {
  const std::string port = std::to_string(endpoint.port);
  if (endpoint.address.is_v6()) return "[" + endpoint.address.to_string() + "]:" + port;
  return endpoint.address.to_string() + ":" + port;
}

}  // namespace berylbarrow
