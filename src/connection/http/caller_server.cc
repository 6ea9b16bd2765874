#include "berylbarrow/connection/http/caller_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>
#include <utility>

#include "connection/http/caller_connection.h"
#include "connection/http/endpoint.h"
#include "connection/http/reply.h"

namespace berylbarrow {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Connections over the bound that may be open at once only to be told so.
constexpr std::size_t kMaxRefusedConnections = 64;
constexpr auto kRetryTime = std::chrono::milliseconds(1);
// accept fails at once while the process has no free descriptor.
constexpr auto kAcceptRetryTime = std::chrono::milliseconds(10);

}  // namespace

class caller_server::impl : public caller_host,
                            public std::enable_shared_from_this<caller_server::impl> {
 public:
  impl(asio::io_context& context, caller_server_options options, caller_server::sink sink)
      : options_(std::move(options)),
        sink_(std::move(sink)),
        acceptor_(OpenHttpListener(context, options_.listen_address)),
        accept_timer_(context),
        backlog_timer_(context) {
    if (!options_.tls_certificate_file.empty()) {
      tls_ = MakeTlsContext(options_.tls_certificate_file, options_.tls_private_key_file);
    }
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](error_code error, asio::ip::tcp::socket socket) {
          if (!self->acceptor_.is_open()) {
            return;
          }
          if (error) {
            self->accept_timer_.expires_after(kAcceptRetryTime);
            self->accept_timer_.async_wait([self](error_code cancelled) {
              if (!cancelled && self->acceptor_.is_open()) {
                self->Accept();
              }
            });
            return;
          }
          self->Add(std::move(socket));
          self->Accept();
        });
  }

  void Deliver(const caller_reply& output) {
    if (auto connection = Find(output.caller)) {
      connection->Reply(output);
    }
  }
  void Deliver(const caller_head& output) {
    if (auto connection = Find(output.caller)) {
      connection->Head(output);
    }
  }
  void Deliver(const caller_part& output) {
    if (auto connection = Find(output.caller)) {
      connection->Part(output.bytes);
    }
  }
  void Deliver(const caller_end& output) {
    if (auto connection = Find(output.caller)) {
      connection->End(output.complete);
    }
  }
  void Deliver(const callers_stop_accepting&) {
    stopping_ = true;
    StopListening();
    for (const auto& connection : Connections()) {
      connection->CloseIfIdle();
    }
  }
  template <typename Other>
  void Deliver(const Other&) {}

  void Close() {
    StopListening();
    backlog_timer_.cancel();
    backlog_.clear();
    callers_.clear();
    for (const auto& connection : Connections()) {
      connection->Close();
    }
  }

  std::uint16_t Port() const { return port_; }
  std::size_t ConnectionCount() const { return connections_.size(); }

  std::size_t UnfinishedConnections() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& item) { return item.second->IsUnfinished(); }));
  }

  std::size_t UnwrittenBytes() const {
    std::size_t sum = 0;
    for (const auto& [key, connection] : connections_) {
      sum += connection->UnwrittenBytes();
    }
    return sum;
  }

  caller_server_counters Counters() const {
    return {.requests = counters_.requests,
            .malformed = counters_.malformed,
            .refused_full = counters_.refused_full,
            .refused_connections = counters_.refused_connections,
            .slow_callers = counters_.slow_callers,
            .abandoned = counters_.abandoned,
            .handshakes_failed = counters_.handshakes_failed,
            .refused_memory = counters_.refused_memory};
  }

  const caller_server_options& Options() const override { return options_; }
  caller_count_set& Count() override { return counters_; }
  bool Stopping() const override { return stopping_; }
  asio::ssl::context* Tls() override { return tls_.get(); }

  std::optional<caller_id> Begin(const std::shared_ptr<caller_connection>& connection,
                                 caller_message message) override {
    // While a caller_closed waits for space nothing else may take it. This also bounds backlog_.
    if (!backlog_.empty()) {
      return std::nullopt;
    }
    const auto caller = next_caller_++;
    const bool taken = std::visit(
        [&](auto& content) {
          content.caller = caller;
          return sink_(std::move(content));
        },
        message);
    if (!taken) {
      return std::nullopt;
    }
    callers_.emplace(caller, connection);
    return caller;
  }

  void Finish(caller_id caller, bool abandoned) override {
    if (callers_.erase(caller) > 0 && abandoned) {
      backlog_.push_back({caller});
      if (backlog_.size() == 1) {
        SendBacklog();
      }
    }
  }

  arrival_budget& Budget() override { return budget_; }
  time_point Now() const override { return clock_.Now(); }

  void Forget(caller_connection* connection) override {
    refused_.erase(connection);
    connections_.erase(connection);
  }

 private:
  using connection_table =
      std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>>;

  void Add(asio::ip::tcp::socket socket) {
    error_code error;
    const auto remote = socket.remote_endpoint(error);
    auto connection = std::make_shared<caller_connection>(
        std::move(socket), error ? "" : remote.address().to_string(), shared_from_this());
    if (connections_.size() < options_.max_connections) {
      connections_.emplace(connection.get(), connection);
      connection->Start();
      return;
    }
    ++counters_.refused_connections;
    if (refused_.size() < kMaxRefusedConnections) {
      refused_.emplace(connection.get(), connection);
      connection->StartRefusing(NotRunReply("connections", "too many connections"));
    }
  }

  std::shared_ptr<caller_connection> Find(caller_id caller) const {
    const auto found = callers_.find(caller);
    return found == callers_.end() ? nullptr : found->second;
  }

  std::vector<std::shared_ptr<caller_connection>> Connections() const {
    std::vector<std::shared_ptr<caller_connection>> all;
    for (const auto* table : {&connections_, &refused_}) {
      for (const auto& [key, connection] : *table) {
        all.push_back(connection);
      }
    }
    return all;
  }

  void StopListening() {
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
  }

  void SendBacklog() {
    while (!backlog_.empty()) {
      if (!sink_(backlog_.front())) {
        backlog_timer_.expires_after(kRetryTime);
        backlog_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
          if (!cancelled) {
            self->SendBacklog();
          }
        });
        return;
      }
      backlog_.pop_front();
    }
  }

  caller_server_options options_;
  system_clock clock_;
  arrival_budget budget_{ArrivalBudgetFor(options_.memory_mb)};
  std::shared_ptr<asio::ssl::context> tls_;
  caller_server::sink sink_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = acceptor_.local_endpoint().port();
  asio::steady_timer accept_timer_;
  asio::steady_timer backlog_timer_;
  std::deque<caller_closed> backlog_;  // not yet taken by the sink
  connection_table connections_;
  connection_table refused_;
  std::unordered_map<caller_id, std::shared_ptr<caller_connection>> callers_;
  caller_id next_caller_ = 1;
  bool stopping_ = false;
  caller_count_set counters_;
};

caller_server::caller_server(asio::io_context& context, caller_server_options options,
                             caller_server::sink sink)
    : impl_(std::make_shared<impl>(context, std::move(options), std::move(sink))) {
  impl_->Accept();
}

caller_server::~caller_server() { impl_->Close(); }

void caller_server::Deliver(const entry_output& output) {
  std::visit([this](const auto& content) { impl_->Deliver(content); }, output);
}

void caller_server::Close() { impl_->Close(); }

std::uint16_t caller_server::Port() const { return impl_->Port(); }

std::size_t caller_server::ConnectionCount() const { return impl_->ConnectionCount(); }

std::size_t caller_server::UnfinishedConnections() const { return impl_->UnfinishedConnections(); }

std::size_t caller_server::UnwrittenBytes() const { return impl_->UnwrittenBytes(); }

caller_server_counters caller_server::Counters() const { return impl_->Counters(); }

}  // namespace berylbarrow
