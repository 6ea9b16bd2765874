#include "berylbarrow/process/membership/fleet_beat.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "connection/wire/input_archive.h"

namespace berylbarrow {
namespace {

// Tells beats from other datagrams, and this version of the message from others.
constexpr std::uint32_t kMagic = 0x62620001;

}  // namespace

std::string EncodeBeat(const fleet_beat& beat) {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive archive(
      bytes, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  archive(kMagic, beat);
  return std::move(bytes).str();
}

std::optional<fleet_beat> DecodeBeat(std::string_view datagram) {
  try {
    input_archive archive(datagram);
    std::uint32_t magic = 0;
    archive(magic);
    if (magic != kMagic) return std::nullopt;
    fleet_beat beat;
    archive(beat);
    return archive.Remaining() == 0 ? std::optional(std::move(beat)) : std::nullopt;
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

}  // namespace berylbarrow
