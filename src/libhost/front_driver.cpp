#include "front_driver.h"

#include "burdockpulley/hashing.h"
#include "peer_types.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace burdockpulley {

namespace {

constexpr Duration SweepInterval{20'000};
constexpr Duration NoOwnerRetryAfter{500'000};

/// Header fields that concern one connection, and the caller's credentials.
constexpr std::array<const char *, 12> HopHeaders = {"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Transfer-Encoding",
                                                     "TE",
                                                     "Trailer",
                                                     "Upgrade",
                                                     "Content-Length",
                                                     "Proxy-Authenticate",
                                                     "Host",
                                                     "Authorization",
                                                     "Expect"};

bool forwarded(const std::string &Name) {
  if (strncasecmp(Name.c_str(), "X-Burdockpulley-", 16) == 0 ||
      strcasecmp(Name.c_str(), "X-Request-Id") == 0)
    return false;
  return std::none_of(
      HopHeaders.begin(), HopHeaders.end(),
      [&](const char *Hop) { return strcasecmp(Hop, Name.c_str()) == 0; });
}

wire::ForwardRequest toForward(HttpRequest &&Request, const RouteMatch &Match) {
  wire::ForwardRequest Forward;
  Forward.serviceName = Match.m_service->m_name.value();
  Forward.tenant = Match.m_tenant->m_name.value();
  Forward.idempotent = Match.m_idempotent;
  Forward.remainingMicros = Match.m_service->m_deadline.count();
  Forward.method = std::move(Request.m_method);
  Forward.target = std::move(Request.m_target);
  for (HttpHeader &Header : Request.m_headers) {
    if (!forwarded(Header.m_name))
      continue;
    wire::Header Copy;
    Copy.name = std::move(Header.m_name);
    Copy.value = std::move(Header.m_value);
    Forward.headers.push_back(std::move(Copy));
  }
  Forward.body = std::move(Request.m_body);
  return Forward;
}

HttpResponse routeErrorAnswer(RouteError Error, const std::string &RequestId) {
  switch (Error) {
  case RouteError::NoCredentials:
    return errorAnswer(401, Outcome::NotRun, "no-credentials", RequestId);
  case RouteError::NoRoute:
    return errorAnswer(404, Outcome::NotRun, "no-route", RequestId);
  case RouteError::NoKey:
    return errorAnswer(400, Outcome::NotRun, "no-key", RequestId);
  case RouteError::BodyTooLarge:
    break;
  }
  return errorAnswer(413, Outcome::NotRun, "body-too-large", RequestId);
}

HttpResponse toCaller(wire::ForwardReply &&Reply) {
  HttpResponse Response;
  Response.m_status = Reply.status;
  for (wire::Header &Header : Reply.headers)
    if (forwarded(Header.name))
      Response.m_headers.push_back(
          {std::move(Header.name), std::move(Header.value)});
  Response.m_body = std::move(Reply.body);
  return Response;
}

} // namespace

FrontDriver::FrontDriver(event_base *Base, HostState &State, PeerNetwork &Peers,
                         KeeperDriver &Keeper)
    : m_state(State), m_peers(Peers), m_keeper(Keeper),
      m_timer(Base, SweepInterval, [this](Instant Now) { expire(Now); }) {}

void FrontDriver::onRequest(HttpRequest &&Request,
                            std::shared_ptr<HttpResponder> Responder,
                            Instant Now) {
  std::string RequestId = randomUuid();
  auto Found = findRoute(m_state.declared(), Request);
  if (const auto *Error = std::get_if<RouteError>(&Found))
    return Responder->send(routeErrorAnswer(*Error, RequestId));
  const auto &Match = std::get<RouteMatch>(Found);
  wire::ForwardRequest Forward = toForward(std::move(Request), Match);
  Forward.id = ++m_lastId;
  Forward.requestId = RequestId;
  m_pending[Forward.id] = {std::move(Responder), RequestId, HostId(),
                           Now + Match.m_service->m_deadline};
  const Upstream *Target = chooseUpstream(Match, Forward);
  if (!Target)
    return fail(Forward.id, 503, Outcome::NotRun, "no-owner",
                NoOwnerRetryAfter);
  dispatch(*Target, std::move(Forward));
}

const Upstream *FrontDriver::chooseUpstream(const RouteMatch &Match,
                                            wire::ForwardRequest &Forward) {
  const Service &Target = *Match.m_service;
  if (!Target.keyed())
    return chooseUnkeyed(Target);
  PartitionIndex Partition = partitionOf(Match.m_key, Target.m_partitions);
  const PartitionRow *Row = m_state.m_ownership.find(Target.m_name, Partition);
  if (!Row)
    return nullptr;
  Forward.partition = static_cast<std::int32_t>(Partition.value());
  Forward.fencingToken = static_cast<std::int64_t>(Row->m_token.value());
  return m_state.declared().findUpstream(Row->m_owner);
}

const Upstream *FrontDriver::chooseUnkeyed(const Service &Target) {
  const auto &Upstreams = m_state.declared().m_upstreams;
  for (std::size_t Tried = 0; Tried < Upstreams.size(); ++Tried) {
    const Upstream &Next = Upstreams[m_nextUnkeyed++ % Upstreams.size()];
    if (Next.m_service == Target.m_name &&
        !m_state.declared().outOfService(Next))
      return &Next;
  }
  return nullptr;
}

void FrontDriver::dispatch(const Upstream &Target,
                           wire::ForwardRequest &&Forward) {
  std::int64_t Id = Forward.id;
  HostId Keeper = m_state.keeperOf(Target);
  Forward.upstream = Target.m_name.value();
  m_pending[Id].m_keeper = Keeper;
  if (Keeper == m_state.m_settings.m_host)
    return m_keeper.serve(std::move(Forward), [this](wire::ForwardReply &&R) {
      onReply(std::move(R));
    });
  wire::Message Message;
  Message.__set_forwardRequest(std::move(Forward));
  if (!m_peers.send(Keeper, Message))
    fail(Id, 503, Outcome::NotRun, "keeper-unreachable", NoOwnerRetryAfter);
}

void FrontDriver::onReply(wire::ForwardReply &&Reply) {
  auto Value = static_cast<Outcome>(Reply.outcome);
  if (Value == Outcome::Answered) {
    std::int64_t Id = Reply.id;
    return finish(Id, toCaller(std::move(Reply)));
  }
  fail(Reply.id, Reply.status, Value, Reply.reason,
       std::chrono::milliseconds(Reply.retryAfterMillis));
}

void FrontDriver::onPeerLost(const HostId &Peer) {
  std::vector<std::int64_t> Lost;
  for (const auto &[Id, Row] : m_pending)
    if (Row.m_keeper == Peer)
      Lost.push_back(Id);
  for (std::int64_t Id : Lost)
    fail(Id, 502, Outcome::Unknown, "keeper-lost");
}

void FrontDriver::expire(Instant Now) {
  std::vector<std::int64_t> Late;
  for (const auto &[Id, Row] : m_pending)
    if (Row.m_deadline <= Now)
      Late.push_back(Id);
  for (std::int64_t Id : Late)
    fail(Id, 504, Outcome::Unknown, "deadline");
}

void FrontDriver::fail(std::int64_t Id, int Status, Outcome Value,
                       const std::string &Code, Duration RetryAfter) {
  auto Found = m_pending.find(Id);
  if (Found == m_pending.end())
    return;
  finish(Id, errorAnswer(Status, Value, Code, Found->second.m_requestId,
                         RetryAfter));
}

void FrontDriver::finish(std::int64_t Id, const HttpResponse &Response) {
  auto Found = m_pending.find(Id);
  // A late answer: its caller has had the final one.
  if (Found == m_pending.end())
    return;
  std::shared_ptr<HttpResponder> Responder =
      std::move(Found->second.m_responder);
  m_pending.erase(Found);
  Responder->send(Response);
}

} // namespace burdockpulley
