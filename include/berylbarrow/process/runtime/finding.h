#ifndef BERYLBARROW_PROCESS_RUNTIME_FINDING_H_
#define BERYLBARROW_PROCESS_RUNTIME_FINDING_H_

#include <boost/outcome/result.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylbarrow {

/// One problem of an input, with its place. Lines and columns count from 1; 0 means "whole file".
struct finding {
  std::string file;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  std::string message;

  auto operator<=>(const finding&) const = default;
};

/// All problems of one input, in order of their place.
using findings = std::vector<finding>;

/// A value, or every problem that prevented it.
template <typename Value>
using checked = boost::outcome_v2::result<Value, findings, boost::outcome_v2::policy::terminate>;

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_FINDING_H_
