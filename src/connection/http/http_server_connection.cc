#include "connection/http/http_server_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <utility>

#include "berylbarrow/connection/http/exchange_dialect.h"
#include "connection/http/socket_options.h"

namespace berylbarrow {
namespace {

// Of a request that is refused because connections hold too much memory.
constexpr const char* kOverloadRetryAfterSeconds = "1";
// Larger buffers are returned to the system when they are empty.
constexpr std::size_t kKeptBufferBytes = 2U << 10U;

void Clear(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > kKeptBufferBytes) std::string().swap(buffer);
}

}  // namespace

http_server_connection::http_server_connection(boost::asio::ip::tcp::socket socket,
                                               http_server& server)
    : socket_(std::move(socket)), server_(server), since_(server.clock_.Now()) {
  if (server.budget_ == nullptr) return;
  boost::system::error_code error;
  const auto remote = socket_.remote_endpoint(error);
  holder_ = server.budget_->Add(*this, error ? "" : remote.address().to_string(), server.listener_,
                                since_);
}

void http_server_connection::LeaveBudget() {
  if (holder_) server_.budget_->Remove(*holder_);
  holder_.reset();
}

void http_server_connection::Start() {
  SetConnectionOptions(socket_, server_.options_.silence_limit);
  BeginParser();
  Read();
}

void http_server_connection::Read() {
  if (read_pending_ || state_ == state::kClosed) return;
  if (state_ == state::kAnswering && input_.size() >= kMaxPipelinedBytes) return;
  read_pending_ = true;
  socket_.async_read_some(
      boost::asio::buffer(buffer_),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
        self->read_pending_ = false;
        self->OnRead(error, size);
      });
}

void http_server_connection::OnRead(const boost::system::error_code& error, std::size_t size) {
  if (state_ == state::kClosed) return;
  if (error) {
    Close();
    return;
  }
  if (state_ == state::kLingering) {
    Read();
    return;
  }
  if (input_.empty() && state_ == state::kReading && !parser_->HasStarted()) {
    since_ = server_.clock_.Now();
  }
  input_.append(buffer_.data(), size);
  read_bytes_ = size;
  if (state_ == state::kReading) {
    ParseInput();
  } else {
    UpdateBudget(0);
  }
  Read();
}

holder_use http_server_connection::MemoryUse() const {
  const std::size_t bytes = input_.capacity() + output_.capacity() + writing_.capacity() +
                            request_bytes_ + (parser_ ? parser_->HeldBytes() : 0);
  if (HasUnwrittenBytes()) return {.phase = holder_phase::kUnread, .bytes = bytes};
  if (state_ == state::kAnswering) return {.phase = holder_phase::kRunning, .bytes = bytes};
  if (state_ != state::kReading) return {.phase = holder_phase::kEnding};
  const bool arriving = !input_.empty() || parser_->HasStarted();
  return {.phase = arriving ? holder_phase::kArriving : holder_phase::kIdle, .bytes = bytes};
}

bool http_server_connection::UpdateBudget(std::size_t progress) {
  if (!holder_ || state_ == state::kClosed) return true;
  return server_.budget_->Update(*holder_, MemoryUse(), progress, server_.clock_.Now());
}

void http_server_connection::Yield(yield_reason reason) {
  if (reason == yield_reason::kBytes && MemoryUse().phase == holder_phase::kArriving) {
    // Many connections may have to yield before the first of them is refused.
    must_refuse_ = true;
    Clear(input_);
    BeginParser();
  }
  // Not from here: a request of another connection may be on the call stack.
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this(), reason] { self->OnYield(reason); });
}

void http_server_connection::OnYield(yield_reason reason) {
  if (state_ == state::kClosed || rejected_) return;
  if (must_refuse_) {
    Reject(503, "arrival_budget");
    return;
  }
  server_.handler_.OnClosedForOthers(reason == yield_reason::kBytes ? "unread_answer" : "place");
  Close();
}

