#include "connection/http/http_get.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "berylbarrow/connection/http/answer_status.h"
#include "connection/http/answer_parser.h"
#include "connection/wire/endpoint.h"

namespace berylbarrow {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Holds one header of the maximum size and the block that Beast reads at a time (64 KiB).
constexpr std::size_t kMaxBufferBytes = 128UL * 1024;
constexpr std::uint32_t kMaxInterimAnswers = 8;

}  // namespace

class http_get::impl final : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context& context, http_get_options options, callback done)
      : context_(context), options_(std::move(options)), done_(std::move(done)), stream_(context) {
    BeginParser();
  }

  void Start() {
    const std::optional<ip_endpoint> remote = ParseEndpoint(options_.address);
    if (!remote) {
      boost::asio::post(context_, [self = shared_from_this()] { self->Fail("not IP:port"); });
      return;
    }
    request_.method(options_.body.empty() ? http::verb::get : http::verb::post);
    request_.target(options_.target);
    request_.version(11);
    request_.set(http::field::host, options_.address);
    request_.set(http::field::connection, "close");
    if (!options_.etag.empty()) request_.set(http::field::if_none_match, options_.etag);
    if (!options_.body.empty()) {
      request_.set(http::field::content_type, "application/json");
      request_.body() = options_.body;
      request_.prepare_payload();
    }
    stream_.expires_after(options_.timeout);
    stream_.async_connect(tcp::endpoint(remote->address, remote->port),
                          [self = shared_from_this()](const error_code& error) {
                            if (error) return self->Fail(error.message());
                            self->Write();
                          });
  }

  void Cancel() {
    done_ = nullptr;
    stream_.close();
  }

 private:
  void BeginParser() {
    parser_.emplace();
    parser_->body_limit(options_.max_body_bytes);
  }

  void Write() {
    http::async_write(stream_, request_,
                      [self = shared_from_this()](const error_code& error, std::size_t /*count*/) {
                        if (error) return self->Fail(error.message());
                        self->ReadHeader();
                      });
  }

  // The header is read on its own because Beast 1.74 loses the error of a Content-Length above the
  // limit when it reads header and body in one operation.
  void ReadHeader() {
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t /*count*/) {
          if (error) return self->Fail(error.message());
          self->OnHeader();
        });
  }

  void OnHeader() {
    const unsigned status = parser_->get().result_int();
    switch (KindOfStatus(status)) {
      case status_kind::kFinal:
        return ReadBody();
      case status_kind::kNone:
        return Fail("status " + std::to_string(status) + " is not a status of HTTP");
      case status_kind::kInterim:
        if (++interim_answers_ > kMaxInterimAnswers) return Fail("too many interim answers");
        BeginParser();
        return ReadHeader();
    }
  }

  void ReadBody() {
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& error, std::size_t /*count*/) {
                       if (error) return self->Fail(error.message());
                       http::response<http::string_body> response = self->parser_->release();
                       self->Finish({.error = {},
                                     .status = response.result_int(),
                                     .revision = std::string(response["Revision"]),
                                     .etag = std::string(response[http::field::etag]),
                                     .body = std::move(response.body())});
                     });
  }

  void Fail(const std::string& reason) {
    http_get_reply reply;
    reply.error = std::string(request_.method_string()) + " http://" + options_.address +
                  options_.target + ": " + reason;
    Finish(std::move(reply));
  }

  void Finish(http_get_reply reply) {
    const callback done = std::exchange(done_, nullptr);
    stream_.close();
    if (done) done(std::move(reply));
  }

  boost::asio::io_context& context_;
  const http_get_options options_;
  callback done_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxBufferBytes};
  http::request<http::string_body> request_;
  std::optional<answer_parser<http::string_body>> parser_;
  std::uint32_t interim_answers_ = 0;
};

http_get::http_get(boost::asio::io_context& context, http_get_options options, callback done)
    : impl_(std::make_shared<impl>(context, std::move(options), std::move(done))) {
  impl_->Start();
}

http_get::~http_get() { impl_->Cancel(); }

}  // namespace berylbarrow
