#ifndef BERYLBARROW_CONNECTION_HTTP_CALLER_REQUEST_PARSER_H_
#define BERYLBARROW_CONNECTION_HTTP_CALLER_REQUEST_PARSER_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <variant>

#include "berylbarrow/process/core/core.h"
#include "connection/http/reply.h"

namespace berylbarrow {

using caller_message = std::variant<caller_request, address_query>;

/// Checks one HTTP request and turns it into a message for the core, with caller 0, or into the
/// error to answer. Moves the body out of `request`.
std::variant<caller_message, caller_error> ParseCallerRequest(
    boost::beast::http::request<boost::beast::http::string_body>& request);

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_CALLER_REQUEST_PARSER_H_
