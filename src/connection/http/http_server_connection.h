#ifndef BERYLBARROW_SRC_CONNECTION_HTTP_HTTP_SERVER_CONNECTION_H_
#define BERYLBARROW_SRC_CONNECTION_HTTP_HTTP_SERVER_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "berylbarrow/connection/http/http_server.h"

namespace berylbarrow {

/// One connection of a caller. Requests are answered one after the other; bytes of a further
/// request wait until the answer is complete.
class http_server_connection final : public answer_sink,
                                     public arrival_holder,
                                     public std::enable_shared_from_this<http_server_connection> {
 public:
  http_server_connection(boost::asio::ip::tcp::socket socket, http_server& server);

  void Start();
  void CheckTimeouts(time_point now);
  /// Whether a request is arriving or being answered, or its answer is not all with the caller.
  bool IsUnfinished() const;
  /// Ends the connection at once; by a reset if an answer is not complete.
  void Close();
  bool HasUnwrittenBytes() const { return UnwrittenBytes() > 0; }
  /// Lets the end of the connection be seen as a reset.
  void ResetOnClose();
  /// Gives up its entry in the budget.
  void LeaveBudget();

  void SendAnswer(const http_answer& answer) override;
  void BeginStream(const http_answer& head) override;
  void SendPart(std::string_view bytes) override;
  void EndStream() override;
  void Abort() override;

  void Yield(yield_reason reason) override;

 private:
  enum class state : std::uint8_t { kReading, kAnswering, kLingering, kClosed };

  static constexpr duration kLinger = std::chrono::seconds(1);
  static constexpr std::size_t kReadBytes = 8192;
  static constexpr std::size_t kMaxPipelinedBytes = 16U << 10U;

  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void ParseInput();
  void HandleRequest();
  void SendContinue();
  void Reject(unsigned status, std::string_view reason);
  bool HasSoundFraming(const http_head& head) const;
  void AppendHead(const http_answer& answer, bool is_stream);
  void FinishAnswer();
  void Flush();
  void OnWritten(const boost::system::error_code& error, std::size_t size);
  void Linger();
  void BeginParser();
  void LoseCaller();
  std::size_t UnwrittenBytes() const { return output_.size() + writing_.size() - write_offset_; }
  holder_use MemoryUse() const;
  /// Tells the budget what the connection holds. Returns false if it has to release it.
  bool UpdateBudget(std::size_t progress);
  void OnYield(yield_reason reason);

  boost::asio::ip::tcp::socket socket_;
  http_server& server_;
  state state_ = state::kReading;
  std::optional<request_parser> parser_;
  std::shared_ptr<served_request> request_;
  std::string input_;
  std::string output_;   // not yet handed to the socket
  std::string writing_;  // being written
  std::size_t write_offset_ = 0;
  std::size_t request_bytes_ = 0;  // of the request that is being answered
  std::size_t read_bytes_ = 0;     // not yet reported to the budget
  std::optional<holder_id> holder_;
  bool write_pending_ = false;
  bool read_pending_ = false;
  bool close_after_ = false;
  bool chunked_ = false;
  bool head_request_ = false;
  bool rejected_ = false;
  bool must_refuse_ = false;  // the request that was arriving has been dropped
  bool continue_sent_ = false;
  time_point since_;  // of the current state, or of the first byte of the request
  std::array<char, kReadBytes> buffer_{};
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_CONNECTION_HTTP_HTTP_SERVER_CONNECTION_H_
