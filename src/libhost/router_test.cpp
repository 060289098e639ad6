#include "burdockpulley/hashing.h"
#include "router.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

Declarations twoTeams() {
  Declarations Set;
  Set.m_teams = {{TeamId("a"), sha256Hex("token-a")},
                 {TeamId("b"), sha256Hex("token-b")}};
  Service Herd;
  Herd.m_name = ServiceId("herd");
  Herd.m_team = TeamId("a");
  Herd.m_keySource = KeySource::PathSegment;
  Herd.m_keySegment = 1;
  Herd.m_idempotentMethods = {"GET"};
  Herd.m_maxBodyBytes = 10;
  Set.m_services = {Herd};
  Set.m_routes = {{"r", TeamId("a"), "/herds", ServiceId("herd")}};
  return Set;
}

HttpRequest get(const std::string &Token, const std::string &Target) {
  return {"GET", Target, {{"authorization", "Bearer " + Token}}, ""};
}

RouteError errorOf(const HttpRequest &Request) {
  return std::get<RouteError>(findRoute(twoTeams(), Request));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_finds_its_service_and_key) {
  Declarations Set = twoTeams();
  auto Found = findRoute(Set, get("token-a", "/herds/77/history?x=1"));
  const auto &Match = std::get<RouteMatch>(Found);
  BOOST_TEST(Match.m_key == "77");
  BOOST_TEST(Match.m_idempotent);
}

BOOST_AUTO_TEST_CASE(a_tenant_reaches_only_its_own_services) {
  BOOST_TEST((errorOf(get("token-b", "/herds/77")) == RouteError::NoRoute));
  BOOST_TEST((errorOf(get("guess", "/herds/77")) == RouteError::NoCredentials));
  BOOST_TEST((errorOf({}) == RouteError::NoCredentials));
}

BOOST_AUTO_TEST_CASE(bad_requests_are_told_apart) {
  BOOST_TEST((errorOf(get("token-a", "/herdsman/7")) == RouteError::NoRoute));
  BOOST_TEST((errorOf(get("token-a", "/herds")) == RouteError::NoKey));
  HttpRequest Large = get("token-a", "/herds/7");
  Large.m_body = "eleven bytes";
  BOOST_TEST((errorOf(Large) == RouteError::BodyTooLarge));
}
