#include "berylbarrow/connection/http/http_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "connection/http/endpoint.h"
#include "connection/http/http_server_connection.h"

namespace berylbarrow {
namespace {

// accept fails at once while the process has no free descriptor.
constexpr auto kAcceptRetryTime = std::chrono::milliseconds(10);
// Connections over the limit while others are being closed for them.
constexpr std::size_t kMaxYieldingPlaces = 16;

}  // namespace

http_server::http_server(boost::asio::io_context& context, const std::string& address,
                         const http_server_options& options, const runtime_clock& clock,
                         request_handler& handler, arrival_budget* budget)
    : acceptor_(OpenHttpListener(context, address)),
      options_(options),
      clock_(clock),
      handler_(handler),
      budget_(budget),
      listener_(acceptor_.local_endpoint().port()),
      accept_timer_(context) {
  Accept();
}

http_server::~http_server() {
  for (const auto& each : connections_) {
    each->LeaveBudget();
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
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) return;
        if (!error) {
          Add(std::move(socket));
          Accept();
          return;
        }
        accept_timer_.expires_after(kAcceptRetryTime);
        accept_timer_.async_wait([this](const boost::system::error_code& cancelled) {
          if (!cancelled && acceptor_.is_open()) Accept();
        });
      });
}

void http_server::Add(boost::asio::ip::tcp::socket socket) {
  if (connections_.size() >= options_.max_connections) {
    // The connection that yields is closed later, so that one more is open for a moment.
    const bool has_place = budget_ != nullptr &&
                           connections_.size() < options_.max_connections + kMaxYieldingPlaces &&
                           budget_->YieldPlace(listener_);
    if (!has_place) {
      handler_.OnClosedForOthers("connections");
      return;
    }
  }
  const auto connection = std::make_shared<http_server_connection>(std::move(socket), *this);
  connections_.insert(connection);
  connection->Start();
}

void http_server::Remove(http_server_connection& connection) {
  connections_.erase(connection.shared_from_this());
}

}  // namespace berylbarrow
