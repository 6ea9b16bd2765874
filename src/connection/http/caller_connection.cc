#include "connection/http/caller_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <iterator>
#include <utility>

namespace berylbarrow {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 4096;
// Larger buffers are returned to the system when they are empty.
constexpr std::size_t kKeptBufferBytes = 4096;
// What Beast allocates for a field of a header beside its text.
constexpr std::size_t kFieldBytes = 96;
// Holds one header of the maximum size and the block that Beast reads at a time (64 KiB).
constexpr std::size_t kBufferBytes = 128UL * 1024;
// Pipelined bytes accepted while an answer is being made. Beyond this the connection is not read,
// and a caller that leaves is noticed at the next write.
constexpr std::size_t kMaxPipelinedBytes = 32UL * 1024;
// A socket closed with unread bytes sends RST, which can destroy the reply on its way.
constexpr auto kLingerTime = std::chrono::seconds(1);

// A caller that sends nothing must not keep its place among the connections for long.
constexpr auto kHandshakeTime = std::chrono::seconds(5);

asio::ip::tcp::socket WithoutDelay(asio::ip::tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  return socket;
}

bool IsTooLarge(const boost::system::error_code& error) {
  return error == http::error::header_limit || error == http::error::body_limit ||
         error == http::error::buffer_overflow;
}

}  // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket, const std::string& address,
                                     std::shared_ptr<caller_host> host)
    : stream_(WithoutDelay(std::move(socket)), host->Tls()),
      read_timer_(stream_.get_executor()),
      write_timer_(stream_.get_executor()),
      host_(std::move(host)),
      buffer_(kBufferBytes),
      holder_(host_->Budget().Add(*this, address, 0, host_->Now())) {}

caller_connection::~caller_connection() { host_->Budget().Remove(holder_); }

holder_use caller_connection::MemoryUse() const {
  std::size_t bytes = buffer_.capacity() + outgoing_.capacity() + in_write_.capacity() +
                      request_bytes_ + head_bytes_;
  if (parser_) bytes += parser_->get().body().capacity();
  if (phase_ == phase::kLinger || phase_ == phase::kClosed) return {.phase = holder_phase::kEnding};
  if (UnwrittenBytes() > 0) return {.phase = holder_phase::kUnread, .bytes = bytes};
  if (phase_ == phase::kWaiting) return {.phase = holder_phase::kRunning, .bytes = bytes};
  return {.phase = HasRequestBegun() ? holder_phase::kArriving : holder_phase::kIdle,
          .bytes = bytes};
}

bool caller_connection::UpdateBudget(std::size_t progress) {
  return host_->Budget().Update(holder_, MemoryUse(), progress, host_->Now());
}

void caller_connection::Yield(yield_reason /*reason*/) {
  // Not from here: an operation of another connection is on the call stack.
  asio::post(stream_.get_executor(), [self = shared_from_this()] { self->OnYield(); });
}

void caller_connection::OnYield() {
  if (phase_ == phase::kClosed || refused_) {
    return;
  }
  if (phase_ == phase::kReading && !HasRequestBegun()) {
    Close();
  } else if (phase_ == phase::kReading) {
    // The pending read refers to the parser, which is released when that read has ended.
    stream_.CancelReads();
    RefuseForMemory();
  } else {
    ++host_->Count().slow_callers;
    Abandon();
  }
}

void caller_connection::RefuseForMemory() {
  ++host_->Count().refused_memory;
  Refuse(NotRunReply("memory", "the process holds too many requests"));
}

void caller_connection::Start() {
  Handshake([](caller_connection& self) { self.ReadRequest(); });
}

void caller_connection::StartRefusing(caller_reply reply) {
  Handshake([reply = std::move(reply)](caller_connection& self) { self.Refuse(reply); });
}

template <typename Next>
void caller_connection::Handshake(Next next) {
  if (!stream_.IsEncrypted()) {
    next(*this);
    return;
  }
  phase_ = phase::kHandshake;
  ArmReadTimer(std::min<duration>(kHandshakeTime, host_->Options().idle_timeout));
  stream_.AsyncHandshake(
      [self = shared_from_this(), next = std::move(next)](const error_code& error) {
        if (self->phase_ == phase::kClosed) {
          return;
        }
        if (error) {
          ++self->host_->Count().handshakes_failed;
          self->Close();
          return;
        }
        next(*self);
      });
}

void caller_connection::Refuse(const caller_reply& reply) {
  phase_ = phase::kFlushing;
  keep_alive_ = false;
  refused_ = true;
  Write(SerializeReply(reply, false));
}

