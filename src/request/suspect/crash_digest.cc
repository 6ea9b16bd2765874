#include "berylbarrow/request/suspect/crash_digest.h"

#include "connection/wire/datagram.h"

namespace berylbarrow {
namespace {

constexpr std::uint32_t kMagic = 0x62640002;
constexpr std::uint32_t kAnswerMagic = 0x62650001;

}  // namespace

std::string EncodeAnswerDigest(const answer_digest& digest) {
  return EncodeDatagram(kAnswerMagic, digest);
}

std::optional<answer_digest> DecodeAnswerDigest(std::string_view datagram) {
  return DecodeDatagram<answer_digest>(kAnswerMagic, datagram);
}

std::string EncodeCrashDigest(const crash_digest& digest) { return EncodeDatagram(kMagic, digest); }

std::optional<crash_digest> DecodeCrashDigest(std::string_view datagram) {
  return DecodeDatagram<crash_digest>(kMagic, datagram);
}

}  // namespace berylbarrow
