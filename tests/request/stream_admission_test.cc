#include "berylbarrow/request/admission/stream_admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr request_urgency kNote{.priority = 1, .route_priority = 0};
constexpr request_urgency kBatch{.priority = 1, .route_priority = 2};

route StreamRoute(const std::string& name, std::uint32_t priority, const std::string& service) {
  return {.name = name,
          .host = "h",
          .prefix = "/" + name + "/",
          .kind = request_kind::kStreaming,
          .priority = priority,
          .services = {{service, 1}}};
}

/// A gateway at which requests of two priorities arrive at even intervals.
class admission_fixture {
 public:
  void Run(duration span, double notes_per_s, double batch_per_s, bool admits_batch) {
    const time_point end = now + span;
    double notes = 0;
    double batch = 0;
    for (; now < end; now += milliseconds(10)) {
      for (notes += notes_per_s / 100; notes >= 1; --notes) Arrive(kNote, true);
      for (batch += batch_per_s / 100; batch >= 1; --batch) Arrive(kBatch, admits_batch);
    }
  }

  stream_candidate Candidate(const request_urgency& urgency, duration on_time_for) const {
    return {.urgency = urgency,
            .on_time_until = now + on_time_for,
            .deadline = now + seconds(8),
            .draw = 0.5};
  }

  stream_admission admission{{}};
  time_point now = kStart;

 private:
  void Arrive(const request_urgency& urgency, bool is_admitted) {
    admission.OnArrival(urgency, milliseconds(400), now);
    if (!is_admitted) return;
    admission.OnAdmitted(urgency, now);
    admission.OnPlaceFreed(now);
  }
};

// Guards deployments whose streams are equally urgent against a change of their admission.
BOOST_AUTO_TEST_CASE(admission_applies_only_where_streams_differ_in_priority) {
  routing_content content;
  content.routes = {StreamRoute("a", 1, "equal"), StreamRoute("b", 1, "equal"),
                    StreamRoute("c", 0, "mixed"), StreamRoute("d", 2, "mixed"),
                    StreamRoute("e", 0, "partly")};
  content.routes.push_back(StreamRoute("f", 3, "partly"));
  content.routes.back().kind = request_kind::kIdempotent;
  const routing_view view(std::move(content));
  BOOST_TEST(!stream_admission::AppliesTo("equal", view));
  BOOST_TEST(stream_admission::AppliesTo("mixed", view));
  BOOST_TEST(!stream_admission::AppliesTo("partly", view));
  BOOST_TEST(!stream_admission::AppliesTo("unknown", view));
}

