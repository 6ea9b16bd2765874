#include "berylbarrow/connection/http/operator_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

#include "connection/http/endpoint.h"
#include "connection/http/reply.h"

namespace berylbarrow {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr std::uint32_t kMaxHeaderBytes = 8 * 1024;
// Holds a header and the block that Beast reads at a time (64 KiB).
constexpr std::size_t kBufferBytes = 128UL * 1024;
constexpr auto kRequestTimeout = std::chrono::seconds(5);
constexpr auto kReplyTimeout = std::chrono::seconds(5);
constexpr auto kWriteTimeout = std::chrono::seconds(30);
constexpr auto kAcceptRetryTime = std::chrono::milliseconds(10);

std::optional<operator_query_kind> QueryKind(boost::beast::string_view target) {
  if (target == "/state") {
    return operator_query_kind::kState;
  }
  if (target == "/status") {
    return operator_query_kind::kStatus;
  }
  if (target == "/metrics") {
    return operator_query_kind::kMetrics;
  }
  return std::nullopt;
}

/// One connection: one request, one reply.
class operator_session : public std::enable_shared_from_this<operator_session> {
 public:
  struct handlers {
    std::function<bool(operator_query_kind)> query;
    std::function<void()> closed;
  };

  operator_session(asio::ip::tcp::socket socket, handlers handlers)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        buffer_(kBufferBytes),
        handlers_(std::move(handlers)) {
    parser_.header_limit(kMaxHeaderBytes);
    parser_.body_limit(0);
  }

  void Start() {
    ArmTimer(kRequestTimeout, [this] { Close(); });
    http::async_read(
        socket_, buffer_, parser_,
        [self = shared_from_this()](error_code error, std::size_t) { self->OnRequest(error); });
  }

  void Send(const caller_reply& reply) {
    if (closed_ || !text_.empty()) {
      return;
    }
    text_ = SerializeReply(reply, false);
    ArmTimer(kWriteTimeout, [this] { Close(); });
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this()](error_code, std::size_t) { self->Close(); });
  }

  void Close() {
    if (std::exchange(closed_, true)) {
      return;
    }
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    timer_.cancel();
    std::exchange(handlers_.closed, nullptr)();
  }

 private:
  void OnRequest(error_code error) {
    if (closed_) {
      return;
    }
    if (error) {
      if (error == http::error::end_of_stream ||
          error.category() == asio::error::get_misc_category() ||
          error.category() == boost::system::system_category()) {
        Close();
      } else {
        Send(ErrorReply({.status = 400, .code = "malformed", .message = error.message()}));
      }
      return;
    }
    const auto kind = QueryKind(parser_.get().target());
    if (!kind || parser_.get().method() != http::verb::get) {
      Send(ErrorReply({.status = 404,
                       .code = "not_found",
                       .message = "use GET /state, GET /status or GET /metrics"}));
      return;
    }
    if (!handlers_.query(*kind)) {
      Send(ErrorReply({.status = 503, .code = "overload", .message = "the process is overloaded"}));
      return;
    }
    ArmTimer(kReplyTimeout, [this] {
      Send(ErrorReply({.status = 504, .code = "timeout", .message = "no reply within 5 s"}));
    });
  }

  void ArmTimer(duration limit, std::function<void()> expired) {
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this(), expired = std::move(expired),
                       generation = ++timer_generation_](error_code cancelled) {
      if (!cancelled && generation == self->timer_generation_ && !self->closed_) {
        expired();
      }
    });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::uint64_t timer_generation_ = 0;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::empty_body> parser_;
  handlers handlers_;
  std::string text_;
  bool closed_ = false;
};

}  // namespace

class operator_server::impl : public std::enable_shared_from_this<operator_server::impl> {
 public:
  impl(asio::io_context& context, const std::string& address, operator_server::sink sink)
      : sink_(std::move(sink)),
        acceptor_(OpenHttpListener(context, address)),
        accept_timer_(context) {}

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](error_code error, asio::ip::tcp::socket socket) {
          if (!self->acceptor_.is_open()) {
            return;
          }
          if (!error) {
            self->Add(std::move(socket));
            self->Accept();
            return;
          }
          self->accept_timer_.expires_after(kAcceptRetryTime);
          self->accept_timer_.async_wait([self](error_code cancelled) {
            if (!cancelled && self->acceptor_.is_open()) {
              self->Accept();
            }
          });
        });
  }

  void Deliver(const operator_reply& reply) {
    const auto found = sessions_.find(reply.query);
    if (found != sessions_.end()) {
      const auto session = found->second;
      session->Send(
          {.status = 200, .headers = {}, .content_type = reply.content_type, .body = reply.body});
    }
  }

  void Close() {
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    while (!sessions_.empty()) {
      const auto session = sessions_.begin()->second;
      session->Close();
    }
  }

  std::uint16_t Port() const { return port_; }

 private:
  void Add(asio::ip::tcp::socket socket) {
    if (sessions_.size() >= kMaxConnections) {
      return;
    }
    const auto query = next_query_++;
    auto session = std::make_shared<operator_session>(
        std::move(socket),
        operator_session::handlers{.query =
                                       [this, query](operator_query_kind kind) {
                                         return sink_({.query = query, .kind = kind});
                                       },
                                   .closed = [this, query] { sessions_.erase(query); }});
    sessions_.emplace(query, session);
    session->Start();
  }

  operator_server::sink sink_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = acceptor_.local_endpoint().port();
  asio::steady_timer accept_timer_;
  std::unordered_map<query_id, std::shared_ptr<operator_session>> sessions_;
  query_id next_query_ = 1;
};

operator_server::operator_server(asio::io_context& context, const std::string& address,
                                 operator_server::sink sink)
    : impl_(std::make_shared<impl>(context, address, std::move(sink))) {
  impl_->Accept();
}

operator_server::~operator_server() { impl_->Close(); }

void operator_server::Deliver(const operator_reply& reply) { impl_->Deliver(reply); }

void operator_server::Close() { impl_->Close(); }

std::uint16_t operator_server::Port() const { return impl_->Port(); }

}  // namespace berylbarrow
