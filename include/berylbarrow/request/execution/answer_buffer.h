#ifndef BERYLBARROW_REQUEST_EXECUTION_ANSWER_BUFFER_H_
#define BERYLBARROW_REQUEST_EXECUTION_ANSWER_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylbarrow {

/// The bytes of an answer between two offsets. Offsets count from the start of the whole answer.
class answer_buffer {
 public:
  explicit answer_buffer(std::uint64_t start = 0) : base_(start) {}

  /// Offset of the first byte held.
  std::uint64_t Begin() const { return base_ + freed_; }
  /// Offset behind the last byte.
  std::uint64_t End() const { return base_ + bytes_.size(); }
  /// Bytes held and not yet freed.
  std::size_t Size() const { return bytes_.size() - freed_; }

  void Append(std::string_view bytes) { bytes_.append(bytes); }
  /// Frees the bytes before `offset`; an offset outside the buffer is limited to it.
  void FreeBefore(std::uint64_t offset);
  /// At most `count` bytes from `offset`, which must lie between Begin and End.
  std::string_view Read(std::uint64_t offset, std::size_t count) const;

 private:
  std::uint64_t base_;
  std::size_t freed_ = 0;
  std::string bytes_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_EXECUTION_ANSWER_BUFFER_H_
