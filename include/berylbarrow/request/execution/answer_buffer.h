#ifndef BERYLBARROW_REQUEST_EXECUTION_ANSWER_BUFFER_H_
#define BERYLBARROW_REQUEST_EXECUTION_ANSWER_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylbarrow {

/// A contiguous byte range of an answer: bytes are appended at its end and freed at its beginning.
/// Offsets are in bytes from the start of the whole answer.
class answer_buffer {
 public:
  explicit answer_buffer(std::uint64_t start_offset = 0) : base_offset_(start_offset) {}

  /// Offset of the first byte that has not been freed.
  std::uint64_t Begin() const { return base_offset_ + freed_bytes_; }
  /// Offset one past the last byte.
  std::uint64_t End() const { return base_offset_ + bytes_.size(); }
  /// Number of bytes that have not been freed.
  std::size_t Size() const { return bytes_.size() - freed_bytes_; }

  void Append(std::string_view bytes) { bytes_.append(bytes); }
  /// Frees the bytes before `offset`, which is clamped to the range from Begin to End.
  void FreeBefore(std::uint64_t offset);
  /// Returns at most `count` bytes from `offset`, which must be between Begin and End inclusive.
  /// The view is valid until the next call of Append or FreeBefore.
  std::string_view Read(std::uint64_t offset, std::size_t count) const;

 private:
  std::uint64_t base_offset_;    // of the first byte in `bytes_`
  std::size_t freed_bytes_ = 0;  // at the start of `bytes_`, still stored
  std::string bytes_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_EXECUTION_ANSWER_BUFFER_H_
