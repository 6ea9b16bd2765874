#include "berylbarrow/connection/http/http_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "connection/http/endpoint.h"
#include "connection/http/http_server_connection.h"

namespace berylbarrow {

http_server::http_server(boost::asio::io_context& context, const std::string& address,
                         const http_server_options& options, const runtime_clock& clock,
                         request_handler& handler)
    : acceptor_(OpenHttpListener(context, address)),
      options_(options),
      clock_(clock),
      handler_(handler) {
  Accept();
}

http_server::~http_server() {
  for (const auto& each : connections_) {
    if (each->HasUnwrittenBytes()) each->ResetOnClose();
  }
}

void http_server::CheckTimeouts(time_point now) {
  const std::vector<std::shared_ptr<http_server_connection>> all(connections_.begin(),
                                                                 connections_.end());
  for (const auto& each : all) each->CheckTimeouts(now);
}

bool http_server::HasUnfinishedExchanges() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& each) { return each->IsUnfinished(); });
}

void http_server::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!error && connections_.size() < options_.max_connections) {
      const auto connection = std::make_shared<http_server_connection>(std::move(socket), *this);
      connections_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void http_server::Remove(http_server_connection& connection) {
  connections_.erase(connection.shared_from_this());
}

}  // namespace berylbarrow