void caller_connection::ReadRequest() {
  phase_ = phase::kReading;
  parser_.emplace();
  parser_->header_limit(host_->Options().max_header_bytes);
  parser_->body_limit(host_->Options().max_request_bytes);
  head_bytes_ = 0;
  request_bytes_ = 0;
  if (buffer_.size() == 0 && buffer_.capacity() > kKeptBufferBytes) buffer_.shrink_to_fit();
  UpdateBudget(0);
  ArmReadTimer(host_->Options().idle_timeout);
  if (watching_) {
    // OnWatched starts the read. Pipelined bytes that are already here must not wait for more.
    if (buffer_.size() > 0) {
      stream_.CancelReads();
    }
    return;
  }
  http::async_read_header(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t) { self->OnHeader(error); });
}

void caller_connection::OnHeader(error_code error) {
  if (phase_ != phase::kReading) {
    parser_.reset();
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  if (boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  const auto& head = parser_->get();
  head_bytes_ = static_cast<std::size_t>(std::distance(head.begin(), head.end())) * kFieldBytes;
  ReadBody(0);
}

void caller_connection::ReadBody(std::size_t progress) {
  if (!UpdateBudget(progress)) {
    parser_.reset();
    RefuseForMemory();
    return;
  }
  if (parser_->is_done()) {
    read_timer_.cancel();
    Dispatch();
    return;
  }
  http::async_read_some(stream_, buffer_, *parser_,
                        [self = shared_from_this()](error_code error, std::size_t bytes) {
                          self->OnBody(error, bytes);
                        });
}

void caller_connection::OnBody(error_code error, std::size_t bytes) {
  if (phase_ != phase::kReading) {
    parser_.reset();
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  ReadBody(bytes);
}

void caller_connection::OnReadError(error_code error) {
  if (error == http::error::partial_message) {
    FailRequest({.status = 400, .code = "truncated", .message = "the request ended early"});
  } else if (IsTooLarge(error)) {
    FailRequest({.status = 413, .code = "too_large", .message = "the request is too large"});
  } else if (error != http::error::end_of_stream &&
             error.category() == make_error_code(http::error::bad_method).category()) {
    FailRequest({.status = 400, .code = "malformed", .message = error.message()});
  } else {
    Close();
  }
}

void caller_connection::FailRequest(const caller_error& error) {
  ++host_->Count().malformed;
  Refuse(ErrorReply(error));
}

void caller_connection::Dispatch() {
  keep_alive_ = parser_->get().keep_alive();
  head_sent_ = false;
  bodyless_ = false;
  request_bytes_ = parser_->get().body().capacity() + head_bytes_;
  head_bytes_ = 0;
  auto parsed = ParseCallerRequest(parser_->get());
  parser_.reset();
  if (const auto* error = std::get_if<caller_error>(&parsed)) {
    ++host_->Count().malformed;
    phase_ = phase::kFlushing;
    Write(SerializeReply(ErrorReply(*error), KeepAlive()));
    return;
  }
  phase_ = phase::kWaiting;
  const auto caller = host_->Begin(shared_from_this(), std::get<caller_message>(std::move(parsed)));
  if (!caller) {
    ++host_->Count().refused_full;
    phase_ = phase::kFlushing;
    Write(SerializeReply(NotRunReply("overload", "the process is overloaded"), KeepAlive()));
    return;
  }
  caller_ = *caller;
  ++host_->Count().requests;
  UpdateBudget(0);
  WatchForClose();
}

void caller_connection::WatchForClose() {
  if (watching_ || buffer_.size() >= kMaxPipelinedBytes) {
    return;
  }
  watching_ = true;
  stream_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](error_code error, std::size_t bytes) {
                            self->OnWatched(error, bytes);
                          });
}

void caller_connection::OnWatched(error_code error, std::size_t bytes) {
  watching_ = false;
  if (phase_ == phase::kClosed) {
    return;
  }
  buffer_.commit(bytes);
  if (phase_ == phase::kLinger) {
    Discard();
  } else if (error && phase_ == phase::kFlushing) {
    keep_alive_ = false;
  } else if (error && error != asio::error::operation_aborted) {
    Abandon();
  } else if (phase_ == phase::kWaiting) {
    WatchForClose();
  } else if (phase_ == phase::kReading) {
    ReadRequest();
  }
}

void caller_connection::Reply(const caller_reply& reply) {
  if (head_sent_) {
    End(false);
    return;
  }
  const bool keep_alive = KeepAlive();
  keep_alive_ = keep_alive;
  FinishExchange();
  Write(SerializeReply(reply, keep_alive));
}

void caller_connection::Head(const caller_head& head) {
  if (std::exchange(head_sent_, true)) {
    return;
  }
  keep_alive_ = KeepAlive();
  bodyless_ = IsBodyless(head.status);
  Write(SerializeHead(head, keep_alive_));
}

void caller_connection::Part(std::string_view bytes) {
  // A chunk of size zero would end the answer.
  if (bytes.empty() || bodyless_) {
    return;
  }
  if (!head_sent_) {
    End(false);
    return;
  }
  Write(SerializeChunk(bytes));
}

void caller_connection::End(bool complete) {
  if (!head_sent_) {
    keep_alive_ = false;
    Reply(ErrorReply(
        {.status = 502, .code = "incomplete", .message = "the answer could not be completed"}));
    return;
  }
  keep_alive_ = keep_alive_ && complete;
  FinishExchange();
  if (complete && !bodyless_) {
    Write(SerializeLastChunk());
  } else if (!writing_) {
    OnFlushed();
  }
}

void caller_connection::FinishExchange() {
  phase_ = phase::kFlushing;
  request_bytes_ = 0;
  host_->Finish(std::exchange(caller_, 0), false);
}

void caller_connection::Write(std::string_view bytes) {
  if (phase_ == phase::kClosed) {
    return;
  }
  if (UnwrittenBytes() + bytes.size() > host_->Options().max_outgoing_bytes) {
    ++host_->Count().slow_callers;
    Abandon();
    return;
  }
  outgoing_ += bytes;
  if (!writing_) {
    writing_ = true;
    WriteSome();
  }
  if (!UpdateBudget(0) && !refused_) {
    Yield(yield_reason::kBytes);
  }
}

void caller_connection::WriteSome() {
  if (written_ == in_write_.size()) {
    in_write_.clear();
    if (in_write_.capacity() > kKeptBufferBytes) in_write_.shrink_to_fit();
    std::swap(in_write_, outgoing_);
    written_ = 0;
  }
  if (in_write_.empty()) {
    writing_ = false;
    write_timer_.cancel();
    OnFlushed();
    return;
  }
  ArmWriteTimer();
  stream_.async_write_some(asio::buffer(in_write_) + written_,
                           [self = shared_from_this()](error_code error, std::size_t bytes) {
                             if (self->phase_ == phase::kClosed) {
                               return;
                             }
                             if (error) {
                               self->Abandon();
                               return;
                             }
                             self->written_ += bytes;
                             self->UpdateBudget(bytes);
                             self->WriteSome();
                           });
}

void caller_connection::OnFlushed() {
  if (phase_ != phase::kFlushing) {
    return;
  }
  if (!KeepAlive()) {
    StartLinger();
    return;
  }
  ReadRequest();
}

void caller_connection::StartLinger() {
  phase_ = phase::kLinger;
  ArmReadTimer(kLingerTime);
  stream_.ShutdownSend([self = shared_from_this()](error_code) {});
  Discard();
}

void caller_connection::Discard() {
  if (watching_) {
    return;
  }
  buffer_.clear();
  stream_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](error_code error, std::size_t) {
                            if (self->phase_ == phase::kClosed) {
                              return;
                            }
                            if (error) {
                              self->Close();
                              return;
                            }
                            self->Discard();
                          });
}

