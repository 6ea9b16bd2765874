#include "connection/http/caller_stream.h"

#include <openssl/ssl.h>

#include <fstream>
#include <stdexcept>

namespace berylbarrow {

namespace ssl = boost::asio::ssl;

namespace {

void Require(const boost::system::error_code& error, const std::string& what,
             const std::string& file) {
  if (!error) {
    return;
  }
  // OpenSSL has no text for errors of the operating system.
  const bool is_readable = std::ifstream(file).is_open();
  throw std::runtime_error("cannot use the " + what + " " + file + ": " +
                           (is_readable ? error.message() : "the file cannot be read"));
}

}  // namespace

std::shared_ptr<ssl::context> MakeTlsContext(const std::string& certificate_file,
                                             const std::string& private_key_file) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 |
                       ssl::context::no_tlsv1_1);
  // Idle connections keep no buffers; OpenSSL would hold about 34 KB for each.
  SSL_CTX_set_mode(context->native_handle(), SSL_MODE_RELEASE_BUFFERS);
  boost::system::error_code error;
  context->use_certificate_chain_file(certificate_file, error);
  Require(error, "certificate", certificate_file);
  // Also checks that the key is that of the certificate.
  context->use_private_key_file(private_key_file, ssl::context::pem, error);
  Require(error, "private key", private_key_file);
  return context;
}

bool caller_stream::HasUnreadBytes() const {
  error_code ignored;
  return socket_.available(ignored) > 0 || (tls_ && SSL_pending(tls_->native_handle()) > 0);
}

void caller_stream::CancelReads() {
  error_code ignored;
  socket_.cancel(ignored);
}

void caller_stream::Close() {
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace berylbarrow
