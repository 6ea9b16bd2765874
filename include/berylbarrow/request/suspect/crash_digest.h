#ifndef BERYLBARROW_REQUEST_SUSPECT_CRASH_DIGEST_H_
#define BERYLBARROW_REQUEST_SUSPECT_CRASH_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylbarrow {

/// What may make a request crash upstreams: the fingerprint of the whole request, followed by the
/// ids of the prompt parts that other requests may share.
using trait_list = std::vector<std::uint64_t>;

/// A request that was on an upstream as it crashed.
struct accused_request {
  trait_list traits;
  std::uint32_t upstream = 0;  // hash of its id
  std::uint32_t ran_ms = 0;    // since its dispatch; of several attempts the longest
  std::uint32_t after_ms = 0;  // from the time of the report to that of the failure
  template <class Archive>
  void serialize(Archive& archive) {
    archive(traits, upstream, ran_ms, after_ms);
  }
  auto operator<=>(const accused_request&) const = default;
};

/// What one gateway has observed of the crash of an upstream.
struct crash_report {
  std::uint64_t observer = 0;            // incarnation of the gateway
  std::uint32_t sequence = 0;            // of the observation, unique for the observer
  std::uint32_t unit = 0;                // hash of the failure unit: a rank group or one upstream
  std::uint32_t age_ms = 0;              // at the time of sending
  bool is_group = true;                  // the unit has other upstreams, which fail some time later
  std::vector<accused_request> started;  // whose answer had started without a whole event
  std::vector<accused_request> unanswered;  // of whose answer no byte had arrived
  template <class Archive>
  void serialize(Archive& archive) {
    archive(observer, sequence, unit, age_ms, is_group, started, unanswered);
  }
  auto operator<=>(const crash_report&) const = default;
};

/// An answer to a request with a trait.
struct answer_report {
  std::uint64_t trait = 0;
  std::uint32_t age_ms = 0;  // at the time of sending
  template <class Archive>
  void serialize(Archive& archive) {
    archive(trait, age_ms);
  }
  auto operator<=>(const answer_report&) const = default;
};

/// What a gateway knows of crashes, its own observations and those of others. Sent to the other
/// gateways as a datagram.
struct crash_digest {
  std::vector<crash_report> crashes;
  std::vector<answer_report> answers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes, answers);
  }
  auto operator<=>(const crash_digest&) const = default;
};

/// Answers that a gateway has seen, which show that requests with these traits crash no upstream.
/// Sent to the other gateways as a datagram.
struct answer_digest {
  std::vector<answer_report> answers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(answers);
  }
  auto operator<=>(const answer_digest&) const = default;
};

/// Little-endian cereal portable binary.
std::string EncodeAnswerDigest(const answer_digest& digest);
/// Returns nothing if the bytes are not an answer digest.
std::optional<answer_digest> DecodeAnswerDigest(std::string_view datagram);
/// Little-endian cereal portable binary.
std::string EncodeCrashDigest(const crash_digest& digest);
/// Returns nothing if the bytes are not a crash digest.
std::optional<crash_digest> DecodeCrashDigest(std::string_view datagram);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_CRASH_DIGEST_H_