// A burst of batch requests must not take the places that notes need while they can be on time.
BOOST_AUTO_TEST_CASE(a_burst_of_batch_requests_leaves_room_for_notes) {
  admission_fixture fixture;
  fixture.Run(seconds(20), 10, 20, true);
  // 4 gateways x 10 notes per second x 0.4 s, of which two standard deviations are kept free.
  BOOST_TEST(fixture.admission.Headroom(kBatch, 0.5, 4, fixture.now) == 8,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(fixture.admission.Headroom(kNote, 0.5, 4, fixture.now) == 0);
}

// If notes arrive faster than places come free, the batch leaves them the difference as well.
BOOST_AUTO_TEST_CASE(headroom_grows_when_urgent_requests_exceed_the_freed_places) {
  admission_fixture fixture;
  fixture.Run(seconds(20), 10, 20, true);
  const double usual = fixture.admission.Headroom(kBatch, 0.5, 4, fixture.now);
  for (int i = 0; i < 200; ++i) {
    fixture.admission.OnArrival(kNote, milliseconds(400), fixture.now);
  }
  BOOST_TEST(fixture.admission.Headroom(kBatch, 0.5, 4, fixture.now) > 5 * usual);
}

// Without urgent traffic no place is kept free for it.
BOOST_AUTO_TEST_CASE(headroom_follows_the_arrivals_of_urgent_requests) {
  admission_fixture fixture;
  fixture.Run(seconds(20), 10, 20, true);
  const double busy = fixture.admission.Headroom(kBatch, 0.5, 4, fixture.now);
  fixture.Run(seconds(30), 0, 20, true);
  BOOST_TEST(fixture.admission.Headroom(kBatch, 0.5, 4, fixture.now) < 0.05 * busy);
}

// Lasting overload by notes must not shut the batch out for good.
BOOST_AUTO_TEST_CASE(a_starved_priority_competes_as_an_equal) {
  admission_fixture fixture;
  fixture.Run(seconds(20), 10, 10, false);
  BOOST_TEST(fixture.admission.Headroom(kBatch, 0.5, 4, fixture.now) == 0);
}

// Gateways that see the same old loads must not all take the last place.
BOOST_AUTO_TEST_CASE(gateways_with_the_same_view_admit_with_different_headroom) {
  admission_fixture fixture;
  fixture.Run(seconds(20), 10, 10, true);
  const double unseen = 4 * 20 * 0.125;
  for (const double draw : {0.0, 0.25, 1.0}) {
    BOOST_TEST(fixture.admission.Headroom(kNote, draw, 4, fixture.now) == (draw - 0.5) * unseen,
               boost::test_tools::tolerance(0.1));
  }
}

// A request that cannot be on time is refused at once instead of after its wait.
BOOST_AUTO_TEST_CASE(a_request_waits_only_if_a_place_is_expected_in_time) {
  admission_fixture fixture;
  fixture.Run(seconds(20), 10, 0, true);
  const stream_candidate soon = fixture.Candidate(kNote, milliseconds(280));
  BOOST_TEST(fixture.admission.OnNoRoom(soon, 0, fixture.now).may_wait);
  const stream_wait_decision behind = fixture.admission.OnNoRoom(soon, 3, fixture.now);
  BOOST_TEST(!behind.may_wait);
  BOOST_TEST((behind.retry_after >= milliseconds(300)));
  // All places that come free are needed by notes.
  const stream_candidate batch = fixture.Candidate(kBatch, milliseconds(560));
  BOOST_TEST(!fixture.admission.OnNoRoom(batch, 0, fixture.now).may_wait);
  const stream_candidate late = fixture.Candidate(kNote, -milliseconds(1));
  BOOST_TEST(!fixture.admission.OnNoRoom(late, 0, fixture.now).may_wait);
}

// Refused callers come back as places come free, not in one wave, and early enough to be served.
BOOST_AUTO_TEST_CASE(returns_of_refused_requests_are_spread) {
  admission_fixture fixture;
  fixture.Run(seconds(20), 10, 0, true);
  std::vector<duration> returns;
  returns.reserve(60);
  for (int i = 0; i < 60; ++i) {
    returns.push_back(
        fixture.admission.RetryAfter(fixture.Candidate(kNote, milliseconds(280)), 0, fixture.now));
  }
  for (const duration each : returns) {
    BOOST_TEST((each >= milliseconds(300)));
    BOOST_TEST((each <= milliseconds(2400)));
  }
  for (int start = 300; start < 2100; start += 300) {
    const auto count = std::count_if(returns.begin(), returns.end(), [&](duration each) {
      return each >= milliseconds(start) && each < milliseconds(start + 300);
    });
    BOOST_TEST(count >= 3);
    BOOST_TEST(count <= 15);
  }
}

// Guards against entries of priorities that no configuration has any more.
BOOST_AUTO_TEST_CASE(urgencies_of_which_nothing_arrives_are_forgotten) {
  admission_fixture fixture;
  fixture.Run(seconds(5), 20, 20, true);
  fixture.admission.DropIdle(fixture.now);
  BOOST_TEST(fixture.admission.HeadroomText(1, fixture.now).find("1/2:") != std::string::npos);
  fixture.Run(seconds(60), 20, 0, true);
  fixture.admission.DropIdle(fixture.now);
  const std::string text = fixture.admission.HeadroomText(1, fixture.now);
  BOOST_TEST(text.find("1/2:") == std::string::npos, text);
  BOOST_TEST(text.find("1/0:") != std::string::npos, text);
}

}  // namespace
}  // namespace berylbarrow
