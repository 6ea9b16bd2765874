#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_INFORMATION_HANDLER_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_INFORMATION_HANDLER_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "berylbarrow/connection/http/http_server.h"

namespace berylbarrow {

/// Answers each request immediately by calling a function with its head. Used for address queries,
/// readiness probes and metrics.
class information_handler final : public request_handler {
 public:
  using answer_function = std::function<http_answer(const http_head& head)>;
  explicit information_handler(answer_function answer) : answer_(std::move(answer)) {}

  std::shared_ptr<served_request> OnRequest(http_head&& head, std::string&& /*body*/,
                                            answer_sink& sink) override {
    sink.SendAnswer(answer_(head));
    return nullptr;
  }

 private:
  answer_function answer_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_INFORMATION_HANDLER_H_
