#ifndef BERYLBARROW_CONNECTION_HTTP_HTTP_CALLER_H_
#define BERYLBARROW_CONNECTION_HTTP_HTTP_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "berylbarrow/connection/http/upstream_link.h"

namespace berylbarrow {

struct http_call {
  std::string method = "GET";
  std::string target;
  std::string content_type;  // of `body`
  std::string body;
};

struct http_result {
  unsigned status = 0;  // 0: no answer
  std::string body;
};

/// Calls of this process to one address, one after the other on one connection.
class http_caller final : public exchange_handler {
 public:
  using receiver = std::function<void(const http_result&)>;

  http_caller(boost::asio::io_context& context, const std::string& address, duration timeout,
              const runtime_clock& clock);
  ~http_caller() override;

  void Call(http_call call, receiver on_result);
  /// Gives up a call that has no answer in time.
  void Advance(time_point now);

  bool OnAnswerHead(const http_head& head) override;
  void OnAnswerBody(std::string& body) override;
  void OnAnswerEnd(const http_head& head, std::string&& body) override;
  void OnLinkFailure(link_failure failure) override;

 private:
  struct pending_call {
    http_call call;
    receiver on_result;
  };

  void Next();
  void Finish(const http_result& result);

  boost::asio::io_context& context_;
  std::string address_;
  duration timeout_;
  const runtime_clock& clock_;
  std::shared_ptr<upstream_link> link_;
  std::deque<pending_call> calls_;  // the first one is under way
  bool busy_ = false;
  time_point since_;
  std::string body_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_HTTP_CALLER_H_
