#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "berylbarrow/process/membership/fleet_beat.h"
#include "berylbarrow/request/suspect/crash_digest.h"
#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;
using connection_action = scripted_reply::connection_action;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// A draft that no other one equals, with the given prompt parts.
std::string MakeDraft(int number, const std::string& parts) {
  std::string request = MakeRequest("draft", "a" + std::to_string(number));
  request.replace(request.size() - 3, 3, std::to_string(100 + number));
  const std::string end = "\r\nContent-Length";
  return request.replace(request.find(end), end.size(), "\r\nPrompt-Prefix: " + parts + end);
}

/// Streams one event. For requests with the part "dead", it sends only the head of the answer and
/// then resets the connection, as an upstream does that crashes on it.
scripted_upstream CrashingUpstream() {
  return scripted_upstream([](const std::string& request) {
    if (!Contains(HeaderValue(request, "Prompt-Prefix"), "dead")) {
      return scripted_reply{.bytes = MakeStreamResponse(request, {"id: 1\ndata: a\n\n"}, true)};
    }
    return scripted_reply{.bytes = MakeStreamResponse(request, {}, false),
                          .action = connection_action::kReset};
  });
}

int CountDrafts(const scripted_upstream& upstream, const std::string& part) {
  int count = 0;
  for (const std::string& request : upstream.Requests()) {
    count += Contains(HeaderValue(request, "Prompt-Prefix"), part) ? 1 : 0;
  }
  return count;
}

int CountDeadly(const scripted_upstream& upstream) { return CountDrafts(upstream, "dead"); }

/// After 30 of these, requests with unproven parts are rare.
void SendQuickSoundDrafts(const gateway_fixture& gateway, int count) {
  for (int i = 0; i < count; ++i) {
    gateway.SendAndReceive(MakeDraft(100 + i, "b1:40,1:9"), milliseconds(60));
  }
}

void SendSoundDrafts(const gateway_fixture& gateway) {
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(Contains(gateway.SendAndReceive(MakeDraft(i, "b1:40,1:9")), "data: a"));
  }
}

// Guards against requests that share a deadly prompt part and crash one upstream after the other,
// and against refusing sound requests with the same beginning and client account.
BOOST_AUTO_TEST_CASE(requests_with_a_prompt_part_that_crashes_upstreams_are_refused) {
  const scripted_upstream first = CrashingUpstream();
  const scripted_upstream second = CrashingUpstream();
  const gateway_fixture gateway({&first, &second});
  SendSoundDrafts(gateway);
  for (int i = 20; i < 26; ++i) {
    const std::string answer = gateway.SendAndReceive(MakeDraft(i, "b1:40,dead:9,2:9"));
    BOOST_TEST(Contains(answer, "HTTP/1.1 400"), "draft " << i << " got " << answer);
    BOOST_TEST(Contains(answer, "prompt part"));
  }
  BOOST_TEST(CountDeadly(first) + CountDeadly(second) == 1);
  BOOST_TEST(Contains(gateway.SendAndReceive(MakeDraft(30, "b1:40,3:9")), "data: a"));
}

// Guards against a second crash by a request that was sent to another upstream just before the
// first one, as the gateway learns of the cause while that request still waits for its answer.
BOOST_AUTO_TEST_CASE(an_open_request_is_ended_when_another_one_shows_that_it_crashes_upstreams) {
  const scripted_upstream slow([](const std::string& request) {
    const std::string& id = HeaderValue(request, "Request-Attempt-Id");
    if (id == "a20") {
      return scripted_reply{.delayed_bytes = MakeStreamResponse(request, {}, false),
                            .delay = milliseconds(600)};
    }
    if (id == "a21") {
      return scripted_reply{.bytes = MakeStreamResponse(request, {}, false),
                            .action = connection_action::kReset};
    }
    return scripted_reply{.bytes = MakeStreamResponse(request, {"id: 1\ndata: a\n\n"}, true)};
  });
  const gateway_fixture gateway({&slow});
  SendSoundDrafts(gateway);
  std::string open_answer;
  std::thread open([&] {
    open_answer = gateway.SendAndReceive(MakeDraft(20, "b1:40,dead:9,2:9"), milliseconds(500));
  });
  std::this_thread::sleep_for(milliseconds(100));
  boost::asio::io_context context;
  const auto sender = gateway.Send(context, MakeDraft(21, "b1:40,dead:9,3:9"));
  std::this_thread::sleep_for(milliseconds(200));
  open.join();
  BOOST_TEST(Contains(open_answer, "HTTP/1.1 400"), open_answer);
}

