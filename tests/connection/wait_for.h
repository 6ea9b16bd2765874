#ifndef TESTS_CONNECTION_WAIT_FOR_H_
#define TESTS_CONNECTION_WAIT_FOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

namespace berylbarrow {

/// Waits until `condition` holds; false if it does not within a time that suits a busy machine.
template <typename Condition>
bool WaitFor(const Condition& condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

/// Runs `action` on the thread of a running context and waits for it.
template <typename Action>
void RunOn(boost::asio::io_context& context, Action&& action) {
  std::packaged_task<void()> task(std::forward<Action>(action));
  std::future<void> done = task.get_future();
  boost::asio::post(context, [&task] { task(); });
  done.get();
}

}  // namespace berylbarrow

#endif  // TESTS_CONNECTION_WAIT_FOR_H_
