#include "berylbarrow/connection/wire/codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <ostream>
#include <streambuf>
#include <utility>
#include <variant>

#include "connection/wire/input_archive.h"

namespace berylbarrow {
namespace {

// A buffer that once held a large frame is released when it is empty, so that idle connections keep
// little memory.
constexpr std::size_t kRetainedBufferBytes = 64 << 10;

/// Appends everything written to a string.
class string_sink final : public std::streambuf {
 public:
  explicit string_sink(std::string& target) : target_(target) {}

 protected:
  int_type overflow(int_type byte) override {  // NOLINT(readability-identifier-naming)
    if (!traits_type::eq_int_type(byte, traits_type::eof())) {
      target_.push_back(traits_type::to_char_type(byte));
    }
    return traits_type::not_eof(byte);
  }
  std::streamsize xsputn(const char* bytes,  // NOLINT(readability-identifier-naming)
                         std::streamsize count) override {
    target_.append(bytes, static_cast<std::size_t>(count));
    return count;
  }

 private:
  std::string& target_;
};

template <typename Value>
void AppendPayload(std::string& target, const Value& value) {
  string_sink sink(target);
  std::ostream stream(&sink);
  cereal::PortableBinaryOutputArchive archive(
      stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  archive(value);
}

// Values of an enumeration decide what a process does, so unknown ones make a frame malformed. The
// reason of a refusal is exempt: a refusal with an unknown reason is still a refusal.

template <typename Message>
bool Valid(const Message& /*message*/) {
  return true;
}

bool Valid(const hello& message) { return message.sender.role <= process_role::kAgent; }

bool Valid(const answer_part& message) { return message.end <= answer_end::kBroken; }

bool Valid(const refusal& message) { return message.certainty <= run_certainty::kUnknown; }

bool Valid(const heartbeat& message) {
  return message.sender.role <= process_role::kAgent && message.state <= process_state::kLeaving;
}

bool Valid(const peer_message& message) {
  return std::visit([](const auto& alternative) { return Valid(alternative); }, message);
}

template <typename Value>
std::optional<Value> DecodePayload(std::string_view payload) {
  try {
    input_archive archive(payload);
    std::optional<Value> value(std::in_place);
    archive(*value);
    if (archive.Remaining() != 0 || !Valid(*value)) return std::nullopt;
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::uint32_t ReadLength(std::string_view header) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(header[i])) << (8 * i);
  }
  return length;
}

}  // namespace

std::string EncodeFrame(const peer_message& message) {
  std::string frame(kFrameHeaderBytes, '\0');
  AppendPayload(frame, message);
  const auto length = static_cast<std::uint32_t>(frame.size() - kFrameHeaderBytes);
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame[i] = static_cast<char>(length >> (8 * i) & 0xFFU);
  }
  return frame;
}

void frame_reader::Feed(std::string_view bytes) {
  if (failure_) return;
  Compact();
  const std::size_t needed = buffer_.size() + bytes.size();
  if (needed > buffer_.capacity()) {
    const std::size_t largest_frame = max_payload_bytes_ + kFrameHeaderBytes;
    buffer_.reserve(std::max(needed, std::min(2 * buffer_.capacity(), largest_frame)));
  }
  buffer_.append(bytes);
}

decoded<std::optional<peer_message>> frame_reader::Next() {
  if (failure_) return *failure_;
  const std::string_view unread = std::string_view(buffer_).substr(consumed_);
  if (unread.size() < kFrameHeaderBytes) return std::optional<peer_message>();
  const std::uint32_t length = ReadLength(unread);
  if (length > max_payload_bytes_) {
    failure_ = codec_error::kTooLong;
    return *failure_;
  }
  if (unread.size() < kFrameHeaderBytes + length) return std::optional<peer_message>();
  std::optional<peer_message> message =
      DecodePayload<peer_message>(unread.substr(kFrameHeaderBytes, length));
  if (!message) {
    failure_ = codec_error::kMalformed;
    return *failure_;
  }
  consumed_ += kFrameHeaderBytes + length;
  return message;
}

void frame_reader::Compact() {
  if (consumed_ == 0) return;
  if (consumed_ == buffer_.size() && buffer_.capacity() > kRetainedBufferBytes) {
    std::string().swap(buffer_);
  } else {
    buffer_.erase(0, consumed_);
  }
  consumed_ = 0;
}

std::string EncodeHeartbeat(const heartbeat& content) {
  std::string datagram;
  AppendPayload(datagram, content);
  if (datagram.size() <= kMaxHeartbeatBytes || content.suspects.empty()) return datagram;

  // Measured, because a report has grown before and a wrong constant drops too many.
  heartbeat bare = content;
  bare.suspects.clear();
  std::string without_suspects;
  AppendPayload(without_suspects, bare);
  const std::size_t suspect_bytes =
      (datagram.size() - without_suspects.size()) / content.suspects.size();
  const std::size_t excess = datagram.size() - kMaxHeartbeatBytes;
  const std::size_t dropped =
      std::min(content.suspects.size(), (excess + suspect_bytes - 1) / suspect_bytes);
  heartbeat cut = content;
  cut.suspects.resize(cut.suspects.size() - dropped);
  datagram.clear();
  AppendPayload(datagram, cut);
  return datagram;
}

decoded<heartbeat> DecodeHeartbeat(std::string_view datagram) {
  if (datagram.size() > kMaxHeartbeatBytes) return codec_error::kTooLong;
  std::optional<heartbeat> content = DecodePayload<heartbeat>(datagram);
  if (!content) return codec_error::kMalformed;
  return *std::move(content);
}

}  // namespace berylbarrow
