#include "berylbarrow/process/membership/fleet_beat.h"

#include "connection/wire/datagram.h"

namespace berylbarrow {
namespace {

constexpr std::uint32_t kMagic = 0x62620010;

}  // namespace

std::string EncodeBeat(const fleet_beat& beat) { return EncodeDatagram(kMagic, beat); }

std::optional<fleet_beat> DecodeBeat(std::string_view datagram) {
  return DecodeDatagram<fleet_beat>(kMagic, datagram);
}

}  // namespace berylbarrow
