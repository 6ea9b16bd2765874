#ifndef BERYLBARROW_CONNECTION_WIRE_CODEC_H_
#define BERYLBARROW_CONNECTION_WIRE_CODEC_H_

#include <boost/outcome/result.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "berylbarrow/connection/wire/message.h"

namespace berylbarrow {

/// Bytes of the length in front of each frame.
inline constexpr std::size_t kFrameHeaderBytes = 4;
/// Fits one datagram on every usual network without fragmentation.
inline constexpr std::size_t kMaxHeartbeatBytes = 1400;

enum class codec_error : std::uint8_t {
  kTooLong,    // the length is above the bound
  kMalformed,  // the payload is not one message of the protocol
};

template <typename Value>
using decoded = boost::outcome_v2::result<Value, codec_error, boost::outcome_v2::policy::terminate>;

/// A 4-byte little-endian payload length, then the message as cereal portable binary
/// (little-endian).
std::string EncodeFrame(const peer_message& message);

/// Cuts a stream of bytes into messages. Allocates no more than the bytes it was fed, and for one
/// frame no more than its bound.
class frame_reader {
 public:
  /// `max_payload_bytes` bounds the payload of one frame.
  explicit frame_reader(std::size_t max_payload_bytes) : max_payload_bytes_(max_payload_bytes) {}

  void Feed(std::string_view bytes);

  /// The next message; no value if its frame is incomplete. An error is final: the stream has no
  /// recognisable frames after it.
  decoded<std::optional<peer_message>> Next();

 private:
  void Compact();

  std::size_t max_payload_bytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::optional<codec_error> failure_;
};

/// Drops the last suspects if the datagram would exceed kMaxHeartbeatBytes otherwise. The result
/// exceeds it only if the names in the heartbeat do.
std::string EncodeHeartbeat(const heartbeat& content);

decoded<heartbeat> DecodeHeartbeat(std::string_view datagram);

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_WIRE_CODEC_H_
