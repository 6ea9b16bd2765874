#ifndef BERYLBARROW_CONNECTION_WIRE_INPUT_ARCHIVE_H_
#define BERYLBARROW_CONNECTION_WIRE_INPUT_ARCHIVE_H_

#include <algorithm>
#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace berylbarrow {

/// Reads little-endian cereal portable binary from untrusted bytes. cereal's own input archive
/// allocates whatever a length field says; this one throws cereal::Exception if a length exceeds
/// the bytes that remain.
class input_archive : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit input_archive(std::string_view bytes)
      : InputArchive<input_archive, cereal::AllowEmptyClassElision>(this), bytes_(bytes) {
    std::uint8_t little_endian = 0;
    ReadBytes(&little_endian, sizeof(little_endian));
    if (little_endian != 1) throw cereal::Exception("payload is not little-endian");
  }

  std::size_t Remaining() const { return bytes_.size(); }

  void ReadBytes(void* target, std::size_t count) {
    if (count > bytes_.size()) throw cereal::Exception("payload ends within a value");
    std::memcpy(target, bytes_.data(), count);
    bytes_.remove_prefix(count);
  }

  template <typename Number>
  void ReadNumber(Number& value) {
    ReadBytes(&value, sizeof(value));
    if constexpr (std::endian::native == std::endian::big) {
      auto* first = reinterpret_cast<unsigned char*>(&value);
      std::reverse(first, first + sizeof(value));
    }
  }

 private:
  std::string_view bytes_;
};

template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> load(input_archive& archive, Number& value) {
  if constexpr (std::is_same_v<Number, bool>) {
    std::uint8_t byte = 0;
    archive.ReadNumber(byte);
    if (byte > 1) throw cereal::Exception("boolean is neither 0 nor 1");
    value = byte == 1;
  } else {
    archive.ReadNumber(value);
  }
}

template <typename Value>
void load(input_archive& archive, cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Size>
void load(input_archive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  // Every element of a container takes at least one byte.
  if (tag.size > archive.Remaining()) throw cereal::Exception("length exceeds the payload");
}

template <typename Value>
void load(input_archive& archive, cereal::BinaryData<Value>& data) {
  static_assert(sizeof(std::remove_pointer_t<Value>) == 1, "only strings are read as a block");
  archive.ReadBytes(data.data, static_cast<std::size_t>(data.size));
}

/// Grows with the elements that were read, because an element may take more memory than bytes.
template <typename Value, typename Allocator>
void load(input_archive& archive, std::vector<Value, Allocator>& values) {
  cereal::size_type size = 0;
  archive(cereal::make_size_tag(size));
  values.clear();
  for (cereal::size_type i = 0; i < size; ++i) {
    Value value{};
    archive(value);
    values.push_back(std::move(value));
  }
}

}  // namespace berylbarrow

// cereal looks up how the values it loads were saved.
template <>
struct cereal::traits::detail::get_output_from_input<berylbarrow::input_archive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif  // BERYLBARROW_CONNECTION_WIRE_INPUT_ARCHIVE_H_