// Guards against a gateway that starts later and does not know of the crashes before.
BOOST_AUTO_TEST_CASE(gateways_tell_each_other_which_parts_crash_upstreams) {
  const scripted_upstream crashing = CrashingUpstream();
  std::string digest;
  boost::asio::io_context context;
  udp::socket peer(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  {
    const gateway_fixture gateway({&crashing});
    SendSoundDrafts(gateway);
    gateway.SendAndReceive(MakeDraft(20, "b1:40,dead:9,2:9"));
    const fleet_member member{
        .name = "entry-b",
        .role = member_role::kGateway,
        .incarnation = 7,
        .peers_address = "127.0.0.1:" + std::to_string(peer.local_endpoint().port())};
    peer.send_to(boost::asio::buffer(EncodeBeat({.self = member, .sequence = 1})),
                 gateway.PeersEndpoint());
    std::array<char, 1400> bytes{};
    for (int i = 0; i < 20 && digest.empty(); ++i) {
      const std::size_t size = peer.receive(boost::asio::buffer(bytes));
      const std::string datagram(bytes.data(), size);
      if (DecodeCrashDigest(datagram)) digest = datagram;
    }
  }
  BOOST_TEST_REQUIRE(!digest.empty());
  const int deadly_before = CountDeadly(crashing);
  const gateway_fixture later({&crashing});
  peer.send_to(boost::asio::buffer(digest), later.PeersEndpoint());
  SendSoundDrafts(later);
  BOOST_TEST(Contains(later.SendAndReceive(MakeDraft(21, "b1:40,dead:9,4:9")), "HTTP/1.1 400"));
  BOOST_TEST(CountDeadly(crashing) == deadly_before);
}

/// A companion of the fleet, as far as its datagrams show.
class fake_companion {
 public:
  void SendHeartbeat(const gateway_fixture& gateway,
                     const std::vector<engine_report>& reports = {}) {
    const fleet_member member{
        .name = "side-a",
        .role = member_role::kCompanion,
        .incarnation = 8,
        .peers_address = "127.0.0.1:" + std::to_string(socket_.local_endpoint().port())};
    const fleet_beat heartbeat{.self = member, .sequence = ++sequence_, .reports = reports};
    socket_.send_to(boost::asio::buffer(EncodeBeat(heartbeat)), gateway.PeersEndpoint());
  }
  /// The next crash digest among the datagrams that arrive.
  crash_digest ReceiveDigest() {
    while (true) {
      std::array<char, 1400> bytes{};
      const std::size_t size = socket_.receive(boost::asio::buffer(bytes));
      if (auto digest = DecodeCrashDigest({bytes.data(), size})) return *digest;
    }
  }

 private:
  boost::asio::io_context context_;
  udp::socket socket_{context_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::uint64_t sequence_ = 0;
};

// Guards against a fleet that forgets a deadly part when all gateways are restarted at once.
BOOST_AUTO_TEST_CASE(companions_keep_the_crashes_for_gateways_that_start) {
  const scripted_upstream crashing = CrashingUpstream();
  fake_companion companion;
  crash_digest kept;
  {
    const gateway_fixture gateway({&crashing});
    SendSoundDrafts(gateway);
    companion.SendHeartbeat(gateway);
    BOOST_TEST(companion.ReceiveDigest().crashes.empty());  // asks for what is known
    gateway.SendAndReceive(MakeDraft(20, "b1:40,dead:9,2:9"));
    kept = companion.ReceiveDigest();
  }
  BOOST_TEST(kept.crashes.size() == 1U);
}

// Guards against a service that loses its last group to a second deadly part while the first part
// has crashed the other group.
BOOST_AUTO_TEST_CASE(requests_with_unproven_parts_do_not_reach_the_last_unit_after_a_crash) {
  const scripted_upstream first = CrashingUpstream();
  const scripted_upstream second = CrashingUpstream();
  const gateway_fixture gateway({&first, &second});
  fake_companion companion;
  companion.SendHeartbeat(gateway, {{.address = first.Address(), .group = "a"},
                                    {.address = second.Address(), .group = "b"}});
  SendQuickSoundDrafts(gateway, 30);
  gateway.SendAndReceive(MakeDraft(20, "b1:40,dead:9,2:9"));
  const bool is_first_lost = CountDeadly(first) > 0;
  companion.SendHeartbeat(gateway,
                          {{.address = first.Address(), .group = "a", .open = !is_first_lost},
                           {.address = second.Address(), .group = "b", .open = is_first_lost}});
  const std::string refusal = gateway.SendAndReceive(MakeDraft(30, "b1:40,c2:9,3:9"));
  BOOST_TEST(Contains(refusal, "HTTP/1.1 503"), refusal);
  BOOST_TEST(!HeaderValue(refusal, "Retry-After").empty());
  BOOST_TEST(Contains(gateway.SendAndReceive(MakeDraft(31, "b1:40,4:9")), "data: a"));

  companion.SendHeartbeat(gateway, {{.address = first.Address(), .group = "a", .epoch = 1},
                                    {.address = second.Address(), .group = "b", .epoch = 1}});
  BOOST_TEST(Contains(gateway.SendAndReceive(MakeDraft(32, "b1:40,c2:9,5:9")), "data: a"));
}

// Guards against a gateway that has started and refuses most requests, as it knows few answers yet.
BOOST_AUTO_TEST_CASE(unproven_parts_reach_the_last_unit_while_most_requests_have_one) {
  const scripted_upstream first = CrashingUpstream();
  const scripted_upstream second = CrashingUpstream();
  const gateway_fixture gateway({&first, &second});
  fake_companion companion;
  companion.SendHeartbeat(gateway, {{.address = first.Address(), .group = "a"},
                                    {.address = second.Address(), .group = "b"}});
  for (int i = 0; i < 10; ++i) {
    const std::string part = "c" + std::to_string(i);
    gateway.SendAndReceive(MakeDraft(i, part + ":40,1:9"), milliseconds(60));
  }
  gateway.SendAndReceive(MakeDraft(20, "b1:40,dead:9,2:9"));
  const bool is_first_lost = CountDeadly(first) > 0;
  companion.SendHeartbeat(gateway,
                          {{.address = first.Address(), .group = "a", .open = !is_first_lost},
                           {.address = second.Address(), .group = "b", .open = is_first_lost}});
  BOOST_TEST(Contains(gateway.SendAndReceive(MakeDraft(30, "b1:40,d2:9,3:9")), "data: a"));
}

// Guards against two deadly parts that crash a group each before the first crash is known.
BOOST_AUTO_TEST_CASE(requests_with_different_unproven_parts_go_to_the_same_unit) {
  const scripted_upstream first = CrashingUpstream();
  const scripted_upstream second = CrashingUpstream();
  const gateway_fixture gateway({&first, &second});
  SendQuickSoundDrafts(gateway, 30);
  for (int i = 0; i < 6; ++i) {
    const std::string part = "c" + std::to_string(i);
    BOOST_TEST(Contains(gateway.SendAndReceive(MakeDraft(10 + i, part + ":40,1:9")), "data: a"));
    SendQuickSoundDrafts(gateway, 6);
  }
  const int first_count = CountDrafts(first, "c");
  BOOST_TEST((first_count == 0 || first_count == 6));
}

// Guards against a lookup that ends one upstream of a plain service after the other, as it is sent
// on within milliseconds of each crash (issue 40).
BOOST_AUTO_TEST_CASE(a_lookup_that_is_sent_on_from_crash_to_crash_is_refused_after_three) {
  std::atomic<int> runs = 0;
  const auto crash = [&](const std::string& request) {
    if (!Contains(HeaderValue(request, "Request-Attempt-Id"), "dead")) {
      return scripted_reply{.bytes = MakeSignedResponse(request, 200, "found")};
    }
    ++runs;
    return scripted_reply{.action = connection_action::kReset, .delay = milliseconds(40)};
  };
  const scripted_upstream first(crash);
  const scripted_upstream second(crash);
  const scripted_upstream third(crash);
  const scripted_upstream fourth(crash);
  const gateway_fixture gateway({&first, &second, &third, &fourth});
  std::string answer;
  for (int i = 0; i < 6; ++i) {
    answer = gateway.SendAndReceive(MakeRequest("read", "dead" + std::to_string(i)));
  }
  BOOST_TEST(Contains(answer, "HTTP/1.1 400"), answer);
  BOOST_TEST(runs == 3);
}

// Guards against an answer that proves nothing: without a signature, it shows no run, so that a
// request which ends upstreams in between is cleared of its crashes again and again.
BOOST_AUTO_TEST_CASE(answers_without_signature_do_not_clear_a_request_that_crashes_upstreams) {
  std::atomic<int> attempts = 0;
  const auto answer_or_crash = [&](const std::string& request) {
    const std::string head = "HTTP/1.1 404 Unknown\r\nRequest-Attempt-Id: " +
                             HeaderValue(request, "Request-Attempt-Id") +
                             "\r\nContent-Length: 0\r\n\r\n";
    if (++attempts % 2 == 0) return scripted_reply{.bytes = head};
    return scripted_reply{.action = connection_action::kReset};
  };
  const scripted_upstream first(answer_or_crash);
  const scripted_upstream second(answer_or_crash);
  const scripted_upstream third(answer_or_crash);
  const gateway_fixture gateway({&first, &second, &third});
  std::string answer;
  for (int i = 0; i < 10 && !Contains(answer, "HTTP/1.1 400"); ++i) {
    answer = gateway.SendAndReceive(MakeRequest("read", "a" + std::to_string(i)));
    std::this_thread::sleep_for(milliseconds(200));
  }
  BOOST_TEST(Contains(answer, "HTTP/1.1 400"), answer);
}

// Guards against gateways that take the parts which others have answered for unknown risks.
BOOST_AUTO_TEST_CASE(gateways_tell_each_other_which_parts_were_answered) {
  const scripted_upstream upstream = CrashingUpstream();
  const gateway_fixture gateway({&upstream});
  boost::asio::io_context context;
  udp::socket peer(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const fleet_member member{
      .name = "entry-b",
      .role = member_role::kGateway,
      .incarnation = 7,
      .peers_address = "127.0.0.1:" + std::to_string(peer.local_endpoint().port())};
  peer.send_to(boost::asio::buffer(EncodeBeat({.self = member, .sequence = 1})),
               gateway.PeersEndpoint());
  gateway.SendAndReceive(MakeDraft(0, "b1:40,1:9"));
  std::optional<answer_digest> digest;
  while (!digest) {
    std::array<char, 1400> bytes{};
    const std::size_t size = peer.receive(boost::asio::buffer(bytes));
    digest = DecodeAnswerDigest({bytes.data(), size});
  }
  BOOST_TEST_REQUIRE(digest->answers.size() == 1U);
  BOOST_TEST(digest->answers.front().trait == 0xb1U);
}

}  // namespace
}  // namespace berylbarrow
