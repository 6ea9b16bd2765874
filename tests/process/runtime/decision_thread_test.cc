#include "berylbarrow/process/runtime/decision_thread.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "connection/wait_for.h"

namespace berylbarrow {
namespace {

/// Answers each input with itself and counts its deadlines.
class echo_core final : public decision_core<int, int> {
 public:
  explicit echo_core(std::atomic<int>& deadlines) : deadlines_(deadlines) {}

  void Handle(const int& input, const moment& at, std::vector<int>& outputs) override {
    outputs.push_back(input);
    due_ = at.now + std::chrono::milliseconds(1);
  }
  void Advance(const moment& at, std::vector<int>& /*outputs*/) override {
    if (at.now < due_) return;
    ++deadlines_;
    due_ = time_point::max();
  }
  time_point NextDeadline() const override { return due_; }
  nlohmann::json State() const override { return nullptr; }

 private:
  std::atomic<int>& deadlines_;
  time_point due_ = time_point::max();
};

using echo_decisions = decision_core<int, int>;

// Guards against outputs that are lost or reordered while the ring behind them is full, and against
// a deadline that an input sets and nobody fires.
BOOST_AUTO_TEST_CASE(OutputsWaitForSpaceAndDeadlinesFire) {
  constexpr int kInputs = 1000;
  const system_clock clock;
  std::atomic<int> deadlines{0};
  std::atomic<int> delivered{0};
  int attempts = 0;
  bool in_order = true;
  decision_thread<echo_decisions> decisions(std::make_unique<echo_core>(deadlines), clock,
                                            [&](const int& output) {
                                              if (++attempts % 3 == 0) return false;
                                              in_order = in_order && output == delivered;
                                              ++delivered;
                                              return true;
                                            });
  ring<int>& inputs = decisions.AddInput(kInputs);
  decisions.Start();
  for (int i = 0; i < kInputs; ++i) BOOST_REQUIRE(inputs.Push(i));
  BOOST_TEST(WaitFor([&] { return delivered == kInputs && deadlines > 0; }));
  decisions.Stop();
  BOOST_TEST(in_order);
  BOOST_TEST(decisions.OutputWaits() > 0U);
}

// Guards against a process that cannot exit because an output waits for a thread that has ended.
BOOST_AUTO_TEST_CASE(StopEndsAWaitForSpace) {
  const system_clock clock;
  std::atomic<int> deadlines{0};
  decision_thread<echo_decisions> decisions(std::make_unique<echo_core>(deadlines), clock,
                                            [](const int&) { return false; });
  ring<int>& inputs = decisions.AddInput(1);
  decisions.Start();
  BOOST_REQUIRE(inputs.Push(1));
  BOOST_TEST(WaitFor([&] { return decisions.OutputWaits() > 0; }));
  decisions.Stop();
}

}  // namespace
}  // namespace berylbarrow
