#include <boost/test/unit_test.hpp>

#include "berylbarrow/process/core/core.h"

namespace berylbarrow {
namespace {

// Guards against a clock that moves by itself in tests.
BOOST_AUTO_TEST_CASE(ManualClockMovesOnlyWhenAdvanced) {
  manual_clock clock;
  const time_point start = clock.Now();
  clock.Advance(std::chrono::seconds(2));
  BOOST_TEST((clock.Now() - start == std::chrono::seconds(2)));
}

}  // namespace
}  // namespace berylbarrow
