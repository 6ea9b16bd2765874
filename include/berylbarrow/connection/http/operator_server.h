#ifndef BERYLBARROW_CONNECTION_HTTP_OPERATOR_SERVER_H_
#define BERYLBARROW_CONNECTION_HTTP_OPERATOR_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "berylbarrow/process/core/core.h"

namespace berylbarrow {

/// Operator endpoint: GET /state, /status and /metrics, one request per connection, at most 16
/// connections at a time. Answers 503 if the sink is full and 504 after 5 s without a reply.
/// All functions and the sink run on the thread of the io_context, which must outlive the server.
class operator_server {
 public:
  using sink = std::function<bool(operator_query)>;

  /// Binds and listens. Throws std::runtime_error if the address is invalid or cannot be bound.
  operator_server(boost::asio::io_context& context, const std::string& address, sink sink);
  ~operator_server();
  operator_server(const operator_server&) = delete;
  operator_server& operator=(const operator_server&) = delete;

  /// Replies to queries that are no longer waiting are ignored.
  void Deliver(const operator_reply& reply);

  void Close();

  std::uint16_t Port() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_OPERATOR_SERVER_H_
