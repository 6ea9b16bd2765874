#ifndef BERYLBARROW_CONNECTION_HTTP_HTTP_SERVER_H_
#define BERYLBARROW_CONNECTION_HTTP_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "berylbarrow/connection/arrival/arrival_budget.h"
#include "berylbarrow/connection/http/http_parser.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct http_answer {
  unsigned status = 200;
  std::string reason;  // empty: the usual one
  std::vector<header_field> fields;
  std::string body;
  bool close = false;  // the connection ends after this answer
};

/// Where the answer to one request goes. Valid until the answer is complete or `OnCallerGone`.
class answer_sink {
 public:
  virtual ~answer_sink() = default;
  virtual void SendAnswer(const http_answer& answer) = 0;
  /// Sends the head of an answer whose body follows in parts.
  virtual void BeginStream(const http_answer& head) = 0;
  virtual void SendPart(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  /// Ends the connection so that the caller sees that the answer is not complete.
  virtual void Abort() = 0;
};

/// One request while it is being answered.
class served_request {
 public:
  virtual ~served_request() = default;
  /// The caller has left, or reads nothing. The sink must not be used any more.
  virtual void OnCallerGone() = 0;
};

class request_handler {
 public:
  virtual ~request_handler() = default;
  /// A whole request. May answer through `sink` at once and return null.
  virtual std::shared_ptr<served_request> OnRequest(http_head&& head, std::string&& body,
                                                    answer_sink& sink) = 0;
  /// The request could not be read and has been answered with `status`.
  virtual void OnRejectedRequest(unsigned /*status*/, std::string_view /*reason*/) {}
  /// A connection was closed to release its memory or its place for others.
  virtual void OnClosedForOthers(std::string_view /*reason*/) {}
};

struct http_server_options {
  std::uint32_t max_connections = 1024;
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 4U << 20U;
  duration header_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
  duration silence_limit = std::chrono::seconds(5);      // of unacknowledged bytes
  std::size_t max_unsent_bytes = std::size_t{1} << 20U;  // a caller that does not read
};

/// Few operators read metrics.
constexpr std::uint32_t kMaxMetricsConnections = 32;

/// For addresses that answer short requests without a body.
inline http_server_options InformationServerOptions(std::uint32_t max_connections) {
  return {.max_connections = max_connections, .max_body_bytes = 16U << 10U};
}

class http_server_connection;

/// Serves HTTP/1.1 on one address. Runs on the thread of `context`.
class http_server {
 public:
  /// Throws std::runtime_error if the address cannot be used. `budget` bounds the memory of the
  /// connections, together with those of other servers; null: no bound.
  http_server(boost::asio::io_context& context, const std::string& address,
              const http_server_options& options, const runtime_clock& clock,
              request_handler& handler, arrival_budget* budget = nullptr);
  ~http_server();

  void SetOptions(const http_server_options& options) { options_ = options; }
  /// From now on each answer ends its connection.
  void CloseAfterAnswers() { closing_ = true; }
  /// Ends connections that took too long. Called a few times a second.
  void CheckTimeouts(time_point now);
  /// Whether a request is arriving or being answered, or the bytes of an answer are not all with
  /// their caller.
  bool HasUnfinishedExchanges() const;

 private:
  friend class http_server_connection;

  void Accept();
  void Add(boost::asio::ip::tcp::socket socket);
  void Remove(http_server_connection& connection);

  boost::asio::ip::tcp::acceptor acceptor_;
  http_server_options options_;
  const runtime_clock& clock_;
  request_handler& handler_;
  arrival_budget* const budget_;
  const listener_id listener_;
  boost::asio::steady_timer accept_timer_;
  bool closing_ = false;
  std::unordered_set<std::shared_ptr<http_server_connection>> connections_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_HTTP_SERVER_H_
