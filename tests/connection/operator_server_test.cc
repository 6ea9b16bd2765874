#include "berylbarrow/connection/http/operator_server.h"

#include <boost/test/unit_test.hpp>

#include "connection/socket_fixture.h"

namespace berylbarrow {
namespace {

// Guards against a query that reaches the wrong page, and bad input that reaches the core.
BOOST_AUTO_TEST_CASE(QueriesAreAnswered) {
  boost::asio::io_context context;
  std::vector<operator_query> queries;
  bool full = false;
  operator_server server(context, "127.0.0.1:0", [&](const operator_query& query) {
    if (!full) {
      queries.push_back(query);
    }
    return !full;
  });
  const auto ask = [&](const std::string& head) {
    const auto caller = raw_socket::Connect(context, server.Port());
    caller->Send(head + " HTTP/1.1\r\n\r\n");
    const auto before = queries.size();
    RunUntil(context, [&] { return caller->Closed() || queries.size() > before; });
    if (queries.size() > before) {
      server.Deliver({.query = queries.back().query, .content_type = "text/x", .body = "page"});
    }
    BOOST_TEST(RunUntil(context, [&] { return caller->Closed(); }));
    return caller->Received();
  };
  BOOST_TEST(ask("GET /state").find("page") != std::string::npos);
  BOOST_TEST((queries.back().kind == operator_query_kind::kState));
  BOOST_TEST(ask("GET /status").find("Content-Type: text/x") != std::string::npos);
  BOOST_TEST((queries.back().kind == operator_query_kind::kStatus));
  BOOST_TEST(ask("GET /metrics").find("200 OK") != std::string::npos);
  BOOST_TEST((queries.back().kind == operator_query_kind::kMetrics));
  BOOST_TEST(ask("POST /state").find("404") != std::string::npos);
  BOOST_TEST(ask("GET /other").find("404") != std::string::npos);
  BOOST_TEST(ask("nonsense").find("400") != std::string::npos);
  full = true;
  BOOST_TEST(ask("GET /state").find("503") != std::string::npos);
  BOOST_TEST(queries.size() == 3U);
}

}  // namespace
}  // namespace berylbarrow
