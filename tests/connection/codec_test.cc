#include "berylbarrow/connection/wire/codec.h"

#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>
#include <vector>

namespace {

std::atomic<std::size_t> largest_allocation{0};

}  // namespace

// Record the largest request, to show that no length field makes the codec allocate more than it
// was sent. Inlining them makes GCC 12 report a mismatch of new and free that does not exist.
[[gnu::noinline]] void* operator new(std::size_t size) {
  std::size_t seen = largest_allocation.load();
  while (seen < size && !largest_allocation.compare_exchange_weak(seen, size)) {
  }
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace berylbarrow {
namespace {

constexpr std::size_t kBound = 4096;

/// A fixed seed, so that a failure repeats; RC_PARAMS in the environment overrides it.
struct fixed_seed {
  fixed_seed() { setenv("RC_PARAMS", "seed=20261204 max_success=500", 0); }
};
BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);

template <typename Value>
Value Any() {
  return *rc::gen::arbitrary<Value>();
}

template <typename Enumeration>
Enumeration AnyUpTo(Enumeration last) {
  return static_cast<Enumeration>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

process_identity AnyIdentity() {
  return {.name = Any<std::string>(),
          .role = AnyUpTo(process_role::kAgent),
          .domain = Any<std::string>(),
          .incarnation = Any<std::uint64_t>(),
          .generation = Any<std::uint64_t>()};
}

request_id AnyId() { return {.sender = Any<std::uint64_t>(), .sequence = Any<std::uint64_t>()}; }

upstream_load AnyLoad() {
  return {.in_flight = Any<std::uint32_t>(),
          .queued = Any<std::uint32_t>(),
          .limit = Any<std::uint32_t>(),
          .warm = Any<bool>()};
}

std::vector<suspect_report> AnySuspects() {
  std::vector<suspect_report> suspects(*rc::gen::inRange<std::size_t>(0, 4));
  for (suspect_report& item : suspects) {
    item = {.fingerprint = Any<std::uint64_t>(),
            .deaths = Any<std::uint32_t>(),
            .cleared = Any<std::uint16_t>(),
            .age_s = Any<std::uint16_t>(),
            .observer = Any<std::uint64_t>()};
  }
  return suspects;
}

answer_part AnyPart() {
  answer_part part{.id = AnyId(),
                   .offset = Any<std::uint64_t>(),
                   .bytes = Any<std::string>(),
                   .end = AnyUpTo(answer_end::kBroken)};
  if (part.end != answer_end::kMore) {
    part.suspects = AnySuspects();
    part.load = AnyLoad();
  }
  return part;
}

dispatch AnyDispatch() {
  return {.id = AnyId(),
          .service = Any<std::string>(),
          .account = Any<std::string>(),
          .idempotent = Any<bool>(),
          .idempotency_key = Any<std::string>(),
          .attempt = Any<std::uint32_t>(),
          .priority = Any<std::uint32_t>(),
          .fingerprint = Any<std::uint64_t>(),
          .sender_revision = Any<revision>(),
          .sender_plan_step = Any<std::uint32_t>(),
          .remaining = duration(Any<std::int64_t>()),
          .answer_offset = Any<std::uint64_t>(),
          .request = {.method = Any<std::string>(),
                      .target = Any<std::string>(),
                      .content_type = Any<std::string>(),
                      .body = Any<std::string>()},
          .suspects = AnySuspects()};
}

fencing_token AnyToken() { return {.term = Any<std::uint64_t>(), .rank = Any<std::uint32_t>()}; }

scheduled_map AnyMap() {
  const group_shape shape{
      .ranks = *rc::gen::inRange<std::uint32_t>(1, 4), .layers = 2, .slots_per_rank = 2};
  std::vector<expert_index> slots(shape.layers * shape.SlotsPerLayer());
  for (expert_index& slot : slots) slot = Any<expert_index>();
  return {.map = expert_map(Any<std::uint64_t>(), shape, slots),
          .activation_step = Any<std::uint64_t>()};
}

std::optional<scheduled_map> MaybeMap() {
  return Any<bool>() ? std::optional(AnyMap()) : std::nullopt;
}

expert_message AnyAgreement(int alternative) {
  switch (alternative) {
    case 0:
      return map_query{.token = AnyToken()};
    case 1:
      return map_report{.token = AnyToken(),
                        .rank = Any<std::uint32_t>(),
                        .incarnation = Any<std::uint64_t>(),
                        .step = Any<std::uint64_t>(),
                        .previous = MaybeMap(),
                        .committed = MaybeMap(),
                        .pending = MaybeMap()};
    case 2:
      return map_proposal{
          .token = AnyToken(), .incarnation = Any<std::uint64_t>(), .proposed = AnyMap()};
    case 3:
      return map_acknowledgement{.token = AnyToken(),
                                 .rank = Any<std::uint32_t>(),
                                 .incarnation = Any<std::uint64_t>(),
                                 .version = Any<std::uint64_t>(),
                                 .accepted = Any<bool>(),
                                 .step = Any<std::uint64_t>()};
    default:
      return map_decision{.token = AnyToken(),
                          .incarnation = Any<std::uint64_t>(),
                          .previous = MaybeMap(),
                          .decided = AnyMap(),
                          .committed = Any<bool>()};
  }
}

peer_message AnyMessage(std::size_t alternative) {
  switch (alternative) {
    case 0:
      return hello{.sender = AnyIdentity(), .in_force = Any<revision>()};
    case 1:
      return AnyDispatch();
    case 2:
      return cancel{.id = AnyId()};
    case 3:
      return answer_head{.id = AnyId(),
                         .status = Any<std::uint16_t>(),
                         .content_type = Any<std::string>(),
                         .load = AnyLoad()};
    case 4:
      return AnyPart();
    case 5:
      return acknowledgement{
          .id = AnyId(), .offset = Any<std::uint64_t>(), .finished = Any<bool>()};
    case 6:
      return refusal{.id = AnyId(),
                     .reason = AnyUpTo(refusal_reason::kMalformed),
                     .certainty = AnyUpTo(run_certainty::kUnknown),
                     .retry_after = duration(Any<std::int64_t>()),
                     .load = AnyLoad(),
                     .suspects = AnySuspects()};
    case 7:
      return configuration_request{.in_force = Any<revision>(), .nonce = Any<std::uint64_t>()};
    case 8:
      return configuration_reply{
          .number = Any<revision>(), .text = Any<std::string>(), .nonce = Any<std::uint64_t>()};
    case 9:
      return ping{.sequence = Any<std::uint64_t>()};
    case 10:
      return pong{.sequence = Any<std::uint64_t>()};
    default:
      return group_message{.group = Any<std::string>(),
                           .sender = Any<std::uint32_t>(),
                           .content = AnyAgreement(*rc::gen::inRange(0, 5))};
  }
}

peer_message AnyMessage() {
  return AnyMessage(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<peer_message>));
}

heartbeat AnyHeartbeat(std::size_t suspects) {
  heartbeat content{.sender = AnyIdentity(),
                    .sequence = Any<std::uint64_t>(),
                    .state = AnyUpTo(process_state::kLeaving),
                    .in_force = Any<revision>(),
                    .digest = Any<std::uint64_t>(),
                    .load = AnyLoad(),
                    .grant_epoch = Any<std::uint64_t>(),
                    .plan_step = Any<std::uint32_t>(),
                    .suspects = {}};
  for (std::size_t i = 0; i < suspects; ++i) {
    content.suspects.push_back({.fingerprint = Any<std::uint64_t>(), .deaths = 1});
  }
  return content;
}

/// Feeds `bytes` in pieces and returns the number of messages before the end or the first error.
std::size_t Read(std::string_view bytes, std::size_t piece) {
  frame_reader reader(kBound);
  std::size_t messages = 0;
  while (!bytes.empty()) {
    reader.Feed(bytes.substr(0, piece));
    bytes.remove_prefix(std::min(piece, bytes.size()));
    for (;;) {
      const auto next = reader.Next();
      if (!next) return messages;
      if (!next.value()) break;
      ++messages;
    }
  }
  return messages;
}

// Guards against a message that loses or changes a field, or whose frame runs into the next one.
BOOST_AUTO_TEST_CASE(EveryMessageSurvivesARoundTrip) {
  for (std::size_t alternative = 0; alternative < std::variant_size_v<peer_message>;
       ++alternative) {
    BOOST_TEST(rc::check("round trip", [alternative] {
      const std::vector<peer_message> sent = {AnyMessage(alternative), AnyMessage()};
      RC_ASSERT(sent.front().index() == alternative);
      const std::string stream = EncodeFrame(sent[0]) + EncodeFrame(sent[1]);
      frame_reader reader(1 << 20);
      const std::size_t piece = *rc::gen::inRange<std::size_t>(1, 64);
      std::vector<peer_message> received;
      for (std::size_t at = 0; at < stream.size(); at += piece) {
        reader.Feed(std::string_view(stream).substr(at, piece));
        for (auto next = reader.Next(); next.value(); next = reader.Next()) {
          received.push_back(*next.value());
        }
      }
      RC_ASSERT(received == sent);
    }));
  }
}

// Guards against a frame that is taken for complete, or for an error, before its last byte.
BOOST_AUTO_TEST_CASE(TruncatedFramesWaitForMoreBytes) {
  BOOST_TEST(rc::check("truncated frame", [] {
    const std::string frame = EncodeFrame(AnyMessage());
    frame_reader reader(1 << 20);
    reader.Feed(std::string_view(frame).substr(0, *rc::gen::inRange<std::size_t>(0, frame.size())));
    const auto next = reader.Next();
    RC_ASSERT(next.has_value());
    RC_ASSERT(!next.value().has_value());
  }));
}

// Guards against a payload that ends early or goes on after its message.
BOOST_AUTO_TEST_CASE(PayloadsOfTheWrongLengthAreMalformed) {
  BOOST_TEST(rc::check("wrong payload length", [] {
    std::string frame = EncodeFrame(AnyMessage());
    const bool longer = Any<bool>();
    longer ? frame.push_back('\0') : frame.pop_back();
    const std::size_t length = frame.size() - kFrameHeaderBytes;
    frame[0] = static_cast<char>(length & 0xFFU);
    frame[1] = static_cast<char>(length >> 8U & 0xFFU);
    frame_reader reader(1 << 16);
    reader.Feed(frame);
    const auto next = reader.Next();
    RC_ASSERT(next.has_error());
    RC_ASSERT(next.error() == codec_error::kMalformed);
    RC_ASSERT(reader.Next().has_error());
  }));
}

// Guards against an allocation that a peer chooses by the length of a frame.
BOOST_AUTO_TEST_CASE(OversizedFramesAreRefusedBeforeAnyAllocation) {
  frame_reader reader(kBound);
  largest_allocation = 0;
  reader.Feed(std::string("\xff\xff\xff\x7f", 4));
  const auto next = reader.Next();
  BOOST_REQUIRE(next.has_error());
  BOOST_TEST((next.error() == codec_error::kTooLong));
  BOOST_TEST(largest_allocation < kBound);
}

// Guards against a crash, an exception or a large allocation on bytes that are not the protocol:
// frames with changed bytes, and payloads of random bytes behind a valid length and variant index.
BOOST_AUTO_TEST_CASE(CorruptBytesNeitherCrashNorAllocate) {
  BOOST_TEST(rc::check("changed bytes", [] {
    std::string stream = EncodeFrame(AnyMessage()) + EncodeFrame(AnyMessage());
    const int changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; ++i) {
      stream[*rc::gen::inRange<std::size_t>(0, stream.size())] = Any<char>();
    }
    largest_allocation = 0;
    const std::size_t messages = Read(stream, 512);
    RC_ASSERT(messages <= 2U);
    RC_ASSERT(largest_allocation <= 2 * kBound);
  }));
  BOOST_TEST(rc::check("random payload", [] {
    std::string stream("\x80\0\0\0\x01", 5);
    stream.push_back(static_cast<char>(*rc::gen::inRange(0, 12)));
    stream.append(3, '\0');
    while (stream.size() < kFrameHeaderBytes + 0x80) {
      stream.push_back(*rc::gen::element('\0', '\x01', '\x7f', '\xff', Any<char>()));
    }
    largest_allocation = 0;
    Read(stream, stream.size());
    RC_ASSERT(largest_allocation <= kBound);
    (void)DecodeHeartbeat(std::string_view(stream).substr(kFrameHeaderBytes));
    RC_ASSERT(largest_allocation <= kBound);
  }));
}

// Guards against an enumerator or a boolean that no sender can have meant.
BOOST_AUTO_TEST_CASE(UnknownEnumeratorsAreMalformed) {
  std::string frame = EncodeFrame(answer_part{.id = {}, .offset = 0, .bytes = "x", .end = {}});
  frame.back() = '\x09';
  frame_reader reader(kBound);
  reader.Feed(frame);
  BOOST_TEST(reader.Next().has_error());

  frame = EncodeFrame(acknowledgement{.id = {}, .offset = 0, .finished = true});
  frame.back() = '\x02';
  frame_reader second(kBound);
  second.Feed(frame);
  BOOST_TEST(second.Next().has_error());
}

// Fingerprint, deaths, cleared, age and observer on the wire.
constexpr std::size_t kSuspectBytes = 8 + 4 + 2 + 2 + 8;

// Guards against a heartbeat that is lost because its datagram is fragmented.
BOOST_AUTO_TEST_CASE(HeartbeatsFitOneDatagram) {
  BOOST_TEST(rc::check("heartbeat", [] {
    const heartbeat sent = AnyHeartbeat(*rc::gen::inRange<std::size_t>(0, 200));
    const std::string datagram = EncodeHeartbeat(sent);
    RC_ASSERT(datagram.size() <= kMaxHeartbeatBytes);
    const auto received = DecodeHeartbeat(datagram);
    RC_ASSERT(received.has_value());
    heartbeat expected = sent;
    expected.suspects.resize(received.value().suspects.size());
    RC_ASSERT(received.value() == expected);
    const bool cut = expected.suspects.size() < sent.suspects.size();
    RC_ASSERT(!cut || datagram.size() > kMaxHeartbeatBytes - kSuspectBytes);
  }));
}

}  // namespace
}  // namespace berylbarrow
