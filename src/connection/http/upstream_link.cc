#include "berylbarrow/connection/http/upstream_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "berylbarrow/connection/http/answer_status.h"
#include "connection/http/endpoint.h"
#include "connection/http/socket_options.h"

namespace berylbarrow {
namespace {

// Interim answers and answers to other requests that may precede the answer to a request.
constexpr std::uint32_t kMaxIgnoredAnswers = 8;

/// Whether the text contains the start of a status line, such as "HTTP/1.1 200".
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kProtocol = "HTTP/1.";
  const auto is_digit = [&](std::size_t at) {
    return at < text.size() && text[at] >= '0' && text[at] <= '9';
  };
  for (auto at = text.find(kProtocol); at != std::string_view::npos;
       at = text.find(kProtocol, at + 1)) {
    const std::size_t version = at + kProtocol.size();
    const bool has_version =
        is_digit(version) && version + 1 < text.size() && text[version + 1] == ' ';
    if (has_version && is_digit(version + 2) && is_digit(version + 3) && is_digit(version + 4)) {
      return true;
    }
  }
  return false;
}

/// Whether the head begins with a part of one head and goes on with another: an answer was broken
/// off inside its head, and the next answer on the connection follows.
bool IsJoined(const http_head& head) {
  return ContainsStatusLine(head.reason) ||
         std::any_of(head.fields.begin(), head.fields.end(),
                     [](const header_field& field) { return ContainsStatusLine(field.value); });
}

}  // namespace

upstream_link::upstream_link(boost::asio::io_context& context, const upstream_link_options& options,
                             const runtime_clock& clock,
                             std::function<void(upstream_link&)> on_idle_end)
    : socket_(context), options_(options), clock_(clock), on_idle_end_(std::move(on_idle_end)) {}

upstream_link::~upstream_link() { HoldBytes(0); }

void upstream_link::Exchange(std::string request, bool is_head, exchange_handler* handler,
                             std::shared_ptr<const std::string> body) {
  handler_ = handler;
  output_ = std::move(request);
  body_ = std::move(body);
  is_head_ = is_head;
  ignored_answers_ = 0;
  ++exchange_count_;
  BeginParser();
  if (state_ == state::kNew) {
    Connect();
    return;
  }
  state_ = state::kBusy;
  Write();
}

void upstream_link::Close() {
  state_ = state::kClosed;
  handler_ = nullptr;
  HoldBytes(0);
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void upstream_link::Abort() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

void upstream_link::CheckTimeouts(time_point now) {
  if (state_ != state::kConnecting || now - connect_started_ < options_.connect_timeout) return;
  Fail(link_failure::kNotSent);
}

void upstream_link::Connect() {
  state_ = state::kConnecting;
  connect_started_ = clock_.Now();
  socket_.async_connect(ParseHttpEndpoint(options_.address),
                        [self = shared_from_this()](const boost::system::error_code& error) {
                          self->OnConnected(error);
                        });
}

void upstream_link::OnConnected(const boost::system::error_code& error) {
  if (state_ != state::kConnecting) return;
  if (error) {
    Fail(link_failure::kNotSent);
    return;
  }
  SetConnectionOptions(socket_, options_.silence_limit);
  state_ = state::kBusy;
  Write();
  Read();
}

void upstream_link::Write() {
  write_state_ = write_state::kPending;
  const std::array<boost::asio::const_buffer, 2> message{
      boost::asio::buffer(output_),
      body_ ? boost::asio::buffer(*body_) : boost::asio::const_buffer()};
  boost::asio::async_write(
      socket_, message,
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t /*size*/) {
        self->write_state_ = error ? write_state::kFailed : write_state::kDone;
        std::string().swap(self->output_);
        self->body_.reset();
        // The reader reports the failure: an answer may still be on its way.
        if (error && self->state_ == state::kBusy && !self->reading_) {
          self->HandleEnd(error);
        }
      });
}

void upstream_link::Read() {
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(buffer_),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
        self->reading_ = false;
        self->OnRead(error, size);
      });
}

void upstream_link::OnRead(const boost::system::error_code& error, std::size_t size) {
  if (state_ == state::kClosed) return;
  if (state_ == state::kIdle) {  // the end of the connection, or bytes of no request
    Close();
    on_idle_end_(*this);
    return;
  }
  if (error) {
    HandleEnd(error);
    return;
  }
  input_.append(buffer_.data(), size);
  const auto self = shared_from_this();
  ParseInput();
  if (state_ == state::kBusy || state_ == state::kIdle) Read();
}

