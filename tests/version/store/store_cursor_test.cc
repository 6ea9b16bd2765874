#include "berylbarrow/version/store/store_cursor.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

struct fixture {
  store_timeline timeline{{}};
  store_cursor cursor{timeline};

  cursor_step Answer(std::uint64_t era, std::uint64_t revision, time_point now = kStart) {
    return cursor.OnAnswer({.era = era, .revision = revision}, now);
  }
  cursor_step Page(std::uint64_t era, std::uint64_t revision, const std::string& last_key) {
    return cursor.OnAnswer(
        {.era = era, .revision = revision, .has_more = true, .last_key = last_key}, kStart);
  }
  bool StartsOver() const { return cursor.NextCall() == store_call{}; }
};

// Guards against a gap without 410: the restored store has passed the watch's revision again.
BOOST_FIXTURE_TEST_CASE(a_watch_that_a_restored_store_answers_starts_over, fixture) {
  BOOST_TEST((Answer(3, 100) == cursor_step::kFullRead));
  BOOST_TEST((Answer(3, 105) == cursor_step::kChanges));
  BOOST_TEST((Answer(4, 110) == cursor_step::kRestarted));
  BOOST_TEST(StartsOver());
  BOOST_TEST((Answer(4, 96) == cursor_step::kFullRead));
  // The lower revision of the new era counts, not the highest one seen.
  BOOST_TEST(cursor.NextCall().after_revision == 96U);
}

// Guards against a watch that goes on from the revision of the lost history after a 410.
BOOST_FIXTURE_TEST_CASE(a_refused_watch_of_a_restored_store_starts_over, fixture) {
  Answer(3, 100);
  BOOST_TEST((cursor.OnAnswer({.era = 4, .is_history_discarded = true}, kStart) ==
              cursor_step::kRestarted));
  BOOST_TEST(StartsOver());
  BOOST_TEST((timeline.Era() == 4U));
}

// Guards against a full read with pages of two histories.
BOOST_FIXTURE_TEST_CASE(a_read_whose_second_page_is_of_a_new_era_starts_over, fixture) {
  BOOST_TEST((Page(3, 100, "servers/b") == cursor_step::kPage));
  BOOST_TEST(cursor.NextCall().after_key == "servers/b");
  BOOST_TEST((Answer(4, 97) == cursor_step::kRestarted));
  BOOST_TEST(StartsOver());
  BOOST_TEST((Page(4, 98, "servers/c") == cursor_step::kPage));
  BOOST_TEST((Answer(4, 99) == cursor_step::kFullRead));
  BOOST_TEST(cursor.NextCall().after_revision == 98U);
}

// Guards against an answer from before a restoration that arrives late, on another connection.
BOOST_FIXTURE_TEST_CASE(a_late_answer_of_an_earlier_era_changes_nothing, fixture) {
  store_cursor other(timeline);
  Answer(3, 100);
  const store_call before = cursor.NextCall();
  BOOST_TEST((other.OnAnswer({.era = 4, .revision = 90}, kStart) == cursor_step::kRestarted));
  BOOST_TEST((Answer(3, 104) == cursor_step::kDropped));
  BOOST_TEST((cursor.NextCall() == before));
  cursor.Restart();
  BOOST_TEST((Answer(4, 91) == cursor_step::kFullRead));
}

// Guards against a read of the first restoration that is completed after the second one.
BOOST_FIXTURE_TEST_CASE(a_store_that_is_restored_twice_is_read_from_scratch_each_time, fixture) {
  Answer(3, 100);
  BOOST_TEST((Answer(4, 95) == cursor_step::kRestarted));
  BOOST_TEST((Page(4, 95, "servers/b") == cursor_step::kPage));
  BOOST_TEST((Answer(6, 92) == cursor_step::kRestarted));
  BOOST_TEST((Answer(4, 96) == cursor_step::kDropped));
  BOOST_TEST(StartsOver());
  BOOST_TEST((Answer(6, 92) == cursor_step::kFullRead));
}

// Guards against another behaviour at a store that states no era.
BOOST_FIXTURE_TEST_CASE(without_an_era_revisions_alone_decide, fixture) {
  BOOST_TEST((Answer(0, 100) == cursor_step::kFullRead));
  BOOST_TEST((Answer(0, 90) == cursor_step::kChanges));
  BOOST_TEST(cursor.NextCall().after_revision == 100U);
  BOOST_TEST((cursor.OnAnswer({.is_history_discarded = true}, kStart) == cursor_step::kRestarted));
  Page(0, 120, "servers/b");
  cursor.OnFailure();
  BOOST_TEST(StartsOver());
}

// Guards against a process that ignores a store for ever whose count of eras began anew.
BOOST_FIXTURE_TEST_CASE(a_lower_era_is_taken_over_once_the_higher_one_has_not_answered, fixture) {
  Answer(3, 100);
  BOOST_TEST((Answer(1, 5, kStart + std::chrono::seconds(29)) == cursor_step::kDropped));
  BOOST_TEST((Answer(1, 6, kStart + std::chrono::seconds(31)) == cursor_step::kRestarted));
  BOOST_TEST((Answer(1, 6, kStart + std::chrono::seconds(31)) == cursor_step::kFullRead));
}

}  // namespace
}  // namespace berylbarrow
