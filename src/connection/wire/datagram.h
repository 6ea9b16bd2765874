#ifndef BERYLBARROW_SRC_CONNECTION_WIRE_DATAGRAM_H_
#define BERYLBARROW_SRC_CONNECTION_WIRE_DATAGRAM_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "connection/wire/input_archive.h"

namespace berylbarrow {

/// One message as little-endian cereal portable binary. `magic` tells its kind and version from
/// others that arrive at the same socket.
template <typename Message>
std::string EncodeDatagram(std::uint32_t magic, const Message& message) {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive archive(
      bytes, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  archive(magic, message);
  return std::move(bytes).str();
}

/// Nothing if the bytes are not one message of that kind.
template <typename Message>
std::optional<Message> DecodeDatagram(std::uint32_t magic, std::string_view datagram) {
  try {
    input_archive archive(datagram);
    std::uint32_t found = 0;
    archive(found);
    if (found != magic) return std::nullopt;
    Message message;
    archive(message);
    return archive.Remaining() == 0 ? std::optional(std::move(message)) : std::nullopt;
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_CONNECTION_WIRE_DATAGRAM_H_
