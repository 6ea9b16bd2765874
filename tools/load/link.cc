#include "load/link.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <optional>

#include "connection/http/endpoint.h"

namespace berylbarrow::tools {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

class link::impl : public std::enable_shared_from_this<link::impl> {
 public:
  explicit impl(asio::io_context& context) : socket_(context), timer_(context) {}

  /// Drops the completion of an operation of an earlier connection or call.
  template <typename Handler>
  auto Guarded(Handler handler) {
    return [self = shared_from_this(), connection = connection_, call = call_,
            handler = std::move(handler)](error_code error, auto&&...) mutable {
      if (connection == self->connection_ && call == self->call_) {
        handler(error);
      }
    };
  }

  void Send(const std::string& address, const link_request& request, load_clock::duration timeout,
            std::function<void(link_answer)> done) {
    done_ = std::move(done);
    answer_ = {};
    request_ = {};
    request_.version(11);
    request_.method_string(request.method);
    request_.target(request.target);
    request_.set(http::field::host, address);
    for (const auto& [name, value] : request.headers) {
      request_.set(name, value);
    }
    request_.body() = request.body;
    request_.prepare_payload();
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(), call = ++call_](error_code cancelled) {
      if (!cancelled && call == self->call_) {
        self->Finish(false);
      }
    });
    if (socket_.is_open() && address == address_) {
      Write();
      return;
    }
    Close();
    address_ = address;
    socket_.async_connect(ParseHttpEndpoint(address), Guarded([this](error_code error) {
                            if (error) {
                              Finish(false);
                              return;
                            }
                            socket_.set_option(asio::ip::tcp::no_delay(true), error);
                            Write();
                          }));
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
    buffer_.clear();
    ++connection_;
  }

  void Abandon() {
    done_ = nullptr;
    Close();
    timer_.cancel();
  }

 private:
  void Write() {
    http::async_write(socket_, request_, Guarded([this](error_code error) {
                        if (error) {
                          Finish(false);
                          return;
                        }
                        ReadHead();
                      }));
  }

  void ReadHead() {
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(socket_, buffer_, *parser_, Guarded([this](error_code error) {
                              if (error) {
                                Finish(false);
                                return;
                              }
                              answer_.status = parser_->get().result_int();
                              answer_.outcome = std::string(parser_->get()["Berylbarrow-Outcome"]);
                              ReadBody();
                            }));
  }

  void ReadBody() {
    if (parser_->is_done()) {
      Finish(true);
      return;
    }
    parser_->get().body().data = bytes_.data();
    parser_->get().body().size = bytes_.size();
    http::async_read_some(socket_, buffer_, *parser_,
                          Guarded([this](error_code error) { OnBody(error); }));
  }

  void OnBody(error_code error) {
    const auto count = bytes_.size() - parser_->get().body().size;
    if (count > 0) {
      const auto now = load_clock::now();
      if (answer_.body.empty()) {
        answer_.first_byte = now;
      } else {
        answer_.gaps_ms.push_back(
            std::chrono::duration<float, std::milli>(now - last_byte_).count());
      }
      last_byte_ = now;
      answer_.body.append(bytes_.data(), count);
    }
    if (error && error != http::error::need_buffer) {
      Finish(false);
      return;
    }
    ReadBody();
  }

  void Finish(bool complete) {
    ++call_;
    timer_.cancel();
    answer_.complete = complete && !parser_->need_eof();
    if (!answer_.complete || !parser_->get().keep_alive()) {
      Close();
    }
    // Posted so that a caller that sends again at once does not recurse.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->done_) {
        std::exchange(self->done_, nullptr)(std::move(self->answer_));
      }
    });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::array<char, 16UL * 1024> bytes_{};
  std::string address_;
  std::function<void(link_answer)> done_;
  link_answer answer_;
  load_clock::time_point last_byte_;
  std::uint64_t connection_ = 0;
  std::uint64_t call_ = 0;
};

link::link(asio::io_context& context) : impl_(std::make_shared<impl>(context)) {}

link::~link() { impl_->Abandon(); }

void link::Send(const std::string& address, const link_request& request,
                load_clock::duration timeout, std::function<void(link_answer)> done) {
  impl_->Send(address, request, timeout, std::move(done));
}

}  // namespace berylbarrow::tools
