#ifndef BERYLBARROW_TOOLS_COMMON_STUB_SERVER_H_
#define BERYLBARROW_TOOLS_COMMON_STUB_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "connection/http/endpoint.h"
#include "connection/http/reply.h"

namespace berylbarrow::tools {

/// One connection of a stand-in server: takes one request at a time.
class stub_connection : public std::enable_shared_from_this<stub_connection> {
 public:
  using request_type = boost::beast::http::request<boost::beast::http::string_body>;
  using request_handler = std::function<void(const std::shared_ptr<stub_connection>&)>;

  stub_connection(boost::asio::ip::tcp::socket socket, request_handler handler)
      : socket_(std::move(socket)), handler_(std::move(handler)) {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  }

  void Start() {
    busy_ = false;
    parser_.emplace();
    parser_->body_limit(std::uint64_t{64} << 20);
    boost::beast::http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](boost::system::error_code error, std::size_t) {
          if (error) {
            self->Close();
            return;
          }
          self->request_ = self->parser_->release();
          self->busy_ = true;
          self->Watch();
          self->handler_(self);
        });
  }

  const request_type& Request() const { return request_; }
  std::string Target() const { return std::string(request_.target()); }
  std::string Method() const { return std::string(request_.method_string()); }
  /// The path without its query.
  std::string Path() const { return Target().substr(0, Target().find('?')); }
  std::string Header(const char* name) const { return std::string(request_[name]); }
  /// A number from the query, or the default.
  std::uint64_t QueryNumber(const std::string& name, std::uint64_t value) const {
    const auto text = QueryText(name);
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }
  std::string QueryText(const std::string& name) const {
    const auto target = Target();
    for (const char mark : {'?', '&'}) {
      const auto key = mark + name + '=';
      const auto found = target.find(key);
      if (found != std::string::npos) {
        const auto begin = found + key.size();
        return target.substr(begin, target.find('&', begin) - begin);
      }
    }
    return {};
  }

  void Reply(std::uint16_t status, std::string content_type, std::string body,
             std::vector<reply_header> headers = {}) {
    Write(SerializeReply({.status = status,
                          .headers = std::move(headers),
                          .content_type = std::move(content_type),
                          .body = std::move(body)},
                         request_.keep_alive()));
    Finish();
  }
  void Head(std::uint16_t status, std::string content_type) {
    Write(SerializeHead({.status = status, .headers = {}, .content_type = std::move(content_type)},
                        request_.keep_alive()));
  }
  void Part(std::string_view bytes) {
    if (!bytes.empty()) {
      Write(SerializeChunk(bytes));
    }
  }
  void End() {
    Write(SerializeLastChunk());
    Finish();
  }

  bool Closed() const { return closed_; }
  /// Called once if the other side leaves before the answer is complete.
  void OnClosed(std::function<void()> handler) { on_closed_ = std::move(handler); }

  /// Closes with RST.
  void Reset() {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  void Close() {
    if (std::exchange(closed_, true)) {
      return;
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (on_closed_) {
      std::exchange(on_closed_, nullptr)();
    }
  }

 private:
  void Watch() {
    watching_ = true;
    socket_.async_read_some(
        buffer_.prepare(1024),
        [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
          self->watching_ = false;
          if (error) {
            self->Close();
            return;
          }
          self->buffer_.commit(bytes);
          if (!self->busy_) {
            self->Start();
          }
        });
  }

  void Write(const std::string& bytes) {
    if (closed_) {
      return;
    }
    outgoing_ += bytes;
    Flush();
  }

  void Flush() {
    if (writing_ || outgoing_.empty()) {
      return;
    }
    writing_ = true;
    in_write_ = std::exchange(outgoing_, {});
    boost::asio::async_write(
        socket_, boost::asio::buffer(in_write_),
        [self = shared_from_this()](boost::system::error_code error, std::size_t) {
          self->writing_ = false;
          if (error) {
            self->Close();
          } else {
            self->Flush();
            self->Next();
          }
        });
  }

  void Finish() {
    on_closed_ = nullptr;
    finished_ = true;
    Next();
  }

  void Next() {
    if (!finished_ || writing_ || closed_) {
      return;
    }
    finished_ = false;
    if (!request_.keep_alive()) {
      Close();
      return;
    }
    busy_ = false;
    if (!watching_) {
      Start();
    }
  }

  boost::asio::ip::tcp::socket socket_;
  request_handler handler_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  request_type request_;
  std::string outgoing_;
  std::string in_write_;
  std::function<void()> on_closed_;
  bool busy_ = false;
  bool watching_ = false;
  bool writing_ = false;
  bool finished_ = false;
  bool closed_ = false;
};

/// Accepts connections and passes each request to the handler.
class stub_server {
 public:
  stub_server(boost::asio::io_context& context, const std::string& address,
              stub_connection::request_handler handler)
      : acceptor_(OpenHttpListener(context, address)), handler_(std::move(handler)) {
    Accept();
  }

  /// Closes every connection but one with RST.
  void ResetAll(const std::shared_ptr<stub_connection>& except) {
    for (const auto& weak : connections_) {
      const auto connection = weak.lock();
      if (connection && connection != except) {
        connection->Reset();
      }
    }
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
          if (!error) {
            std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
            auto connection = std::make_shared<stub_connection>(std::move(socket), handler_);
            connections_.insert(connection);
            connection->Start();
          }
          Accept();
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  stub_connection::request_handler handler_;
  std::set<std::weak_ptr<stub_connection>, std::owner_less<>> connections_;
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_COMMON_STUB_SERVER_H_
