#include "support/loopback_stream.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace berylbarrow {
namespace {

using steady_clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{50};

sockaddr_in MakeAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

bool AwaitReadable(int descriptor, std::chrono::milliseconds limit) {
  pollfd waiting{.fd = descriptor, .events = POLLIN, .revents = 0};
  return poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(limit.count(), 0))) > 0;
}

}  // namespace

loopback_stream::loopback_stream(int descriptor) : descriptor_(descriptor) {
  const int on = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

loopback_stream::~loopback_stream() {
  if (descriptor_ >= 0) close(descriptor_);
}

std::unique_ptr<loopback_stream> loopback_stream::Connect(const std::string& address) {
  auto stream = std::make_unique<loopback_stream>(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in target = MakeAddress(address);
  const int result =
      connect(stream->descriptor_, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  return result == 0 ? std::move(stream) : nullptr;
}

bool loopback_stream::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

template <typename Parser>
std::optional<http_message> loopback_stream::Read(milliseconds limit) {
  const auto deadline = steady_clock::now() + limit;
  Parser parser({});
  std::array<char, 16384> bytes{};
  while (true) {
    const parse_state parsed = input_.empty() ? parse_state::kNeedMore : parser.Parse(input_);
    if (parsed == parse_state::kFailed) return std::nullopt;
    if (parsed == parse_state::kComplete) {
      return http_message{.head = parser.TakeHead(), .body = std::move(parser.Body())};
    }
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
    if (!AwaitReadable(descriptor_, left)) return std::nullopt;
    const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count <= 0) return std::nullopt;
    input_.append(bytes.data(), static_cast<std::size_t>(count));
  }
}

std::optional<http_message> loopback_stream::ReadRequest(milliseconds limit) {
  return Read<request_parser>(limit);
}

std::optional<http_message> loopback_stream::ReadAnswer(milliseconds limit) {
  return Read<response_parser>(limit);
}

bool loopback_stream::IsEnded() {
  char byte = 0;
  const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void loopback_stream::Reset() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  const std::lock_guard lock(descriptor_mutex_);
  if (descriptor_ < 0) return;
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close(std::exchange(descriptor_, -1));
}

void loopback_stream::Interrupt() {
  const std::lock_guard lock(descriptor_mutex_);
  if (descriptor_ >= 0) shutdown(descriptor_, SHUT_RDWR);
}

loopback_server::loopback_server(connection_handler handler)
    : handler_(std::move(handler)), listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = MakeAddress("127.0.0.1:0");
  socklen_t size = sizeof address;
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener_, SOMAXCONN) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot listen on loopback");
  }
  address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  accept_thread_ = std::thread([this] { Accept(); });
}

loopback_server::~loopback_server() { Stop(); }

void loopback_server::Accept() {
  while (!stopping_) {
    if (!AwaitReadable(listener_, kPollInterval)) continue;
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    const auto stream = std::make_shared<loopback_stream>(descriptor);
    const auto done = std::make_shared<std::atomic<bool>>(false);
    const std::lock_guard lock(mutex_);
    Collect();
    connections_.push_back({.stream = stream, .done = done, .thread = std::thread([=, this] {
                                                              handler_(*stream);
                                                              stream->Interrupt();
                                                              *done = true;
                                                            })});
  }
}

void loopback_server::Collect() {
  const auto ended = std::partition(connections_.begin(), connections_.end(),
                                    [](const connection& each) { return !*each.done; });
  std::for_each(ended, connections_.end(), [](connection& each) { each.thread.join(); });
  connections_.erase(ended, connections_.end());
}

void loopback_server::InterruptAll() {
  const std::lock_guard lock(mutex_);
  for (const connection& each : connections_) each.stream->Interrupt();
}

void loopback_server::Stop() {
  if (stopping_.exchange(true)) return;
  accept_thread_.join();
  close(listener_);
  InterruptAll();
  for (connection& each : connections_) each.thread.join();
  connections_.clear();
}

}  // namespace berylbarrow
