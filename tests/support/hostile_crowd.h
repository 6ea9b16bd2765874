#ifndef BERYLBARROW_TESTS_SUPPORT_HOSTILE_CROWD_H_
#define BERYLBARROW_TESTS_SUPPORT_HOSTILE_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace berylbarrow {

/// What each connection of a crowd sends: `head`, and then `piece` so many times.
struct hostile_message {
  std::string head;
  std::string piece = {};
  std::size_t pieces = 0;
};

/// Callers that stay connected and read nothing. The destructor ends the connections.
class hostile_crowd {
 public:
  hostile_crowd(const std::string& address, std::size_t size);
  ~hostile_crowd();
  hostile_crowd(const hostile_crowd&) = delete;
  hostile_crowd& operator=(const hostile_crowd&) = delete;

  /// Sends in turn on all connections until everything is sent and the process has read it, or
  /// until none of them takes any more bytes.
  void Send(const hostile_message& message);

 private:
  struct member {
    int descriptor = -1;
    std::size_t sent = 0;
    bool ended = false;
  };

  void AwaitRead() const;

  std::uint16_t port_;  // of the process
  std::vector<member> members_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_HOSTILE_CROWD_H_
