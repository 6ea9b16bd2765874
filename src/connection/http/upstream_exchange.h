#ifndef BERYLBARROW_CONNECTION_HTTP_UPSTREAM_EXCHANGE_H_
#define BERYLBARROW_CONNECTION_HTTP_UPSTREAM_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "berylbarrow/connection/http/upstream_client.h"
#include "connection/http/answer_parser.h"

namespace berylbarrow {

/// One request on a connection of its own. Passes on the head, the parts and exactly one end.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange> {
 public:
  using request_type = boost::beast::http::request<boost::beast::http::string_body>;

  /// What becomes of the answer. Head and part return false if there is no space yet.
  struct handlers {
    std::function<bool(const upstream_head&)> head;
    std::function<bool(const upstream_part&)> part;
    std::function<bool(const upstream_end&)> end;
    std::function<void()> closed;    // after the end was taken
    std::function<bool()> may_send;  // asked once, before the first byte is written
  };

  upstream_exchange(boost::asio::io_context& context, const upstream_client_options& options,
                    execution_id execution, request_type request, handlers handlers);

  void Start(const boost::asio::ip::tcp::endpoint& endpoint);
  /// Ends the exchange without sending anything.
  void Reject() { Finish(upstream_outcome::kNotSent); }
  void Cancel();
  /// Closes without an end.
  void Close();

 private:
  using error_code = boost::system::error_code;
  using response_parser = answer_parser<boost::beast::http::buffer_body>;

  void OnConnected(error_code error);
  void OnWritten(error_code error, std::size_t bytes);
  void ReadHead();
  void OnHead(error_code error);
  void ReadBody();
  void OnBody(error_code error);
  void Finish(upstream_outcome outcome);
  void CloseSocket();
  void Offer(std::function<bool()> offer, std::function<void()> next);

  const upstream_client_options& options_;
  execution_id execution_;
  request_type request_;
  handlers handlers_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  boost::asio::steady_timer offer_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<response_parser> parser_;
  std::array<char, 16UL * 1024> bytes_{};
  std::uint32_t interim_responses_ = 0;
  std::uint64_t offer_generation_ = 0;
  bool write_begun_ = false;
  bool finished_ = false;
  bool closed_ = false;
};

/// The request that reaches the upstream.
upstream_exchange::request_type MakeUpstreamRequest(const upstream_start& start,
                                                    const std::string& host);

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_UPSTREAM_EXCHANGE_H_
