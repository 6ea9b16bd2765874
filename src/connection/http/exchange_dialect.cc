#include "berylbarrow/connection/http/exchange_dialect.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace berylbarrow {
namespace {

constexpr std::array<std::string_view, 10> kConnectionFields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect", "Proxy-Authorization"};

void AppendFields(std::string& text, const std::vector<header_field>& fields) {
  for (const header_field& each : fields) {
    text.append(each.name).append(": ").append(each.value).append("\r\n");
  }
  text.append("\r\n");
}

}  // namespace

bool IsConnectionField(const http_head& head, std::string_view name) {
  if (std::any_of(kConnectionFields.begin(), kConnectionFields.end(),
                  [&](std::string_view each) { return EqualNames(each, name); })) {
    return true;
  }
  const std::string_view named = head.Find("Connection");
  if (named.empty()) return false;
  return boost::beast::http::token_list{{named.data(), named.size()}}.exists(
      {name.data(), name.size()});
}

std::string RequestHeadText(const http_head& head, const std::vector<header_field>& fields) {
  std::string text;
  text.reserve(512);
  text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  AppendFields(text, fields);
  return text;
}

std::string AnswerHeadText(unsigned status, std::string_view reason,
                           const std::vector<header_field>& fields) {
  std::string text;
  text.reserve(512);
  text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason).append("\r\n");
  AppendFields(text, fields);
  return text;
}

std::string_view StatusReason(unsigned status) {
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
  return {reason.data(), reason.size()};
}

}  // namespace berylbarrow
