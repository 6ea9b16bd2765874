#ifndef BERYLBARROW_CONNECTION_HTTP_HTTP_PARSER_H_
#define BERYLBARROW_CONNECTION_HTTP_HTTP_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylbarrow {

struct header_field {
  std::string name;
  std::string value;
  auto operator<=>(const header_field&) const = default;
};

/// Start line and fields of a request or an answer.
struct http_head {
  std::string method;
  std::string target;
  std::string reason;
  unsigned status = 0;
  unsigned version = 11;  // 10 or 11
  std::vector<header_field> fields;

  /// Value of the first field of that name, without regard to case; empty if there is none.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  /// Memory that the head takes, which can be many times its size on the wire.
  std::size_t HeldBytes() const;
};

bool EqualNames(std::string_view left, std::string_view right);

enum class parse_state : std::uint8_t { kNeedMore, kComplete, kFailed };

/// Incremental parser of one HTTP/1.1 message, on Beast's tokenizer. The body is appended to
/// `Body()`, from which the owner may take what has arrived so far.
template <bool IsRequest>
class http_parser final : private boost::beast::http::basic_parser<IsRequest> {
 public:
  struct limits {
    std::uint32_t header_bytes = 16384;  // also of the head of a chunk and of the trailer
    std::uint64_t body_bytes = 8U << 20U;
  };

  explicit http_parser(const limits& limits);

  /// Parses what `input` holds and removes the parsed bytes. Stops at the end of the message.
  parse_state Parse(std::string& input);
  /// The other side has ended the connection in order.
  parse_state ParseEnd();
  /// The message has no body whatever its fields say, as the answer to HEAD.
  void SkipBody() { base::skip(true); }

  bool HasHead() const { return head_complete_; }
  bool KeepAlive() const { return base::keep_alive(); }
  /// Whether only the end of the connection ends the body.
  bool EndsWithConnection() const { return base::need_eof(); }
  /// Whether any byte has been parsed or is waiting in the start line.
  bool HasStarted() const { return started_; }
  bool BodyTooLarge() const { return body_too_large_; }
  bool HeaderTooLarge() const { return header_too_large_; }
  bool HasBodyLength() const { return has_body_length_; }

  const http_head& Head() const { return head_; }
  http_head TakeHead() { return std::move(head_); }
  std::string& Body() { return body_; }
  /// Memory that the message takes as far as it has been parsed.
  std::size_t HeldBytes() const { return head_.HeldBytes() + body_.capacity(); }

 private:
  using base = boost::beast::http::basic_parser<IsRequest>;
  using text = boost::beast::string_view;
  using error_code = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb verb, text method, text target, int version,
                       error_code& error) override;
  void on_response_impl(int code, text reason, int version, error_code& error) override;
  void on_field_impl(boost::beast::http::field field, text name, text value,
                     error_code& error) override;
  void on_header_impl(error_code& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error) override;
  std::size_t on_body_impl(text body, error_code& error) override;
  void on_chunk_header_impl(std::uint64_t size, text extensions, error_code& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remain, text body, error_code& error) override;
  void on_finish_impl(error_code& error) override;

  parse_state Fail(const error_code& error);
  void AppendToBody(text bytes);

  const std::uint32_t max_header_bytes_;
  std::uint64_t max_body_bytes_;       // the length of the body if it is known
  std::uint64_t extension_bytes_ = 0;  // of all chunks
  http_head head_;
  std::string body_;
  bool started_ = false;
  bool head_complete_ = false;
  bool body_too_large_ = false;
  bool header_too_large_ = false;
  bool has_body_length_ = false;
};

using request_parser = http_parser<true>;
using response_parser = http_parser<false>;

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_HTTP_PARSER_H_
