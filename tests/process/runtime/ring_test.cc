#include "berylbarrow/process/runtime/ring.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "berylbarrow/process/runtime/duty.h"
#include "connection/wait_for.h"

namespace berylbarrow {
namespace {

// Guards against values that are lost, doubled or reordered between two threads.
BOOST_AUTO_TEST_CASE(EveryValueArrivesOnceAndInOrder) {
  constexpr std::uint64_t kValues = 200000;
  duty consumer("consumer");
  std::uint64_t out_of_order = 0;
  std::atomic<std::uint64_t> received{0};
  ring<std::uint64_t> values(consumer.Context(), 64, [&](std::uint64_t&& value) {
    if (value != received) ++out_of_order;
    ++received;
  });
  consumer.Start();
  std::uint64_t refused = 0;
  for (std::uint64_t next = 0; next < kValues;) {
    if (values.Push(next)) {
      ++next;
    } else {
      ++refused;
      std::this_thread::yield();
    }
  }
  BOOST_TEST(WaitFor([&] { return received == kValues; }));
  consumer.Stop();
  BOOST_TEST(out_of_order == 0U);
  BOOST_TEST(values.Rejected() == refused);
}

// Guards against a value that stays in the ring because its Push came while the consumer was about
// to clear the flag: each value is pushed only after the one before has arrived.
BOOST_AUTO_TEST_CASE(NoWakeUpIsLost) {
  constexpr std::uint64_t kValues = 50000;
  duty consumer("consumer");
  std::atomic<std::uint64_t> received{0};
  ring<std::uint64_t> values(consumer.Context(), 4, [&](std::uint64_t&&) { ++received; });
  consumer.Start();
  bool arrived = true;
  for (std::uint64_t next = 0; next < kValues && arrived; ++next) {
    BOOST_REQUIRE(values.Push(next));
    for (int spin = 0; spin < 1000 && received <= next; ++spin) std::this_thread::yield();
    arrived = received > next || WaitFor([&] { return received > next; });
  }
  BOOST_TEST(arrived);
  consumer.Stop();
}

// Guards against a full ring that overwrites or blocks, and against values that leak with the ring.
BOOST_AUTO_TEST_CASE(FullRingRefusesAndCounts) {
  boost::asio::io_context context;
  const auto witness = std::make_shared<int>(0);
  std::vector<std::shared_ptr<int>> received;
  {
    ring<std::shared_ptr<int>> values(
        context, 2, [&](std::shared_ptr<int>&& value) { received.push_back(std::move(value)); });
    BOOST_TEST(values.Push(witness));
    BOOST_TEST(values.Push(witness));
    BOOST_TEST(!values.Push(witness));
    BOOST_TEST(values.Rejected() == 1U);
    context.poll();
    BOOST_TEST(received.size() == 2U);
    BOOST_TEST(values.Push(witness));
  }
  BOOST_TEST(witness.use_count() == 3);
}

}  // namespace
}  // namespace berylbarrow
