#include "berylbarrow/version/store/store_view.h"

#include "connection/wire/datagram.h"

namespace berylbarrow {
namespace {

constexpr std::uint32_t kMagic = 0x62660001;

}  // namespace

std::string EncodeStoreView(const store_view& view) { return EncodeDatagram(kMagic, view); }

std::optional<store_view> DecodeStoreView(std::string_view datagram) {
  return DecodeDatagram<store_view>(kMagic, datagram);
}

}  // namespace berylbarrow
