#include "connection/peer/peer_session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace berylbarrow {
namespace {

using boost::system::error_code;
using std::chrono::steady_clock;

// Below the limit of one gathering write on Linux (IOV_MAX, 1024).
constexpr std::size_t kMaxFramesPerWrite = 64;

}  // namespace

peer_session::peer_session(tcp::socket socket, connection_id id,
                           const peer_manager_options& options, session_owner& owner)
    : socket_(std::move(socket)),
      id_(id),
      options_(options),
      owner_(owner),
      reader_(options.max_frame_bytes),
      last_byte_(steady_clock::now()),
      ping_timer_(socket_.get_executor()),
      deadline_timer_(socket_.get_executor()) {}

void peer_session::Connect(const tcp::endpoint& endpoint) {
  ArmDeadline(steady_clock::now() + options_.hello_limit);
  socket_.async_connect(endpoint, [self = shared_from_this()](const error_code& error) {
    if (self->closed_) return;
    if (error) return self->Close(close_reason::kConnectFailed);
    self->Start();
  });
}

void peer_session::Start() {
  if (closed_) return;
  error_code error;
  socket_.set_option(tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return Close(close_reason::kPeer);
  ArmDeadline(steady_clock::now() + options_.hello_limit);
  SendFrame(EncodeFrame(owner_.Greeting()));
  WaitReadable();
}

void peer_session::Resume() {
  if (closed_ || !waiting_for_owner_) return;
  waiting_for_owner_ = false;
  last_byte_ = steady_clock::now();
  HandleBuffered();
}

void peer_session::Close(close_reason reason) {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();  // the owner drops its reference in OnClosed
  error_code ignored;
  socket_.close(ignored);
  ping_timer_.cancel();
  deadline_timer_.cancel();
  owner_.OnClosed(*this, reason);
}

void peer_session::WaitReadable() {
  // Waiting before reading lets all sessions share one buffer; an idle connection holds none.
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    if (self->closed_) return;
    if (error) return self->Close(close_reason::kPeer);
    self->Read();
  });
}

void peer_session::Read() {
  const std::span<char> buffer = owner_.ReadBuffer();
  error_code error;
  const std::size_t count =
      socket_.read_some(boost::asio::buffer(buffer.data(), buffer.size()), error);
  if (error == boost::asio::error::would_block) return WaitReadable();
  if (error) return Close(close_reason::kPeer);
  last_byte_ = steady_clock::now();
  reader_.Feed({buffer.data(), count});
  HandleBuffered();
}

void peer_session::HandleBuffered() {
  while (!closed_) {
    decoded<std::optional<peer_message>> next = reader_.Next();
    if (!next) return Close(close_reason::kMalformed);
    if (!next.value()) return WaitReadable();
    // The owner may call Resume only later, from its own handler.
    if (!HandleMessage(*std::move(next.value()))) {
      waiting_for_owner_ = true;
      return;
    }
  }
}

bool peer_session::HandleMessage(peer_message message) {
  const auto* greeting = std::get_if<hello>(&message);
  if ((greeting != nullptr) == greeted_) {
    Close(close_reason::kMalformed);
    return true;
  }
  if (greeting != nullptr) return HandleHello(*greeting);
  if (const auto* probe = std::get_if<ping>(&message)) {
    SendFrame(EncodeFrame(pong{.sequence = probe->sequence}));
    return true;
  }
  if (std::holds_alternative<pong>(message)) return true;
  Track(message);
  return owner_.OnEvent(*this, peer_received{.connection = id_, .message = std::move(message)});
}

bool peer_session::HandleHello(const hello& greeting) {
  greeted_ = true;
  ArmDeadline(SilentAt());
  ArmPing();
  return owner_.OnEvent(*this, peer_opened{.connection = id_, .greeting = greeting});
}

void peer_session::SendFrame(std::string frame) {
  if (closed_) return;
  if (queue_.size() >= options_.max_queued_messages ||
      queued_bytes_ + frame.size() > options_.max_queued_bytes) {
    return Close(close_reason::kQueueFull);
  }
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (writing_ == 0) Write();
}

