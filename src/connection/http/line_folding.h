#ifndef BERYLBARROW_SRC_CONNECTION_HTTP_LINE_FOLDING_H_
#define BERYLBARROW_SRC_CONNECTION_HTTP_LINE_FOLDING_H_

#include <boost/beast/core/string.hpp>

namespace berylbarrow {

/// Whether Beast joined a field, as its parser reports it, from several lines (obs-fold, RFC 9112
/// 5.2). A line that begins with a blank is then not a field of its own, whatever it was meant to
/// be. Beast has no option to reject it, and joins the value in a buffer of its own or takes it
/// from a later line; a value that is not folded follows its name and blanks in the input.
inline bool IsFolded(boost::beast::string_view name, boost::beast::string_view value) {
  const char* at = name.data() + name.size() + 1;  // after the colon
  while (*at == ' ' || *at == '\t') ++at;
  return at != value.data();
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_CONNECTION_HTTP_LINE_FOLDING_H_
