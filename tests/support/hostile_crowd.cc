#include "support/hostile_crowd.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

// A connection that takes nothing for so long is not read any more.
constexpr auto kSilence = std::chrono::seconds(3);
// Bytes that are sent on a connection before the next one has its turn.
constexpr std::size_t kTurnBytes = 64UL << 10U;
// Answers stay with the process instead of in the buffers of the system.
constexpr int kReceiveBufferBytes = 4096;

std::uint16_t PortOf(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

/// Bytes that wait for the process in the receive buffers of its connections.
std::size_t UnreadBytes(std::uint16_t port) {
  std::ifstream table("/proc/net/tcp");
  std::size_t sum = 0;
  std::string line;
  std::getline(table, line);  // the titles
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    constexpr const char* kListening = "0A";
    if (state == kListening || std::stoul(local.substr(local.find(':') + 1), nullptr, 16) != port) {
      continue;
    }
    sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return sum;
}

int Connect(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(PortOf(address));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &remote.sin_addr);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
  if (descriptor < 0 ||
      connect(descriptor, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
    throw std::runtime_error("cannot connect to " + address);
  }
  return descriptor;
}

/// The bytes of the message from `offset` on, at most one turn.
std::string_view BytesAt(const std::string& head, const std::string& block, std::size_t length,
                         std::size_t offset) {
  if (offset < head.size()) return std::string_view(head).substr(offset);
  const std::string_view rest =
      std::string_view(block).substr((offset - head.size()) % block.size());
  return rest.substr(0, std::min(length - offset, kTurnBytes));
}

}  // namespace

hostile_crowd::hostile_crowd(const std::string& address, std::size_t size)
    : port_(PortOf(address)) {
  for (std::size_t i = 0; i < size; ++i) members_.push_back({.descriptor = Connect(address)});
}

hostile_crowd::~hostile_crowd() {
  for (const member& each : members_) close(each.descriptor);
}

void hostile_crowd::Send(const hostile_message& message) {
  std::string block;
  while (!message.piece.empty() && block.size() < kTurnBytes) block += message.piece;
  const std::size_t length = message.head.size() + message.piece.size() * message.pieces;
  for (member& each : members_) each.sent = 0;
  auto last_progress = steady_clock::now();
  while (steady_clock::now() - last_progress < kSilence) {
    bool has_more = false;
    bool progressed = false;
    for (member& each : members_) {
      if (each.ended || each.sent == length) continue;
      has_more = true;
      const std::string_view bytes = BytesAt(message.head, block, length, each.sent);
      const ssize_t taken =
          send(each.descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (taken > 0) each.sent += static_cast<std::size_t>(taken);
      each.ended = taken < 0 && errno != EAGAIN;
      progressed = progressed || taken > 0;
    }
    if (!has_more) return AwaitRead();
    if (progressed) last_progress = steady_clock::now();
    if (!progressed) std::this_thread::sleep_for(milliseconds(1));
  }
}

void hostile_crowd::AwaitRead() const {
  std::size_t unread = UnreadBytes(port_);
  auto last_progress = steady_clock::now();
  while (unread > 0 && steady_clock::now() - last_progress < kSilence) {
    std::this_thread::sleep_for(milliseconds(20));
    const std::size_t left = UnreadBytes(port_);
    if (left < unread) last_progress = steady_clock::now();
    unread = left;
  }
}

}  // namespace berylbarrow
