#ifndef TESTS_SUPPORT_SHARE_TABLE_H_
#define TESTS_SUPPORT_SHARE_TABLE_H_

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>

#include "support/history.h"

namespace berylbarrow {

/// How requests and payments ended, per kind of fault.
class share_table {
 public:
  void Add(const std::string& row, const history& log);
  void Print(std::ostream& out) const;

 private:
  /// A payment with all its repetitions.
  struct payment_counts {
    std::uint64_t paid = 0;     // the caller has the whole answer
    std::uint64_t not_run = 0;  // the caller knows that it was not run, and stopped trying
    std::uint64_t unknown = 0;
  };
  struct row_counts {
    std::uint64_t schedules = 0;
    std::array<std::uint64_t, kRequestEnds> requests{};
    payment_counts payments;
  };

  std::map<std::string, row_counts> rows_;
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_SHARE_TABLE_H_
