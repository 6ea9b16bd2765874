#ifndef BERYLBARROW_TOOLS_LOAD_LINK_H_
#define BERYLBARROW_TOOLS_LOAD_LINK_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace berylbarrow::tools {

using load_clock = std::chrono::steady_clock;

struct link_request {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct link_answer {
  bool complete = false;     // the answer ended as HTTP requires
  std::uint32_t status = 0;  // 0: no head was received
  std::string outcome;       // header Berylbarrow-Outcome
  std::string body;
  load_clock::time_point first_byte;  // of the body
  std::vector<float> gaps_ms;         // between arrivals of body bytes
};

/// A keep-alive connection of a caller: one request at a time.
class link {
 public:
  explicit link(boost::asio::io_context& context);
  ~link();
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  /// Connects to `address` unless that connection is still open, sends and reads. After the timeout
  /// the connection is closed and the answer is not complete.
  void Send(const std::string& address, const link_request& request, load_clock::duration timeout,
            std::function<void(link_answer)> done);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_LOAD_LINK_H_
