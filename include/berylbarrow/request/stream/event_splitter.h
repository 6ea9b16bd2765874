#ifndef BERYLBARROW_REQUEST_STREAM_EVENT_SPLITTER_H_
#define BERYLBARROW_REQUEST_STREAM_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylbarrow {

/// Cuts a text/event-stream into whole events, so that a stream that breaks inside an event can go
/// on from another upstream. Events that were passed on before are dropped.
class event_splitter {
 public:
  /// `last_event`: the event after which the stream begins.
  explicit event_splitter(std::optional<std::uint64_t> last_event) : last_event_(last_event) {}

  /// Takes all bytes of `body`; returns the events that are complete now, ready to be passed on.
  std::string Feed(std::string& body);
  /// Bytes after the last whole event.
  const std::string& PartialEvent() const { return tail_; }
  /// Drops the unfinished event. The stream goes on from another upstream.
  void PrepareResumption();

  std::optional<std::uint64_t> LastEventId() const { return last_event_; }
  std::uint64_t ForwardedEvents() const { return passed_; }
  /// An event was missing: the stream does not go on where it should.
  bool HasGap() const { return gap_; }

 private:
  bool Accept(std::string_view event);

  std::string tail_;
  std::optional<std::uint64_t> last_event_;
  std::uint64_t passed_ = 0;
  bool gap_ = false;
  bool resumed_ = false;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_STREAM_EVENT_SPLITTER_H_
