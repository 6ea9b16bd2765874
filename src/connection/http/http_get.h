#ifndef BERYLBARROW_CONNECTION_HTTP_HTTP_GET_H_
#define BERYLBARROW_CONNECTION_HTTP_HTTP_GET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "berylbarrow/process/runtime/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace berylbarrow {

struct http_get_options {
  std::string address;  // "IP:port"
  std::string target;
  duration timeout = duration::zero();  // for the whole exchange
  std::size_t max_body_bytes = 0;
  std::string body = {};  // makes it a POST if not empty
  std::string etag = {};  // of the version that the caller has; not sent if empty
};

struct http_get_reply {
  std::string error;  // why there is no response; empty if there is one
  unsigned status = 0;
  std::string revision;  // value of the header "Revision"
  std::string etag;      // value of the header "ETag"
  std::string body;
};

/// One GET or POST on its own connection.
class http_get {
 public:
  using callback = std::function<void(http_get_reply)>;

  /// Calls `done` once on the thread of `context`, never before this constructor returns.
  http_get(boost::asio::io_context& context, http_get_options options, callback done);
  /// Cancels the request if it is still running; `done` is then not called.
  ~http_get();
  http_get(const http_get&) = delete;
  http_get& operator=(const http_get&) = delete;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_HTTP_GET_H_