void http_server_connection::ParseInput() {
  if (input_.empty() || must_refuse_) return;
  const parse_state parsed = parser_->Parse(input_);
  if (parser_->HasHead() && !HasSoundFraming(parser_->Head())) {
    Reject(400, "framing");
    return;
  }
  if (parsed == parse_state::kFailed) {
    if (parser_->BodyTooLarge()) return Reject(413, "body_too_large");
    if (parser_->HeaderTooLarge()) return Reject(431, "header_too_large");
    return Reject(400, "malformed");
  }
  if (!UpdateBudget(std::exchange(read_bytes_, 0))) return Reject(503, "arrival_budget");
  if (parsed == parse_state::kComplete) return HandleRequest();
  if (parser_->HasHead() && !continue_sent_ && parser_->Head().Has("Expect")) SendContinue();
}

bool http_server_connection::HasSoundFraming(const http_head& head) const {
  if (head.Count("Host") > 1 || (head.version >= 11 && !head.Has("Host"))) return false;
  if (head.Count("Content-Length") > 1) return false;
  const std::size_t encodings = head.Count("Transfer-Encoding");
  if (encodings == 0) return true;
  return encodings == 1 && !head.Has("Content-Length") && head.version >= 11 &&
         EqualNames(head.Find("Transfer-Encoding"), "chunked");
}

void http_server_connection::SendContinue() {
  continue_sent_ = true;
  output_ += "HTTP/1.1 100 Continue\r\n\r\n";
  Flush();
}

void http_server_connection::HandleRequest() {
  state_ = state::kAnswering;
  close_after_ = !parser_->KeepAlive();
  request_bytes_ = parser_->HeldBytes();
  http_head head = parser_->TakeHead();
  std::string body = std::move(parser_->Body());
  BeginParser();
  UpdateBudget(0);
  head_request_ = head.method == "HEAD";
  chunked_ = head.version >= 11;
  const auto self = shared_from_this();
  auto request = server_.handler_.OnRequest(std::move(head), std::move(body), *this);
  if (state_ == state::kAnswering) request_ = std::move(request);
}

void http_server_connection::Reject(unsigned status, std::string_view reason) {
  server_.handler_.OnRejectedRequest(status, reason);
  rejected_ = true;
  state_ = state::kAnswering;
  head_request_ = false;
  Clear(input_);
  BeginParser();
  http_answer answer{.status = status, .close = true};
  if (status == 503) answer.fields.push_back({"Retry-After", kOverloadRetryAfterSeconds});
  SendAnswer(answer);
}

void http_server_connection::AppendHead(const http_answer& answer, bool is_stream) {
  close_after_ = close_after_ || answer.close || server_.closing_ || (is_stream && !chunked_);
  std::vector<header_field> fields = answer.fields;
  if (!is_stream) {
    fields.push_back({"Content-Length", std::to_string(answer.body.size())});
  } else if (chunked_) {
    fields.push_back({"Transfer-Encoding", "chunked"});
  }
  if (close_after_) fields.push_back({"Connection", "close"});
  output_ += AnswerHeadText(
      answer.status, answer.reason.empty() ? StatusReason(answer.status) : answer.reason, fields);
}

void http_server_connection::SendAnswer(const http_answer& answer) {
  if (state_ != state::kAnswering) return;
  AppendHead(answer, false);
  if (!head_request_) output_ += answer.body;
  FinishAnswer();
}

void http_server_connection::BeginStream(const http_answer& head) {
  if (state_ != state::kAnswering) return;
  AppendHead(head, true);
}

void http_server_connection::SendPart(std::string_view bytes) {
  if (state_ != state::kAnswering || bytes.empty() || head_request_) return;
  if (chunked_) {
    std::array<char, 16> length{};
    const auto end =
        std::to_chars(length.data(), length.data() + length.size(), bytes.size(), 16).ptr;
    output_.append(length.data(), end).append("\r\n").append(bytes).append("\r\n");
  } else {
    output_.append(bytes);
  }
  if (UnwrittenBytes() > server_.options_.max_unsent_bytes) {
    Close();
    return;
  }
  Flush();
  if (!UpdateBudget(0)) Yield(yield_reason::kBytes);
}

