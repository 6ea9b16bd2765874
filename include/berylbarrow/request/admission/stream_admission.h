#ifndef BERYLBARROW_REQUEST_ADMISSION_STREAM_ADMISSION_H_
#define BERYLBARROW_REQUEST_ADMISSION_STREAM_ADMISSION_H_

#include <cstdint>
#include <map>
#include <string>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/admission/request_urgency.h"
#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

struct stream_admission_options {
  /// Mean age of the loads of other gateways, which are sent at regular intervals. Each gateway
  /// decides without the requests that the others have sent in this time.
  duration load_age = std::chrono::milliseconds(125);
  /// Time constant of the averaged rates.
  duration averaging_time = std::chrono::seconds(4);
  /// Requests of an urgency that is admitted less often than this, relative to all requests, keep
  /// no room free for more urgent ones. A priority that is served less than a quarter as often
  /// counts as starved; the rest is margin for requests that fail later.
  double min_relative_admission = 0.4;
  /// Returns that refused callers are asked for are at least this far apart from the refusal.
  duration min_retry_after = std::chrono::milliseconds(300);
  /// Callers come back if Retry-After is at most this share of the time that they have left.
  double max_retry_share = 0.3;
};

/// A streaming request that is to be admitted to a rank group.
struct stream_candidate {
  request_urgency urgency;
  time_point on_time_until;  // dispatched later, it misses its latency objective
  time_point deadline;
  double draw = 0;  // random, uniform in [0, 1)
  auto operator<=>(const stream_candidate&) const = default;
};

/// What a gateway does with a request that finds no room.
struct stream_wait_decision {
  bool may_wait = true;
  duration retry_after = duration::zero();  // of the refusal if it may not wait
  auto operator<=>(const stream_wait_decision&) const = default;
};

/// Divides the room of a service's rank groups among requests of different urgency.
///
/// The room is the number of requests that the groups can run without exceeding the event gap
/// limit of their streams; see `pass_time_model`. Less urgent requests leave part of it free: what
/// the more urgent ones may need within their latency objective beyond the places that come free in
/// that time. Requests that find no
/// room wait as long as a place can be expected in time and are refused otherwise.
class stream_admission {
 public:
  explicit stream_admission(const stream_admission_options& options) : options_(options) {}

  /// Whether the streaming routes to the service have different priorities. If they have not, all
  /// requests are admitted as they come.
  static bool AppliesTo(const std::string& service, const routing_view& view);

  /// Called once for each request, when it arrives.
  void OnArrival(const request_urgency& urgency, duration goal, time_point now);
  /// Called when a request is sent to an upstream for the first time.
  void OnAdmitted(const request_urgency& urgency, time_point now);
  /// Called when a request that was sent has ended.
  void OnPlaceFreed(time_point now);

  /// Forgets urgencies of which nothing has arrived for so long that they no longer matter, such as
  /// those that a new configuration does not have.
  void DropIdle(time_point now);

  /// Requests of the whole fleet that must still fit after a request of this urgency was admitted.
  /// `gateways`: number of gateways that share the load evenly. `draw`: uniform in [0, 1), drawn
  /// once per request. It raises or lowers the headroom by up to half of the admissions that this
  /// gateway does not see yet, so that gateways with the same view do not all admit at once.
  double Headroom(const request_urgency& urgency, double draw, double gateways,
                  time_point now) const;
  /// The headroom by urgency, without the random part, for logs.
  std::string HeadroomText(double gateways, time_point now) const;
  /// Whether a request that found no room can expect a place in time, behind `ahead` others.
  stream_wait_decision OnNoRoom(const stream_candidate& candidate, std::size_t ahead,
                                time_point now);
  /// Retry-After of a request that is refused for lack of room. Successive calls return successive
  /// times at which places are expected to come free.
  duration RetryAfter(const stream_candidate& candidate, std::size_t ahead, time_point now);

 private:
  /// Exponentially averaged rate of events.
  class event_rate {
   public:
    void Add(duration averaging_time, time_point now);
    double PerSecond(duration averaging_time, time_point now) const;

   private:
    double weight_ = 0;  // events, as of `at_`
    time_point at_ = time_point::min();
  };
  struct urgency_state {
    event_rate arrivals;
    event_rate admissions;
    duration goal = duration::zero();  // shortest latency objective
    time_point next_return = time_point::min();
  };

  double ArrivalsPerSecond(const urgency_state& state, time_point now) const;
  double AdmissionsPerSecond(const urgency_state& state, time_point now) const;
  bool IsStarved(const urgency_state& state, time_point now) const;
  /// Places per second that come free for requests of this urgency at this gateway.
  double PlacesPerSecond(const request_urgency& urgency, time_point now) const;

  stream_admission_options options_;
  std::map<request_urgency, urgency_state> states_;
  event_rate freed_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_STREAM_ADMISSION_H_
