#include "request_forwarder.h"

#include "burdockpulley/upstream_reachability.h"
#include "no_codec.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace burdockpulley;

namespace {

Instant at(double Seconds) {
  return Instant(Duration(static_cast<std::int64_t>((1000 + Seconds) * 1e6)));
}

/// Upstreams u0, u1 and so on, in turn in the failure domains.
UpstreamRegistry registry(int Upstreams, int Domains) {
  UpstreamRegistry Registry;
  for (int Number = 0; Number < Upstreams; ++Number) {
    UpstreamRecord Record;
    Record.m_id = UpstreamId("u" + std::to_string(Number));
    Record.m_domain = DomainId("d" + std::to_string(Number % Domains));
    Record.m_sequence = 1;
    Registry.onRecord(Record, at(0));
  }
  return Registry;
}

UpstreamId id(int Number) { return UpstreamId("u" + std::to_string(Number)); }

} // namespace

BOOST_AUTO_TEST_CASE(failures_in_one_failure_domain_are_no_loss_of_all_paths) {
  UpstreamRegistry Registry = registry(9, 3);
  UpstreamReachability Reachability;
  for (int Number : {0, 3, 6})
    Reachability.onFailure(id(Number), at(1));
  BOOST_TEST(!Reachability.lost(Registry));
  Reachability.onFailure(id(1), at(1.1));
  BOOST_TEST(Reachability.lost(Registry));
  Reachability.onResponse();
  BOOST_TEST(!Reachability.lost(Registry));
}

BOOST_AUTO_TEST_CASE(a_single_upstream_that_fails_is_no_loss_of_all_paths) {
  UpstreamReachability Reachability;
  Reachability.onFailure(id(0), at(1));
  BOOST_TEST(!Reachability.lost(registry(1, 1)));
  BOOST_TEST(!Reachability.lost(registry(2, 1)));
  Reachability.onFailure(id(1), at(1));
  BOOST_TEST(Reachability.lost(registry(2, 1)));
}

BOOST_AUTO_TEST_CASE(silence_and_failures_call_for_probes) {
  UpstreamReachability Reachability;
  BOOST_TEST(!Reachability.wantsProbes(at(9)));
  Reachability.onSent(at(1));
  BOOST_TEST(!Reachability.wantsProbes(at(1.2)));
  BOOST_TEST(Reachability.wantsProbes(at(2)));
  Reachability.onResponse();
  BOOST_TEST(!Reachability.wantsProbes(at(2)));
  Reachability.onFailure(id(0), at(2));
  BOOST_TEST(!Reachability.wantsProbes(at(2)));
  BOOST_TEST(Reachability.wantsProbes(at(2.1)));
}

// A heartbeat shows that an upstream reaches the store, not that this host
// reaches the upstream.
BOOST_AUTO_TEST_CASE(heartbeats_make_no_upstream_usable_while_paths_are_lost) {
  UpstreamRegistry Registry = registry(2, 2);
  UpstreamState &Upstream = *Registry.find(id(0));
  Registry.setPathsLost(true, at(1));
  BOOST_TEST(!Registry.usable(Upstream));
  Registry.onRenewed(Upstream, at(2));
  Registry.sweep(at(9));
  BOOST_TEST(!Registry.usable(Upstream));
  Registry.setPathsLost(false, at(10));
  BOOST_TEST(Registry.usable(Upstream));
  BOOST_TEST(!Upstream.cold(at(10)));
}

BOOST_AUTO_TEST_CASE(forwarded_requests_carry_their_target_and_attempts) {
  HttpRequest Request;
  BOOST_TEST(!readForwardHeaders(Request).has_value());
  addForwardHeaders(Request, {ServiceId("fee"), 2});
  auto Forwarded = readForwardHeaders(Request);
  BOOST_REQUIRE(Forwarded.has_value());
  BOOST_TEST(Forwarded->m_service.value() == "fee");
  BOOST_TEST(Forwarded->m_maxAttempts == 2u);
  for (const HttpHeader &Header : Request.m_headers)
    BOOST_TEST(isForwardHeader(Header.m_name));
  Request.m_headers[1].m_value = "0";
  BOOST_TEST(!readForwardHeaders(Request).has_value());
  Request.m_headers[1].m_value = "2x";
  BOOST_TEST(!readForwardHeaders(Request).has_value());
  BOOST_TEST(!isForwardHeader("Retry-After"));
}

