#include "request_encoding.h"

#include "local_response.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

HeaderNames names() {
  HeaderNames Names;
  Names.m_requestId = "Id";
  Names.m_deadline = "Deadline";
  Names.m_credentials = "Authorization";
  Names.m_team = "Team";
  return Names;
}

/// A request whose caller sends credentials and the name of another team.
PendingRequest pending(TeamDirectory Teams, const char *Team) {
  auto Configuration = std::make_shared<RoutingConfiguration>();
  Configuration->m_teams = std::move(Teams);
  PendingRequest Pending;
  if (Team)
    Pending.m_team = Configuration->m_teams.findByName(TeamId(Team));
  Pending.m_configuration = Configuration;
  HttpRequest Request;
  Request.m_method = "GET";
  Request.m_target = "/";
  Request.m_headers = {{"Id", "1"},
                       {"AUTHORIZATION", "Bearer secret-1"},
                       {"team", "other"},
                       {"Team", "third"},
                       {"Burdockpulley-Team", "fourth"}};
  Pending.m_exchange =
      std::make_shared<Exchange>(nullptr, std::move(Request), Instant());
  return Pending;
}

TeamDirectory teams() {
  TeamDirectory Teams;
  TeamPolicy Team;
  Team.m_name = TeamId("a");
  BOOST_TEST(!Teams.add(Team, {"secret-1"}));
  return Teams;
}

/// The values of all headers of a name.
std::vector<std::string> values(const HttpRequest &Request,
                                std::string_view Name) {
  std::vector<std::string> Values;
  for (const HttpHeader &Header : Request.m_headers)
    if (sameHeaderName(Header.m_name, Name))
      Values.push_back(Header.m_value);
  return Values;
}

} // namespace

// An upstream that sees a caller's key, or a team that the caller has chosen,
// acts for the wrong team.
BOOST_AUTO_TEST_CASE(an_upstream_gets_the_team_and_no_credentials) {
  HttpRequest Sent = encodeRequest(pending(teams(), "a"), names(), Instant());
  BOOST_TEST(values(Sent, "Authorization").empty());
  BOOST_TEST((values(Sent, "Team") == std::vector<std::string>{"a"}));
  BOOST_TEST(values(Sent, "Burdockpulley-Team").empty());
  // On a public route, without a known key.
  Sent = encodeRequest(pending(teams(), nullptr), names(), Instant());
  BOOST_TEST(values(Sent, "Authorization").empty());
  BOOST_TEST(values(Sent, "Team").empty());
}

BOOST_AUTO_TEST_CASE(without_teams_both_headers_pass_unchanged) {
  HttpRequest Sent =
      encodeRequest(pending(TeamDirectory(), nullptr), names(), Instant());
  BOOST_TEST((values(Sent, "Authorization") ==
              std::vector<std::string>{"Bearer secret-1"}));
  BOOST_TEST(
      (values(Sent, "Team") == std::vector<std::string>{"other", "third"}));
}

// Each field was compared with each name of the first Connection header.
BOOST_AUTO_TEST_CASE(fields_that_any_connection_header_names_are_dropped) {
  PendingRequest Pending = pending(TeamDirectory(), nullptr);
  HttpRequest Request;
  Request.m_headers = {{"Id", "1"},      {"Connection", "close, X-Hop ,x-b"},
                       {"X-HOP", "1"},   {"x-hop", "2"},
                       {"X-Hop-2", "3"}, {"CONNECTION", "id,\tX-Other"},
                       {"x-other", "4"}, {"X-B", "5"}};
  Pending.m_exchange =
      std::make_shared<Exchange>(nullptr, std::move(Request), Instant());
  HttpRequest Sent = encodeRequest(Pending, names(), Instant());
  for (const char *Dropped : {"Connection", "X-Hop", "X-Other", "X-B"})
    BOOST_TEST(values(Sent, Dropped).empty());
  BOOST_TEST((values(Sent, "X-Hop-2") == std::vector<std::string>{"3"}));
  BOOST_TEST((values(Sent, "Id") == std::vector<std::string>{"1"}));
}
