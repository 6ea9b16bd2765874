#ifndef BERYLBARROW_VERSION_STORE_STORE_VIEW_H_
#define BERYLBARROW_VERSION_STORE_STORE_VIEW_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylbarrow {

/// What a gateway knows of the platform's store, for other gateways. It shows what has existed, and
/// never that something is current.
struct store_view {
  std::uint64_t era = 0;      // see store_position
  std::uint64_t version = 0;  // of the configuration in force; 0: none
  template <class Archive>
  void serialize(Archive& archive) {
    archive(era, version);
  }
  auto operator<=>(const store_view&) const = default;
};

std::string EncodeStoreView(const store_view& view);
/// Nothing if the bytes are no store view.
std::optional<store_view> DecodeStoreView(std::string_view datagram);

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_STORE_STORE_VIEW_H_