void upstream_link::ParseInput() {
  while (state_ == state::kBusy && !input_.empty()) {
    const parse_state parsed = parser_->Parse(input_);
    if (parser_->HasHead() && !head_shown_ && IsJoined(parser_->Head())) {
      Fail(link_failure::kGarbled);
      return;
    }
    if (parser_->HasHead() && KindOfStatus(parser_->Head().status) == status_kind::kNone) {
      Fail(link_failure::kGarbled);
      return;
    }
    if (parser_->HasHead() && !head_shown_ &&
        KindOfStatus(parser_->Head().status) == status_kind::kFinal) {
      head_shown_ = true;
      skipping_ = !handler_->OnAnswerHead(parser_->Head());
      if (state_ != state::kBusy) return;
    }
    if (parsed == parse_state::kFailed) {
      Fail(ParseFailure());
      return;
    }
    if (head_shown_ && !skipping_ && !parser_->Body().empty() && parsed == parse_state::kNeedMore) {
      handler_->OnAnswerBody(parser_->Body());
      if (state_ != state::kBusy) return;
    }
    if (parsed == parse_state::kNeedMore) {
      if (!HoldBytes(input_.size() + parser_->Body().size())) Fail(link_failure::kTooLarge);
      return;
    }
    HandleComplete();
  }
}

link_failure upstream_link::ParseFailure() const {
  if (parser_->BodyTooLarge() || parser_->HeaderTooLarge()) return link_failure::kTooLarge;
  return head_shown_ && !skipping_ ? link_failure::kCutShort : link_failure::kGarbled;
}

bool upstream_link::HoldBytes(std::size_t size) {
  if (!options_.answer_budget) return true;
  if (!options_.answer_budget->Replace(held_bytes_, size)) return false;
  held_bytes_ = size;
  return true;
}

void upstream_link::HandleComplete() {
  HoldBytes(0);
  if (KindOfStatus(parser_->Head().status) == status_kind::kInterim || skipping_) {
    if (++ignored_answers_ > kMaxIgnoredAnswers) return Fail(link_failure::kTooLarge);
    BeginParser();
    return;
  }
  const bool reusable =
      parser_->KeepAlive() && write_state_ == write_state::kDone && input_.empty();
  ReadKeepAlive(parser_->Head());
  const http_head head = parser_->TakeHead();
  std::string body = std::move(parser_->Body());
  exchange_handler* const handler = std::exchange(handler_, nullptr);
  if (reusable) {
    state_ = state::kIdle;
    idle_since_ = clock_.Now();
  } else {
    Close();
  }
  handler->OnAnswerEnd(head, std::move(body));
}

void upstream_link::HandleEnd(const boost::system::error_code& error) {
  if (state_ != state::kBusy) return;
  // The system reports the error of a connection once. If the write takes it, the read that follows
  // sees an end that looks as if it were in order.
  const bool in_order = error == boost::asio::error::eof && write_state_ != write_state::kFailed;
  if (in_order && head_shown_ && !skipping_ && parser_->EndsWithConnection() &&
      parser_->ParseEnd() == parse_state::kComplete) {
    HandleComplete();
    return;
  }
  const bool answering = head_shown_ && !skipping_;
  Fail(answering ? link_failure::kCutShort : link_failure::kNoAnswer);
}

void upstream_link::BeginParser() {
  parser_.emplace(response_parser::limits{.body_bytes = options_.max_answer_bytes});
  if (is_head_) parser_->SkipBody();
  head_shown_ = false;
  skipping_ = false;
}

void upstream_link::Fail(link_failure failure) {
  exchange_handler* const handler = std::exchange(handler_, nullptr);
  const auto self = shared_from_this();
  Close();
  if (handler != nullptr) handler->OnLinkFailure(failure);
}

void upstream_link::ReadKeepAlive(const http_head& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = head.Find("Keep-Alive");
  const auto at = value.find(kTimeout);
  if (at == std::string_view::npos) return;
  const std::string_view text = value.substr(at + kTimeout.size());
  std::uint32_t seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error == std::errc{}) keep_alive_ = std::chrono::seconds(seconds);
}

}  // namespace berylbarrow
