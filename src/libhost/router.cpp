#include "router.h"

#include "burdockpulley/hashing.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

const Team *findCaller(const Declarations &Declared,
                       const HttpRequest &Request) {
  std::string_view Credentials = Request.header("Authorization");
  if (!Credentials.starts_with(BearerPrefix))
    return nullptr;
  std::string Digest = sha256Hex(Credentials.substr(BearerPrefix.size()));
  for (const Team &Row : Declared.m_teams)
    if (Row.m_tokenSha256 == Digest)
      return &Row;
  return nullptr;
}

/// True when a prefix matches a path at the end of a segment.
bool matchesPrefix(std::string_view Path, std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Prefix.ends_with('/') || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/';
}

const Route *longestMatch(const Declarations &Declared, const Team &Caller,
                          std::string_view Path) {
  const Route *Best = nullptr;
  for (const Route &Row : Declared.m_routes) {
    if (Row.m_team != Caller.m_name || !matchesPrefix(Path, Row.m_pathPrefix))
      continue;
    if (!Best || Row.m_pathPrefix.size() > Best->m_pathPrefix.size())
      Best = &Row;
  }
  return Best;
}

std::string pathSegment(std::string_view Path, std::uint32_t Index) {
  std::size_t Start = 1;
  for (; Index > 0 && Start <= Path.size(); --Index) {
    std::size_t Slash = Path.find('/', Start);
    Start = Slash == Path.npos ? Path.size() + 1 : Slash + 1;
  }
  if (Start > Path.size())
    return "";
  return std::string(Path.substr(Start, Path.find('/', Start) - Start));
}

std::string queryParameter(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    std::size_t End = std::min(Query.find('&'), Query.size());
    std::string_view Part = Query.substr(0, End);
    if (Part.starts_with(Name) && Part.size() > Name.size() &&
        Part[Name.size()] == '=')
      return std::string(Part.substr(Name.size() + 1));
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return "";
}

std::string findKey(const Service &Target, const HttpRequest &Request,
                    std::string_view Path, std::string_view Query) {
  switch (Target.m_keySource) {
  case KeySource::Header:
    return std::string(Request.header(Target.m_keyName));
  case KeySource::Query:
    return queryParameter(Query, Target.m_keyName);
  case KeySource::PathSegment:
    return pathSegment(Path, Target.m_keySegment);
  case KeySource::None:
    break;
  }
  return "";
}

} // namespace

std::variant<RouteMatch, RouteError> findRoute(const Declarations &Declared,
                                               const HttpRequest &Request) {
  const Team *Caller = findCaller(Declared, Request);
  if (!Caller)
    return RouteError::NoCredentials;
  std::string_view Target = Request.m_target;
  std::size_t Mark = std::min(Target.find('?'), Target.size());
  std::string_view Path = Target.substr(0, Mark);
  std::string_view Query = Target.substr(std::min(Mark + 1, Target.size()));
  const Route *Found = longestMatch(Declared, *Caller, Path);
  if (!Found)
    return RouteError::NoRoute;
  RouteMatch Match;
  Match.m_team = Caller;
  Match.m_service = Declared.findService(Found->m_service);
  if (Request.m_body.size() > Match.m_service->m_maxBodyBytes)
    return RouteError::BodyTooLarge;
  Match.m_key = findKey(*Match.m_service, Request, Path, Query);
  if (Match.m_service->keyed() && Match.m_key.empty())
    return RouteError::NoKey;
  const auto &Methods = Match.m_service->m_idempotentMethods;
  Match.m_idempotent = std::find(Methods.begin(), Methods.end(),
                                 Request.m_method) != Methods.end();
  return Match;
}

} // namespace burdockpulley
