#ifndef BERYLBARROW_SRC_PROCESS_RUNTIME_NAMED_COUNTER_H_
#define BERYLBARROW_SRC_PROCESS_RUNTIME_NAMED_COUNTER_H_

#include <cstdint>
#include <string_view>

namespace berylbarrow {

/// The name of a counter in the text exposition and the state dump, without prefix and suffix.
template <typename Counters>
struct named_counter {
  std::string_view name;
  std::uint64_t Counters::*value;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_RUNTIME_NAMED_COUNTER_H_