void http_server_connection::EndStream() {
  if (state_ != state::kAnswering) return;
  if (chunked_ && !head_request_) output_ += "0\r\n\r\n";
  FinishAnswer();
}

void http_server_connection::Abort() {
  if (state_ == state::kClosed) return;
  request_.reset();
  ResetOnClose();
  Close();
}

void http_server_connection::ResetOnClose() {
  // A reset cannot be taken for the end of an answer without length.
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void http_server_connection::FinishAnswer() {
  request_.reset();
  request_bytes_ = 0;
  if (input_.empty()) Clear(input_);
  since_ = server_.clock_.Now();
  if (close_after_) {
    state_ = state::kLingering;
    Flush();
    if (!UpdateBudget(0)) Yield(yield_reason::kBytes);
    return;
  }
  state_ = state::kReading;
  BeginParser();
  Flush();
  if (!UpdateBudget(0)) Yield(yield_reason::kBytes);
  if (!input_.empty()) {
    // Not from here: the request that has just been answered may still be on the call stack.
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->state_ != state::kReading) return;
      self->ParseInput();
      self->Read();
    });
  }
}

void http_server_connection::Flush() {
  if (write_pending_ || !HasUnwrittenBytes() || state_ == state::kClosed) return;
  if (write_offset_ == writing_.size()) {
    writing_.swap(output_);
    Clear(output_);
    write_offset_ = 0;
  }
  write_pending_ = true;
  socket_.async_write_some(
      boost::asio::buffer(writing_) + write_offset_,
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
        self->OnWritten(error, size);
      });
}

void http_server_connection::OnWritten(const boost::system::error_code& error, std::size_t size) {
  write_pending_ = false;
  if (state_ == state::kClosed) return;
  if (state_ == state::kLingering) since_ = server_.clock_.Now();
  if (error) {
    Close();
    return;
  }
  write_offset_ += size;
  if (write_offset_ == writing_.size()) {
    Clear(writing_);
    write_offset_ = 0;
  }
  UpdateBudget(size);
  if (HasUnwrittenBytes()) {
    Flush();
  } else if (state_ == state::kLingering) {
    Linger();
  }
}

void http_server_connection::Linger() {
  // The caller must be able to read the answer before it sees the end of the connection.
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  since_ = server_.clock_.Now();
}

void http_server_connection::BeginParser() {
  parser_.emplace(request_parser::limits{.header_bytes = server_.options_.max_header_bytes,
                                         .body_bytes = server_.options_.max_body_bytes});
  continue_sent_ = false;
}

void http_server_connection::CheckTimeouts(time_point now) {
  const http_server_options& options = server_.options_;
  if (state_ == state::kLingering) {
    // A caller may read slowly, so the time runs from the last progress.
    const duration limit = HasUnwrittenBytes() ? options.idle_timeout : kLinger;
    if (now - since_ > limit) Close();
    return;
  }
  if (state_ != state::kReading) return;
  if (parser_->HasStarted()) {
    const duration limit = parser_->HasHead() ? options.idle_timeout : options.header_timeout;
    if (now - since_ > limit) Reject(408, "slow_request");
    return;
  }
  if (now - since_ > options.idle_timeout) Close();
}

bool http_server_connection::IsUnfinished() const {
  if (state_ != state::kReading) return state_ != state::kClosed;
  if (HasUnwrittenBytes() || !input_.empty() || parser_->HasStarted()) return true;
  // A request that has arrived but is not read yet must not be lost either.
  boost::system::error_code error;
  return socket_.available(error) > 0;
}

void http_server_connection::LoseCaller() {
  if (const auto request = std::exchange(request_, nullptr)) request->OnCallerGone();
}

void http_server_connection::Close() {
  if (state_ == state::kClosed) return;
  if (state_ == state::kAnswering || HasUnwrittenBytes()) ResetOnClose();
  state_ = state::kClosed;
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.close(ignored);
  LeaveBudget();
  LoseCaller();
  server_.Remove(*this);
}

}  // namespace berylbarrow
