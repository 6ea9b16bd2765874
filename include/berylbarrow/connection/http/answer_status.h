#ifndef BERYLBARROW_CONNECTION_HTTP_ANSWER_STATUS_H_
#define BERYLBARROW_CONNECTION_HTTP_ANSWER_STATUS_H_

#include <cstdint>

namespace berylbarrow {

enum class status_kind : std::uint8_t {
  kInterim,  // the answer follows
  kFinal,
  kNone,  // not a status of HTTP; what follows on the connection belongs to no answer
};

/// What an answer to this process means by its status. 101 is none because no request asks for an
/// upgrade.
constexpr status_kind KindOfStatus(unsigned status) {
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kFirstInterim = 100;
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kEnd = 600;
  if (status < kFirstInterim || status >= kEnd || status == kSwitchingProtocols) {
    return status_kind::kNone;
  }
  return status < kFirstFinal ? status_kind::kInterim : status_kind::kFinal;
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_ANSWER_STATUS_H_