BOOST_AUTO_TEST_CASE(a_forwarded_request_ends_as_the_serving_host_says) {
  auto Read = [](const char *Outcome, const char *Reason,
                 std::uint32_t Attempts) {
    HttpResponse Response;
    addOutcomeHeaders(Response, Outcome, Reason, UpstreamId("u1"), Attempts);
    BOOST_TEST(readUpstream(Response).value() == "u1");
    ForwardedEnd End = readForwardedEnd(Response);
    BOOST_TEST(End.m_attempts == Attempts);
    BOOST_TEST(End.m_noUpstreamLeft ==
               (std::string_view(Reason) == NoUpstreamReason));
    return End.m_outcome;
  };
  BOOST_TEST((Read("answered", "", 1) == ForwardOutcome::Answered));
  BOOST_TEST((Read("unknown", "timed-out", 1) == ForwardOutcome::Unknown));
  BOOST_TEST((Read("not-run", "deadline-near", 0) == ForwardOutcome::NotRun));
  BOOST_TEST(
      (Read("not-run", NoUpstreamReason, 0) == ForwardOutcome::NotServed));
  // An upstream has refused it before none was left.
  BOOST_TEST((Read("not-run", NoUpstreamReason, 1) == ForwardOutcome::NotRun));
  BOOST_TEST((Read("unknown", NoUpstreamReason, 2) == ForwardOutcome::Unknown));
  BOOST_TEST((readForwardedEnd(HttpResponse{404, {}, ""}).m_outcome ==
              ForwardOutcome::NotServed));
}

BOOST_AUTO_TEST_CASE(an_attempt_is_assumed_of_an_older_host_that_has_made_one) {
  HttpResponse Response;
  addOutcomeHeaders(Response, "not-run", NoUpstreamReason, UpstreamId("u1"), 1);
  Response.m_headers.pop_back();
  BOOST_TEST(readForwardedEnd(Response).m_attempts == 1u);
  BOOST_TEST((readForwardedEnd(Response).m_outcome == ForwardOutcome::NotRun));
  Response.m_headers.pop_back(); // The upstream.
  BOOST_TEST(readForwardedEnd(Response).m_attempts == 0u);
  BOOST_TEST(
      (readForwardedEnd(Response).m_outcome == ForwardOutcome::NotServed));
}

// An older host would ignore the team, and want the key that was dropped.
BOOST_AUTO_TEST_CASE(a_forwarded_request_carries_its_team) {
  HttpRequest Request;
  addForwardHeaders(Request, {ServiceId("fee"), 2, TeamId("returns")});
  BOOST_REQUIRE(readForwardHeaders(Request).has_value());
  BOOST_TEST(readForwardHeaders(Request)->m_team.value() == "returns");
  for (const HttpHeader &Header : Request.m_headers)
    BOOST_TEST(isForwardHeader(Header.m_name));
}

BOOST_AUTO_TEST_CASE(a_host_that_knows_no_teams_gets_no_request_of_one) {
  NoCodec Codec;
  event_base *Base = event_base_new();
  {
    GatewayState State(Base, GatewaySettings(), Codec);
    RequestForwarder Forwarder(State);
    ForwardingPeer Older;
    Older.m_host = HostId("older");
    ForwardingPeer Newer;
    Newer.m_host = HostId("newer");
    Newer.m_record.m_teams = true;
    State.m_forwardingPeers = {Older};
    BOOST_TEST(!Forwarder.choose(std::nullopt, {}, true, at(0)));
    BOOST_TEST(!Forwarder.choose(Older.m_host, {}, true, at(0)));
    BOOST_TEST(Forwarder.choose(std::nullopt, {}, false, at(0)));
    State.m_forwardingPeers = {Older, Newer};
    const ForwardingPeer *Chosen =
        Forwarder.choose(Older.m_host, {}, true, at(0));
    BOOST_REQUIRE(Chosen);
    BOOST_TEST(Chosen->m_host.value() == "newer");
  }
  event_base_free(Base);
}
