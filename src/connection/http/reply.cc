#include "connection/http/reply.h"

#include <algorithm>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace berylbarrow {
namespace {

namespace http = boost::beast::http;

// A line break in a relayed header value would let an upstream add headers or bodies.
std::string WithoutControls(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; }, '?');
  return text;
}

template <typename Message>
void SetHeaders(Message& message, const std::vector<reply_header>& headers,
                const std::string& content_type, bool keep_alive) {
  message.version(11);
  for (const auto& header : headers) {
    message.set(WithoutControls(header.name), WithoutControls(header.value));
  }
  if (!content_type.empty()) {
    message.set(http::field::content_type, WithoutControls(content_type));
  }
  if (!keep_alive) {
    message.set(http::field::connection, "close");
  }
}

}  // namespace

std::string ErrorBody(std::string_view code, std::string_view message) {
  const nlohmann::json body = {{"error", {{"code", code}, {"message", message}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

caller_reply NotRunReply(std::string_view code, std::string_view message) {
  return {.status = 503,
          .headers = {{"Berylbarrow-Outcome", "not-run"}, {"Retry-After", "1"}},
          .body = ErrorBody(code, message)};
}

caller_reply ErrorReply(const caller_error& error) {
  return {.status = error.status, .headers = {}, .body = ErrorBody(error.code, error.message)};
}

bool IsBodyless(std::uint16_t status) { return status < 200 || status == 204 || status == 304; }

std::string SerializeReply(const caller_reply& reply, bool keep_alive) {
  http::response<http::string_body> message;
  message.result(reply.status);
  SetHeaders(message, reply.headers, reply.content_type, keep_alive);
  if (!IsBodyless(reply.status)) {
    message.body() = reply.body;
    message.content_length(reply.body.size());
  }
  std::ostringstream out;
  out << message;
  return std::move(out).str();
}

std::string SerializeHead(const caller_head& head, bool keep_alive) {
  http::response<http::empty_body> message;
  message.result(head.status);
  SetHeaders(message, head.headers, head.content_type, keep_alive);
  if (!IsBodyless(head.status)) {
    message.chunked(true);
  }
  std::ostringstream out;
  out << message.base();
  return std::move(out).str();
}

std::string SerializeChunk(std::string_view bytes) {
  return boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size())));
}

std::string SerializeLastChunk() {
  return boost::beast::buffers_to_string(http::make_chunk_last());
}

}  // namespace berylbarrow
