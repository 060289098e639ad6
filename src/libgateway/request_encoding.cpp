#include "request_encoding.h"

#include "local_response.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// True if a comma-separated header value contains an element.
bool listContains(std::string_view Value, std::string_view Element) {
  while (!Value.empty()) {
    std::size_t Comma = std::min(Value.find(','), Value.size());
    std::string_view Part = Value.substr(0, Comma);
    Value.remove_prefix(std::min(Comma + 1, Value.size()));
    std::size_t First = Part.find_first_not_of(" \t");
    std::size_t Last = Part.find_last_not_of(" \t");
    if (First != std::string_view::npos &&
        sameHeaderName(Part.substr(First, Last - First + 1), Element))
      return true;
  }
  return false;
}

} // namespace

HttpRequest encodeRequest(const PendingRequest &Pending,
                          const HeaderNames &Names, Instant Now) {
  const HttpRequest &CallerRequest = Pending.m_exchange->request();
  HttpRequest UpstreamRequest;
  UpstreamRequest.m_method = CallerRequest.m_method;
  UpstreamRequest.m_target = CallerRequest.m_target;
  UpstreamRequest.m_sharedBody = std::shared_ptr<const std::string>(
      Pending.m_exchange, &CallerRequest.m_body);
  std::string_view Connection = CallerRequest.header("Connection");
  // Only deployments with teams give these two headers a meaning.
  bool HasTeams = !Pending.m_configuration->m_teams.empty();
  for (const HttpHeader &Header : CallerRequest.m_headers) {
    bool Replaced =
        sameHeaderName(Header.m_name, Names.m_deadline) ||
        sameHeaderName(Header.m_name, Names.m_expectedUpstream) ||
        isForwardHeader(Header.m_name) ||
        (HasTeams && (sameHeaderName(Header.m_name, Names.m_credentials) ||
                      sameHeaderName(Header.m_name, Names.m_team)));
    bool AlwaysForwarded = sameHeaderName(Header.m_name, Names.m_requestId) ||
                           sameHeaderName(Header.m_name, Names.m_shardKey) ||
                           sameHeaderName(Header.m_name, "Host");
    bool NamedInConnection =
        !AlwaysForwarded && listContains(Connection, Header.m_name);
    if (!Replaced && !NamedInConnection && !isHopByHopHeader(Header.m_name))
      UpstreamRequest.m_headers.push_back(Header);
  }
  if (Pending.m_team)
    UpstreamRequest.m_headers.push_back(
        {Names.m_team, Pending.m_team->m_name.value()});
  std::int64_t RemainingMillis =
      std::max<std::int64_t>(1, (Pending.m_deadline - Now).count() / 1000);
  UpstreamRequest.m_headers.push_back(
      {Names.m_deadline, std::to_string(RemainingMillis)});
  return UpstreamRequest;
}

void removeInternalHeaders(HttpResponse &Response, const HeaderNames &Names,
                           bool ForCaller) {
  std::erase_if(Response.m_headers, [&](const HttpHeader &Header) {
    return isHopByHopHeader(Header.m_name) || isForwardHeader(Header.m_name) ||
           sameHeaderName(Header.m_name, Names.m_load) ||
           sameHeaderName(Header.m_name, Names.m_upstreamName) ||
           (ForCaller && sameHeaderName(Header.m_name, Names.m_leaving));
  });
}

void removeInternalHeaders(HttpResponse &Response) {
  std::erase_if(Response.m_headers, [](const HttpHeader &Header) {
    return isHopByHopHeader(Header.m_name) || isForwardHeader(Header.m_name);
  });
}

} // namespace burdockpulley
