#ifndef BERYLBARROW_TOOLS_PLATFORM_PLATFORM_H_
#define BERYLBARROW_TOOLS_PLATFORM_PLATFORM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "common/stub_server.h"

namespace berylbarrow::tools {

/// Stand-in for the configuration service and the instance list.
///
/// GET /config answers the newest document with its number in the header Revision. With
/// ?after=R&wait_ms=W it waits until the revision is above R; if that does not happen in time it
/// answers 200 with an empty body and the current Revision.
class platform {
 public:
  platform(boost::asio::io_context& context, const std::string& address,
           std::uint32_t instances_lag_ms);

  /// Publishes a document as the next revision and returns its number.
  std::uint64_t Publish(std::string text);
  void SetInstances(std::string json);

 private:
  using connection_ptr = std::shared_ptr<stub_connection>;
  enum class fault { kNone, kDown, kStale, kOlder };

  struct waiter {
    connection_ptr connection;
    std::uint64_t after = 0;
    boost::asio::steady_timer timer;
  };

  void OnRequest(const connection_ptr& connection);
  void OnAdmin(const connection_ptr& connection);
  void OnFault(const connection_ptr& connection);
  void OnConfig(const connection_ptr& connection);
  void OnInstanceRead(const connection_ptr& connection);
  void OnInstances(const connection_ptr& connection);
  /// Number of the revision that readers see at present; 0: none.
  std::uint64_t Visible() const;
  void Answer(const connection_ptr& connection, std::uint64_t after);
  void WakeWaiters();

  boost::asio::io_context& context_;
  std::uint32_t instances_lag_ms_;
  std::vector<std::string> documents_;  // revision N is at N - 1
  std::string instances_ = "[]";
  fault fault_ = fault::kNone;
  std::uint64_t frozen_ = 0;  // revision that kStale goes on to answer
  std::uint64_t reads_ = 0;
  std::list<std::shared_ptr<waiter>> waiters_;
  stub_server server_;
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_PLATFORM_PLATFORM_H_
