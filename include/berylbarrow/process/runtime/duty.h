#ifndef BERYLBARROW_PROCESS_RUNTIME_DUTY_H_
#define BERYLBARROW_PROCESS_RUNTIME_DUTY_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <thread>

namespace berylbarrow {

/// One thread with its own io_context. Handlers of the context run only on that thread.
class duty {
 public:
  /// The kernel shows the first 15 bytes of `name` as the thread name.
  explicit duty(std::string name);
  ~duty();
  duty(const duty&) = delete;
  duty& operator=(const duty&) = delete;

  boost::asio::io_context& Context() { return context_; }
  const std::string& Name() const { return name_; }

  /// Starts the thread. Handlers posted earlier run now.
  void Start();
  /// Stops the context and joins the thread. Handlers that have not run are never run. May be
  /// called more than once, but not from the duty's own thread.
  void Stop();

 private:
  using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::string name_;
  boost::asio::io_context context_{1};
  std::optional<work_guard> work_;
  std::thread thread_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_DUTY_H_
