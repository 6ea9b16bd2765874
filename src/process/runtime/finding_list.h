#ifndef BERYLBARROW_PROCESS_RUNTIME_FINDING_LIST_H_
#define BERYLBARROW_PROCESS_RUNTIME_FINDING_LIST_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "berylbarrow/process/runtime/finding.h"

namespace berylbarrow {

/// Line and column of a finding, counted from 1; columns count bytes.
struct place {
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  auto operator<=>(const place&) const = default;
};

/// Collects the findings of one file.
class finding_list {
 public:
  explicit finding_list(std::string_view file) : file_(file) {}

  /// Counts but does not keep findings after the first kMaxFindings.
  /// Control characters of the input that the message cites are replaced by "?", so that each
  /// finding stays on one line.
  void Add(const place& at, std::string message) {
    if (found_.size() >= kMaxFindings) {
      ++omitted_;
      return;
    }
    std::replace_if(
        message.begin(), message.end(),
        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; }, '?');
    found_.push_back(
        {.file = file_, .line = at.line, .column = at.column, .message = std::move(message)});
  }
  bool Empty() const { return found_.empty(); }

  /// The findings, sorted by place.
  findings Take() && {
    std::sort(found_.begin(), found_.end());
    if (omitted_ > 0) {
      found_.push_back(
          {.file = file_, .message = std::to_string(omitted_) + " further findings omitted"});
    }
    return std::move(found_);
  }

 private:
  // 1 MB of wrong input gave 800,000 findings and 200 MB; a node may use 32 MB.
  static constexpr std::size_t kMaxFindings = 1000;

  std::string file_;
  findings found_;
  std::size_t omitted_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_FINDING_LIST_H_
