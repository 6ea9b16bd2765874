#include "process/telemetry/log_output.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace berylbarrow {
namespace {

// As much as a pipe holds by default.
constexpr std::size_t kMaxWaitingBytes = std::size_t{64} << 10U;
// A pipe that is ready for writing takes this many bytes at once (PIPE_BUF of Linux).
constexpr std::size_t kMaxWriteBytes = 4096;

}  // namespace

log_output::log_output(int descriptor) : descriptor_(descriptor) {
  struct stat status {};
  may_block_ = fstat(descriptor, &status) != 0 || !S_ISREG(status.st_mode);
}

std::uint64_t log_output::TakeDropped() { return std::exchange(dropped_, 0); }

log_output::int_type log_output::overflow(int_type character) {
  if (character != traits_type::eof()) line_ += traits_type::to_char_type(character);
  return traits_type::not_eof(character);
}

std::streamsize log_output::xsputn(const char* bytes, std::streamsize count) {
  line_.append(bytes, static_cast<std::size_t>(count));
  return count;
}

bool log_output::IsWritable() const {
  if (!may_block_) return true;
  pollfd waiting{.fd = descriptor_, .events = POLLOUT, .revents = 0};
  return poll(&waiting, 1, 0) > 0;
}

int log_output::sync() {
  if (waiting_.size() + line_.size() <= kMaxWaitingBytes) {
    waiting_ += line_;
  } else {
    ++dropped_;
  }
  line_.clear();
  std::size_t written = 0;
  while (written < waiting_.size() && IsWritable()) {
    const ssize_t count = write(descriptor_, waiting_.data() + written,
                                std::min(kMaxWriteBytes, waiting_.size() - written));
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  waiting_.erase(0, written);
  return 0;
}

}  // namespace berylbarrow
