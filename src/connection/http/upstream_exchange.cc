#include "connection/http/upstream_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <limits>
#include <utility>

#include "berylbarrow/connection/http/answer_status.h"

namespace berylbarrow {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kRetryTime = std::chrono::milliseconds(1);
constexpr std::uint32_t kMaxInterimResponses = 8;
// Beast reads blocks of up to 64 KiB into the buffer.
constexpr std::size_t kReadBlockBytes = 64UL * 1024;

}  // namespace

upstream_exchange::request_type MakeUpstreamRequest(const upstream_start& start,
                                                    const std::string& host) {
  upstream_exchange::request_type request;
  request.version(11);
  request.method_string(start.request.method);
  request.target(start.request.target);
  request.set(http::field::host, host);
  request.set(http::field::connection, "close");
  if (!start.request.content_type.empty()) {
    request.set(http::field::content_type, start.request.content_type);
  }
  std::array<char, 48> id{};
  std::snprintf(id.data(), id.size(), "%016llx-%llu",
                static_cast<unsigned long long>(start.id.sender),     // NOLINT(google-runtime-int)
                static_cast<unsigned long long>(start.id.sequence));  // NOLINT(google-runtime-int)
  request.set("X-Request-Id", id.data());
  request.set("Berylbarrow-Priority", std::to_string(start.priority));
  if (start.resume_offset > 0) {
    request.set("Berylbarrow-Resume-Offset", std::to_string(start.resume_offset));
  }
  request.body() = start.request.body;
  request.prepare_payload();
  return request;
}

upstream_exchange::upstream_exchange(asio::io_context& context,
                                     const upstream_client_options& options, execution_id execution,
                                     request_type request, handlers handlers)
    : options_(options),
      execution_(execution),
      request_(std::move(request)),
      handlers_(std::move(handlers)),
      socket_(context),
      connect_timer_(context),
      offer_timer_(context),
      buffer_(options.max_head_bytes + kReadBlockBytes) {}

void upstream_exchange::Start(const asio::ip::tcp::endpoint& endpoint) {
  connect_timer_.expires_after(options_.connect_timeout);
  connect_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !self->write_begun_) {
      self->Finish(upstream_outcome::kNotSent);
    }
  });
  socket_.async_connect(
      endpoint, [self = shared_from_this()](error_code error) { self->OnConnected(error); });
}

void upstream_exchange::OnConnected(error_code error) {
  if (finished_ || closed_) {
    return;
  }
  connect_timer_.cancel();
  // The process may have been paused while the connection was being opened.
  if (error || !handlers_.may_send()) {
    Finish(upstream_outcome::kNotSent);
    return;
  }
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  write_begun_ = true;
  http::async_write(socket_, request_,
                    [self = shared_from_this()](error_code write_error, std::size_t bytes) {
                      self->OnWritten(write_error, bytes);
                    });
}

void upstream_exchange::OnWritten(error_code error, std::size_t bytes) {
  if (finished_ || closed_) {
    return;
  }
  if (error) {
    Finish(bytes == 0 ? upstream_outcome::kNotSent : upstream_outcome::kBroken);
    return;
  }
  request_.body() = {};
  ReadHead();
}

void upstream_exchange::ReadHead() {
  parser_.emplace();
  parser_->header_limit(options_.max_head_bytes);
  // Boost 1.74 compares Content-Length with an absent limit as "too large".
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) { self->OnHead(error); });
}

void upstream_exchange::OnHead(error_code error) {
  if (finished_ || closed_) {
    return;
  }
  const status_kind kind = error ? status_kind::kNone : KindOfStatus(parser_->get().result_int());
  const bool interim = kind == status_kind::kInterim;
  if (kind == status_kind::kNone || (interim && ++interim_responses_ > kMaxInterimResponses)) {
    Finish(upstream_outcome::kBroken);
    return;
  }
  if (interim) {
    ReadHead();
    return;
  }
  const auto type = parser_->get()[http::field::content_type];
  const upstream_head head{.execution = execution_,
                           .status = static_cast<std::uint16_t>(parser_->get().result_int()),
                           .content_type = std::string(type.data(), type.size())};
  Offer([this, head] { return handlers_.head(head); }, [this] { ReadBody(); });
}

void upstream_exchange::ReadBody() {
  if (parser_->is_done()) {
    Finish(upstream_outcome::kComplete);
    return;
  }
  parser_->get().body().data = bytes_.data();
  parser_->get().body().size = bytes_.size();
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) { self->OnBody(error); });
}

void upstream_exchange::OnBody(error_code error) {
  if (finished_ || closed_) {
    return;
  }
  // need_buffer only says that bytes_ is full.
  if (error == http::error::need_buffer) {
    error = {};
  }
  const bool broken = error.failed() || (parser_->is_done() && parser_->need_eof());
  const auto count = bytes_.size() - parser_->get().body().size;
  auto next = [this, broken] {
    if (broken) {
      Finish(upstream_outcome::kBroken);
    } else {
      ReadBody();
    }
  };
  if (count == 0) {
    next();
    return;
  }
  Offer(
      [this, part = upstream_part{.execution = execution_, .bytes = {bytes_.data(), count}}] {
        return handlers_.part(part);
      },
      std::move(next));
}

void upstream_exchange::Cancel() {
  if (!finished_) {
    Finish(write_begun_ ? upstream_outcome::kBroken : upstream_outcome::kNotSent);
  }
}

void upstream_exchange::Finish(upstream_outcome outcome) {
  if (std::exchange(finished_, true) || closed_) {
    return;
  }
  CloseSocket();
  Offer([this, outcome] { return handlers_.end({.execution = execution_, .outcome = outcome}); },
        [this] {
          const auto closed = std::exchange(handlers_.closed, nullptr);
          Close();
          closed();
        });
}

void upstream_exchange::Offer(std::function<bool()> offer, std::function<void()> next) {
  if (closed_) {
    return;
  }
  if (offer()) {
    next();
    return;
  }
  offer_timer_.expires_after(kRetryTime);
  offer_timer_.async_wait([self = shared_from_this(), offer = std::move(offer),
                           next = std::move(next),
                           generation = ++offer_generation_](error_code cancelled) mutable {
    if (!cancelled && generation == self->offer_generation_) {
      self->Offer(std::move(offer), std::move(next));
    }
  });
}

void upstream_exchange::CloseSocket() {
  error_code ignored;
  socket_.close(ignored);
  connect_timer_.cancel();
  // A timer that has already expired can no longer be cancelled.
  ++offer_generation_;
  offer_timer_.cancel();
}

void upstream_exchange::Close() {
  closed_ = true;
  CloseSocket();
}

}  // namespace berylbarrow