bool caller_connection::IsUnfinished() const {
  if (phase_ != phase::kReading) {
    return phase_ == phase::kHandshake || phase_ == phase::kWaiting || phase_ == phase::kFlushing;
  }
  const bool began = HasRequestBegun();
  // Bytes that have arrived but are not read yet belong to a request that must not be cut off.
  return began || stream_.HasUnreadBytes();
}

void caller_connection::CloseIfIdle() {
  if (phase_ == phase::kReading && !IsUnfinished()) {
    Close();
  }
}

void caller_connection::Abandon() {
  if (caller_ != 0) {
    ++host_->Count().abandoned;
    host_->Finish(std::exchange(caller_, 0), true);
  }
  Close();
}

void caller_connection::Close() {
  if (std::exchange(phase_, phase::kClosed) == phase::kClosed) {
    return;
  }
  host_->Budget().Remove(holder_);
  stream_.Close();
  read_timer_.cancel();
  write_timer_.cancel();
  host_->Forget(this);
}

void caller_connection::ArmReadTimer(duration limit) {
  read_timer_.expires_after(limit);
  read_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->read_timer_.expiry() <= asio::steady_timer::clock_type::now()) {
      self->OnReadTimeout();
    }
  });
}

void caller_connection::OnReadTimeout() {
  if (phase_ == phase::kLinger) {
    Close();
  } else if (phase_ == phase::kHandshake) {
    ++host_->Count().handshakes_failed;
    Close();
  } else if (phase_ == phase::kReading) {
    if (buffer_.size() == 0 && !(parser_ && parser_->got_some())) {
      Close();
    } else {
      FailRequest(
          {.status = 400, .code = "truncated", .message = "the request did not arrive in time"});
    }
  }
}

void caller_connection::ArmWriteTimer() {
  write_timer_.expires_after(host_->Options().idle_timeout);
  write_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->phase_ != phase::kClosed &&
        self->write_timer_.expiry() <= asio::steady_timer::clock_type::now()) {
      ++self->host_->Count().slow_callers;
      self->Abandon();
    }
  });
}

}  // namespace berylbarrow
