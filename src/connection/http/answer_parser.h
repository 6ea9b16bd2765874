#ifndef BERYLBARROW_SRC_CONNECTION_HTTP_ANSWER_PARSER_H_
#define BERYLBARROW_SRC_CONNECTION_HTTP_ANSWER_PARSER_H_

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "connection/http/line_folding.h"

namespace berylbarrow {

/// Beast's parser of an answer, which rejects folded fields (`http::error::bad_field`).
template <typename Body>
class answer_parser final : public boost::beast::http::response_parser<Body> {
 private:
  using base = boost::beast::http::response_parser<Body>;
  using text = boost::beast::string_view;

  void on_field_impl(boost::beast::http::field name, text name_text, text value,
                     boost::beast::error_code& error) override {
    if (IsFolded(name_text, value)) {
      error = boost::beast::http::error::bad_field;
      return;
    }
    // The base class does the same, in a function that is private.
    base::get().insert(name, name_text, value);
  }
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_CONNECTION_HTTP_ANSWER_PARSER_H_
