#include <openssl/pem.h>
#include <openssl/x509.h>

#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <vector>

#include "berylbarrow/connection/http/caller_server.h"
#include "connection/socket_fixture.h"

namespace berylbarrow {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

template <auto Free>
struct releaser {
  template <typename Object>
  void operator()(Object* object) const {
    Free(object);
  }
};
using key_ptr = std::unique_ptr<EVP_PKEY, releaser<EVP_PKEY_free>>;
using certificate_ptr = std::unique_ptr<X509, releaser<X509_free>>;
using file_ptr = std::unique_ptr<std::FILE, releaser<std::fclose>>;

/// A fresh key and its self-signed certificate, as files that exist as long as the object.
class key_files {
 public:
  key_files() {
    std::string pattern = std::filesystem::temp_directory_path() / "berylbarrow-XXXXXX";
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
    const key_ptr key(EVP_EC_gen("P-256"));
    const certificate_ptr certificate(X509_new());
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    const file_ptr key_file(std::fopen(Key().c_str(), "w"));
    PEM_write_PrivateKey(key_file.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    const file_ptr certificate_file(std::fopen(Certificate().c_str(), "w"));
    PEM_write_X509(certificate_file.get(), certificate.get());
  }
  ~key_files() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  key_files(const key_files&) = delete;
  key_files& operator=(const key_files&) = delete;

  std::string Key() const { return folder_ / "key.pem"; }
  std::string Certificate() const { return folder_ / "certificate.pem"; }

 private:
  std::filesystem::path folder_;
};

struct fixture {
  explicit fixture(caller_server_options options = {}) {
    options.listen_address = "127.0.0.1:0";
    options.tls_certificate_file = files.Certificate();
    options.tls_private_key_file = files.Key();
    server.emplace(context, options, [this](const entry_input& input) {
      inputs.push_back(input);
      return true;
    });
  }

  key_files files;
  asio::io_context context;
  std::optional<caller_server> server;
  std::vector<entry_input> inputs;
};

/// A caller that sends one request over TLS and reads the answer.
class tls_caller {
 public:
  tls_caller(asio::io_context& context, std::uint16_t port) : stream_(context, tls_) {
    stream_.next_layer().connect({asio::ip::address_v4::loopback(), port});
  }

  void Get(const std::string& target) {
    request_ = {http::verb::get, target, 11};
    request_.set(http::field::host, "a");
    stream_.async_handshake(asio::ssl::stream_base::client, [this](error_code error) {
      BOOST_REQUIRE(!error);
      Send();
    });
  }
  void Send() {
    http::async_write(stream_, request_, [this](error_code error, std::size_t) {
      BOOST_REQUIRE(!error);
      http::async_read(stream_, buffer_, answer_, [this](error_code result, std::size_t) {
        done_ = true;
        complete_ = !result;
      });
    });
  }
  bool IsDone() const { return done_; }
  bool IsComplete() const { return complete_; }
  const std::string& Body() const { return answer_.body(); }
  void Again() {
    done_ = false;
    answer_ = {};
    Send();
  }

 private:
  asio::ssl::context tls_{asio::ssl::context::tls_client};
  asio::ssl::stream<asio::ip::tcp::socket> stream_;
  http::request<http::empty_body> request_;
  boost::beast::flat_buffer buffer_;
  http::response<http::string_body> answer_;
  bool done_ = false;
  bool complete_ = false;
};

// Guards against answers that are cut, changed or mixed up by the encryption, also on a connection
// that carries several requests.
BOOST_AUTO_TEST_CASE(AnswersArriveWholeOverTls) {
  fixture f;
  tls_caller caller(f.context, f.server->Port());
  caller.Get("/services/roster/shifts");
  const std::string large(300'000, 'x');
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_REQUIRE(RunUntil(f.context, [&] { return f.inputs.size() > i; }));
    const caller_id id = std::get<caller_request>(f.inputs[i]).caller;
    f.server->Deliver(caller_head{.caller = id, .status = 200, .content_type = "text/plain"});
    f.server->Deliver(caller_part{.caller = id, .bytes = large});
    f.server->Deliver(caller_part{.caller = id, .bytes = std::to_string(i)});
    f.server->Deliver(caller_end{.caller = id, .complete = true});
    BOOST_REQUIRE(RunUntil(f.context, [&] { return caller.IsDone(); }));
    BOOST_TEST(caller.IsComplete());
    BOOST_TEST((caller.Body() == large + std::to_string(i)));
    if (i < 2) {
      caller.Again();
    }
  }
}

// Guards against an answer that was cut and looks whole to the caller.
BOOST_AUTO_TEST_CASE(CutAnswerIsVisibleOverTls) {
  fixture f;
  tls_caller caller(f.context, f.server->Port());
  caller.Get("/services/roster/shifts");
  BOOST_REQUIRE(RunUntil(f.context, [&] { return !f.inputs.empty(); }));
  const caller_id id = std::get<caller_request>(f.inputs[0]).caller;
  f.server->Deliver(caller_head{.caller = id, .status = 200, .content_type = "text/plain"});
  f.server->Deliver(caller_part{.caller = id, .bytes = "half"});
  f.server->Deliver(caller_end{.caller = id, .complete = false});
  BOOST_REQUIRE(RunUntil(f.context, [&] { return caller.IsDone(); }));
  BOOST_TEST(!caller.IsComplete());
}

// Guards against connections without a handshake that keep their place among the connections.
BOOST_AUTO_TEST_CASE(ConnectionsWithoutHandshakeAreClosed) {
  fixture f({.idle_timeout = std::chrono::milliseconds(100)});
  const auto plain = raw_socket::Connect(f.context, f.server->Port());
  plain->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto silent = raw_socket::Connect(f.context, f.server->Port());
  BOOST_TEST(RunUntil(f.context, [&] { return plain->Closed() && silent->Closed(); }));
  BOOST_TEST(f.server->Counters().handshakes_failed == 2U);
  BOOST_TEST(f.server->ConnectionCount() == 0U);
  BOOST_TEST(f.inputs.empty());
}

// Guards against a server that starts without the encryption it was told to use.
BOOST_AUTO_TEST_CASE(UnusableFilesAreNamed) {
  const key_files first;
  const key_files second;
  asio::io_context context;
  const auto start = [&](const std::string& certificate, const std::string& key) {
    const caller_server server(context,
                               {.listen_address = "127.0.0.1:0",
                                .tls_certificate_file = certificate,
                                .tls_private_key_file = key},
                               [](const entry_input&) { return true; });
  };
  const auto names = [](const std::string& file) {
    return [file](const std::runtime_error& error) {
      return std::string(error.what()).find(file) != std::string::npos;
    };
  };
  BOOST_CHECK_EXCEPTION(start("absent.pem", first.Key()), std::runtime_error, names("absent.pem"));
  BOOST_CHECK_EXCEPTION(start(first.Certificate(), second.Key()), std::runtime_error,
                        names(second.Key()));
}

}  // namespace
}  // namespace berylbarrow
