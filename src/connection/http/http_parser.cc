#include "berylbarrow/connection/http/http_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "connection/http/line_folding.h"

namespace berylbarrow {
namespace {

namespace http = boost::beast::http;

// A body grows by a quarter; std::string would double it, and two copies exist meanwhile.
constexpr std::size_t kGrowthDivisor = 4;
constexpr std::size_t kMinGrowthBytes = 4096;
// Strings of up to so many bytes are stored in the object itself.
const std::size_t kInlineBytes = std::string().capacity();

std::size_t HeapBytes(const std::string& text) {
  return text.capacity() > kInlineBytes ? text.capacity() : 0;
}

std::string ToString(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

bool EqualNames(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string_view http_head::Find(std::string_view name) const {
  for (const header_field& each : fields) {
    if (EqualNames(each.name, name)) return each.value;
  }
  return {};
}

bool http_head::Has(std::string_view name) const { return Count(name) > 0; }

std::size_t http_head::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(fields.begin(), fields.end(),
                    [&](const header_field& each) { return EqualNames(each.name, name); }));
}

std::size_t http_head::HeldBytes() const {
  std::size_t bytes = HeapBytes(target) + HeapBytes(reason) + fields.capacity() * sizeof fields[0];
  for (const header_field& each : fields) bytes += HeapBytes(each.name) + HeapBytes(each.value);
  return bytes;
}

template <bool IsRequest>
http_parser<IsRequest>::http_parser(const limits& limits)
    : max_header_bytes_(limits.header_bytes), max_body_bytes_(limits.body_bytes) {
  base::eager(true);
  base::header_limit(limits.header_bytes);
  base::body_limit(limits.body_bytes);
}

template <bool IsRequest>
parse_state http_parser<IsRequest>::Parse(std::string& input) {
  std::size_t used = 0;
  parse_state state = parse_state::kNeedMore;
  while (used < input.size() && state == parse_state::kNeedMore) {
    started_ = true;
    error_code error;
    const std::size_t parsed =
        base::put(boost::asio::buffer(input.data() + used, input.size() - used), error);
    used += parsed;
    if (error == http::error::need_more) break;
    if (error) state = Fail(error);
    if (!error && base::is_done()) state = parse_state::kComplete;
    if (!error && parsed == 0) break;
  }
  input.erase(0, used);
  // A body of length zero is complete with the head.
  if (state == parse_state::kNeedMore && base::is_done()) state = parse_state::kComplete;
  // Beast has no limit for chunk extensions and trailers, which it parses only when they are whole.
  if (state == parse_state::kNeedMore && input.size() > max_header_bytes_) {
    return Fail(http::error::header_limit);
  }
  return state;
}

template <bool IsRequest>
parse_state http_parser<IsRequest>::ParseEnd() {
  if (!head_complete_) return parse_state::kFailed;
  error_code error;
  base::put_eof(error);
  if (error) return Fail(error);
  return base::is_done() ? parse_state::kComplete : parse_state::kFailed;
}

template <bool IsRequest>
parse_state http_parser<IsRequest>::Fail(const error_code& error) {
  body_too_large_ = error == http::error::body_limit;
  header_too_large_ = error == http::error::header_limit;
  return parse_state::kFailed;
}

template <bool IsRequest>
void http_parser<IsRequest>::on_request_impl(http::verb /*verb*/, text method, text target,
                                             int version, error_code& /*error*/) {
  head_.method = ToString(method);
  head_.target = ToString(target);
  head_.version = static_cast<unsigned>(version);
}

template <bool IsRequest>
void http_parser<IsRequest>::on_response_impl(int code, text reason, int version,
                                              error_code& /*error*/) {
  head_.status = static_cast<unsigned>(code);
  head_.reason = ToString(reason);
  head_.version = static_cast<unsigned>(version);
}

template <bool IsRequest>
void http_parser<IsRequest>::on_field_impl(http::field /*field*/, text name, text value,
                                           error_code& error) {
  // A request is passed on with its folded fields joined, which RFC 9112 (5.2) allows.
  if (!IsRequest && IsFolded(name, value)) {
    error = http::error::bad_field;
    return;
  }
  // Fields of a chunked trailer come after the head and are dropped.
  if (!head_complete_) head_.fields.push_back({ToString(name), ToString(value)});
}

template <bool IsRequest>
void http_parser<IsRequest>::on_header_impl(error_code& /*error*/) {
  head_complete_ = true;
}

template <bool IsRequest>
void http_parser<IsRequest>::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                               error_code& /*error*/) {
  has_body_length_ = length.has_value();
  if (length) max_body_bytes_ = std::min(max_body_bytes_, *length);
}

template <bool IsRequest>
void http_parser<IsRequest>::AppendToBody(text bytes) {
  const std::size_t needed = body_.size() + bytes.size();
  if (needed > body_.capacity()) {
    const std::size_t step = std::max(body_.size() / kGrowthDivisor, kMinGrowthBytes);
    const auto most = static_cast<std::size_t>(std::max<std::uint64_t>(max_body_bytes_, needed));
    std::string grown;
    grown.reserve(std::min(needed + step, most));
    grown += body_;
    body_ = std::move(grown);
  }
  body_.append(bytes.data(), bytes.size());
}

template <bool IsRequest>
std::size_t http_parser<IsRequest>::on_body_impl(text body, error_code& /*error*/) {
  AppendToBody(body);
  return body.size();
}

template <bool IsRequest>
void http_parser<IsRequest>::on_chunk_header_impl(std::uint64_t /*size*/, text extensions,
                                                  error_code& error) {
  extension_bytes_ += extensions.size();
  if (extension_bytes_ > max_header_bytes_) error = http::error::header_limit;
}

template <bool IsRequest>
std::size_t http_parser<IsRequest>::on_chunk_body_impl(std::uint64_t /*remain*/, text body,
                                                       error_code& /*error*/) {
  AppendToBody(body);
  return body.size();
}

template <bool IsRequest>
void http_parser<IsRequest>::on_finish_impl(error_code& /*error*/) {}

template class http_parser<true>;
template class http_parser<false>;

}  // namespace berylbarrow
