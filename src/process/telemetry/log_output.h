#ifndef BERYLBARROW_SRC_PROCESS_TELEMETRY_LOG_OUTPUT_H_
#define BERYLBARROW_SRC_PROCESS_TELEMETRY_LOG_OUTPUT_H_

#include <cstdint>
#include <streambuf>
#include <string>
#include <string_view>

namespace berylbarrow {

/// Writes lines to a descriptor without waiting for whoever reads it. Lines wait in memory while a
/// pipe or socket takes no more; further ones are dropped and counted.
class log_output final : public std::streambuf {
 public:
  explicit log_output(int descriptor);

  /// Number of lines dropped since the last call.
  std::uint64_t TakeDropped();

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* bytes, std::streamsize count) override;
  /// Called at the end of each line.
  int sync() override;

 private:
  bool IsWritable() const;

  const int descriptor_;
  bool may_block_ = false;
  std::string line_;
  std::string waiting_;  // whole lines
  std::uint64_t dropped_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_TELEMETRY_LOG_OUTPUT_H_