void peer_session::Write() {
  if (queue_.empty()) return;
  writing_ = std::min(queue_.size(), kMaxFramesPerWrite);
  std::vector<boost::asio::const_buffer> buffers;
  buffers.reserve(writing_);
  for (std::size_t i = 0; i < writing_; ++i) buffers.push_back(boost::asio::buffer(queue_[i]));
  boost::asio::async_write(
      socket_, buffers, [self = shared_from_this()](const error_code& error, std::size_t count) {
        if (self->closed_) return;
        if (error) return self->Close(close_reason::kPeer);
        self->queued_bytes_ -= count;
        const auto first = self->queue_.begin();
        self->queue_.erase(first, first + static_cast<std::ptrdiff_t>(self->writing_));
        self->writing_ = 0;
        self->Write();
      });
}

bool peer_session::Send(const peer_message& message) {
  std::string frame = EncodeFrame(message);
  if (frame.size() > options_.max_frame_bytes + kFrameHeaderBytes) return false;
  Track(message);
  SendFrame(std::move(frame));
  return true;
}

void peer_session::Track(const peer_message& message) {
  if (const auto* work = std::get_if<dispatch>(&message)) {
    const bool was_idle = in_flight_.empty();
    // A peer that never ends its requests must not make the set grow.
    if (in_flight_.size() < options_.max_queued_messages) in_flight_.insert(work->id);
    if (was_idle) {
      busy_since_ = steady_clock::now();
      ArmDeadline(SilentAt());
      ArmPing();
    }
  } else if (const auto* gone = std::get_if<cancel>(&message)) {
    in_flight_.erase(gone->id);
  } else if (const auto* refused = std::get_if<refusal>(&message)) {
    in_flight_.erase(refused->id);
  } else if (const auto* part = std::get_if<answer_part>(&message)) {
    if (part->end != answer_end::kMore) in_flight_.erase(part->id);
  }
}

peer_session::steady_time peer_session::SilentAt() const {
  if (in_flight_.empty()) {
    return last_byte_ + options_.idle_ping_interval + options_.silence_limit;
  }
  return std::max(last_byte_, busy_since_) + options_.silence_limit;
}

peer_session::steady_time peer_session::PingAt() const {
  const steady_time shown = std::max(last_byte_, last_ping_);
  return in_flight_.empty() ? shown + options_.idle_ping_interval
                            : std::max(shown, busy_since_) + options_.ping_interval;
}

void peer_session::ArmPing() {
  ping_timer_.expires_at(PingAt());
  ping_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->closed_) return;
    self->CheckPing();
  });
}

void peer_session::CheckPing() {
  const steady_time now = steady_clock::now();
  const bool is_due = now >= PingAt();
  if (is_due) last_ping_ = now;
  // Bytes that wait in the queue show the peer as much as a ping behind them.
  if (is_due && queue_.empty()) {
    owner_.OnPing();
    SendFrame(EncodeFrame(ping{.sequence = ++ping_sequence_}));
  }
  if (!closed_) ArmPing();
}

void peer_session::ArmDeadline(steady_time at) {
  deadline_timer_.expires_at(at);
  deadline_timer_.async_wait([self = shared_from_this(), at](const error_code& error) {
    if (error || self->closed_) return;
    self->CheckDeadline(at);
  });
}

void peer_session::CheckDeadline(steady_time armed_for) {
  const steady_time now = steady_clock::now();
  // After a pause of this process, bytes may wait in the socket that it had no time to read.
  if (now - armed_for > options_.ping_interval) return ArmDeadline(now + options_.ping_interval);
  if (!greeted_) return Close(close_reason::kNoHello);
  if (waiting_for_owner_) return ArmDeadline(now + options_.silence_limit);
  const steady_time due = SilentAt();
  if (due > now) return ArmDeadline(due);
  Close(close_reason::kSilent);
}

}  // namespace berylbarrow
