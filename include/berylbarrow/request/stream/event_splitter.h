#ifndef BERYLBARROW_REQUEST_STREAM_EVENT_SPLITTER_H_
#define BERYLBARROW_REQUEST_STREAM_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylbarrow {

/// Splits a text/event-stream body into complete events, so that a stream that breaks off inside an
/// event can be resumed from another upstream. Events that were forwarded before are dropped.
class event_splitter {
 public:
  /// Longest event that is accepted, with its fields and the blank line.
  static constexpr std::size_t kMaxEventBytes = 64U << 10U;

  /// `last_event_id`: id of the event after which the stream begins; none for a new stream.
  explicit event_splitter(std::optional<std::uint64_t> last_event_id)
      : last_event_id_(last_event_id) {}

  /// Consumes all bytes of `body` and returns the events to forward that are now complete.
  std::string Feed(std::string& body);
  /// Bytes received after the last complete event.
  const std::string& PartialEvent() const { return partial_event_; }
  /// Drops the incomplete event. Bytes that follow come from another attempt, which may repeat
  /// events but must not skip any.
  void PrepareResumption();

  std::optional<std::uint64_t> LastEventId() const { return last_event_id_; }
  /// Events with data. Comments and empty events are forwarded too, but show no progress.
  std::uint64_t ForwardedEvents() const { return forwarded_events_; }
  /// Whether the resumed stream skipped an event id. No further events are returned then.
  bool HasGap() const { return has_gap_; }
  /// Whether the incomplete event is longer than `kMaxEventBytes`.
  bool IsEventTooLarge() const { return partial_event_.size() > kMaxEventBytes; }

 private:
  /// Whether the event is to be forwarded. Updates the last event id and detects gaps.
  bool Accept(std::string_view event);

  std::string partial_event_;
  std::optional<std::uint64_t> last_event_id_;
  std::uint64_t forwarded_events_ = 0;
  bool has_gap_ = false;
  bool is_resumed_ = false;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_STREAM_EVENT_SPLITTER_H_
