#include "berylbarrow/connection/http/http_caller.h"

#include <utility>
#include <vector>

#include "berylbarrow/connection/http/exchange_dialect.h"

namespace berylbarrow {

http_caller::http_caller(boost::asio::io_context& context, const std::string& address,
                         duration timeout, const runtime_clock& clock)
    : context_(context), address_(address), timeout_(timeout), clock_(clock) {}

http_caller::~http_caller() {
  if (link_) link_->Close();
}

void http_caller::Call(http_call call, receiver on_result) {
  calls_.push_back({.call = std::move(call), .on_result = std::move(on_result)});
  if (!busy_) Next();
}

void http_caller::Next() {
  if (calls_.empty() || busy_) return;
  busy_ = true;
  since_ = clock_.Now();
  body_.clear();
  if (!link_ || !link_->IsIdle()) {
    link_ = std::make_shared<upstream_link>(context_, upstream_link_options{.address = address_},
                                            clock_, [](upstream_link&) {});
  }
  const http_call& call = calls_.front().call;
  std::vector<header_field> fields{{"Host", address_}};
  if (!call.body.empty()) {
    fields.push_back({"Content-Type", call.content_type});
    fields.push_back({"Content-Length", std::to_string(call.body.size())});
  }
  const http_head head{.method = call.method, .target = call.target};
  link_->Exchange(RequestHeadText(head, fields) + call.body, false, this);
}

void http_caller::Advance(time_point now) {
  if (!busy_) return;
  link_->CheckTimeouts(now);
  if (!busy_ || now - since_ < timeout_) return;
  link_->Close();
  Finish({});
}

void http_caller::Finish(const http_result& result) {
  busy_ = false;
  const receiver on_result = std::move(calls_.front().on_result);
  calls_.pop_front();
  on_result(result);
  Next();
}

bool http_caller::OnAnswerHead(const http_head& /*head*/) { return true; }

void http_caller::OnAnswerBody(std::string& body) {
  body_ += body;
  body.clear();
}

void http_caller::OnAnswerEnd(const http_head& head, std::string&& body) {
  body_ += body;
  Finish({.status = head.status, .body = std::move(body_)});
}

void http_caller::OnLinkFailure(link_failure /*failure*/) { Finish({}); }

}  // namespace berylbarrow
