#ifndef BERYLBARROW_REQUEST_EXECUTION_GRANT_KEY_H_
#define BERYLBARROW_REQUEST_EXECUTION_GRANT_KEY_H_

#include <boost/outcome/result.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylbarrow {

/// Permission to form idempotency keys for one run of one agent during one of its epochs.
struct grant {
  std::string agent;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;

  auto operator<=>(const grant&) const = default;
};

/// An idempotency key: a grant and the caller's own nonce.
struct grant_key {
  grant permission;
  std::string nonce;

  auto operator<=>(const grant_key&) const = default;
};

/// Agents keep a record per key, so the length of a key is bounded.
constexpr std::size_t kMaxGrantKeyBytes = 256;

/// A key, or a message that says what is wrong with the text.
using grant_key_result =
    boost::outcome_v2::result<grant_key, std::string, boost::outcome_v2::policy::terminate>;

/// "agent name/incarnation in hex/epoch".
std::string FormatGrant(const grant& permission);

/// "agent name/incarnation in hex/epoch/nonce".
std::string FormatGrantKey(const grant_key& key);

/// Accepts exactly what FormatGrantKey writes, so that one operation cannot have two spellings of
/// its grant. The nonce is any non-empty sequence of visible ASCII characters.
grant_key_result ParseGrantKey(std::string_view text);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_EXECUTION_GRANT_KEY_H_
