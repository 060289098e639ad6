#include "request_encoding.h"

#include "local_response.h"

#include <algorithm>
#include <cctype>
#include <unordered_set>

namespace burdockpulley {

namespace {

std::string lowerCase(std::string_view Name) {
  std::string Text(Name);
  std::transform(
      Text.begin(), Text.end(), Text.begin(),
      [](unsigned char Each) { return static_cast<char>(std::tolower(Each)); });
  return Text;
}

/// The names, in lower case, that the Connection headers of a request list.
/// Callers choose the number of names and of fields, so each field is looked up
/// rather than compared with all names.
std::unordered_set<std::string> connectionOptions(const HttpRequest &Request) {
  std::unordered_set<std::string> Options;
  for (const HttpHeader &Header : Request.m_headers) {
    if (!sameHeaderName(Header.m_name, "Connection"))
      continue;
    std::string_view Value = Header.m_value;
    while (!Value.empty()) {
      std::size_t Comma = std::min(Value.find(','), Value.size());
      std::string_view Part = Value.substr(0, Comma);
      Value.remove_prefix(std::min(Comma + 1, Value.size()));
      std::size_t First = Part.find_first_not_of(" \t");
      std::size_t Last = Part.find_last_not_of(" \t");
      if (First != std::string_view::npos)
        Options.insert(lowerCase(Part.substr(First, Last - First + 1)));
    }
  }
  return Options;
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
  std::unordered_set<std::string> Options = connectionOptions(CallerRequest);
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
    bool NamedInConnection = !AlwaysForwarded && !Options.empty() &&
                             Options.contains(lowerCase(Header.m_name));
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
