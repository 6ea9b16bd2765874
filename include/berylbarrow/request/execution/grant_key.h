#ifndef BERYLBARROW_REQUEST_EXECUTION_GRANT_KEY_H_
#define BERYLBARROW_REQUEST_EXECUTION_GRANT_KEY_H_

#include <boost/outcome/result.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylbarrow {

/// Permission to create idempotency keys for one incarnation of one agent in one of its epochs.
struct grant {
  std::string agent;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;

  auto operator<=>(const grant&) const = default;
};

/// An idempotency key: a grant and a nonce chosen by the caller.
struct grant_key {
  grant permission;
  std::string nonce;

  auto operator<=>(const grant_key&) const = default;
};

/// Agents store every key in a record, so the length of a key is limited.
constexpr std::size_t kMaxGrantKeyBytes = 256;

/// The parsed key, or a message that describes the syntax error.
using grant_key_result =
    boost::outcome_v2::result<grant_key, std::string, boost::outcome_v2::policy::terminate>;

/// Returns AGENT/INCARNATION/EPOCH, with the incarnation in hex and the epoch in decimal.
std::string FormatGrant(const grant& permission);

/// Returns AGENT/INCARNATION/EPOCH/NONCE, with numbers as in FormatGrant.
std::string FormatGrantKey(const grant_key& key);

/// Accepts only the canonical form that FormatGrantKey writes, so that two spellings of one key
/// cannot run an operation twice. The nonce is any non-empty sequence of visible ASCII characters.
grant_key_result ParseGrantKey(std::string_view text);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_EXECUTION_GRANT_KEY_H_
