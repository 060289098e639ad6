#include "request_forwarder.h"

#include "burdockpulley/clock.h"
#include "local_response.h"

#include <algorithm>
#include <charconv>

namespace burdockpulley {

namespace {

constexpr std::string_view HeaderPrefix = "Burdockpulley-";
constexpr const char *ServiceHeader = "Burdockpulley-Service";
constexpr const char *AttemptsHeader = "Burdockpulley-Attempts";
constexpr const char *TeamHeader = "Burdockpulley-Team";
constexpr const char *OutcomeHeader = "Burdockpulley-Outcome";
constexpr const char *ReasonHeader = "Burdockpulley-Reason";
constexpr const char *UpstreamHeader = "Burdockpulley-Upstream";
constexpr const char *AttemptsMadeHeader = "Burdockpulley-Attempts-Made";
/// A host is not chosen for this time after a request to it has failed.
constexpr Duration FailedPeerTime{500'000};
/// Requests in flight by which a host of another failure domain, or one with a
/// narrow link, must be ahead of another host to be chosen.
constexpr std::size_t OtherDomainHandicap = 4;
constexpr std::size_t LowBandwidthHandicap = 16;
/// The same for a host that no upstream has responded to for a while.
constexpr std::size_t UnprovenHandicap = 64;
constexpr Duration ProvenTime{1'000'000};

/// Returns nothing if \p Text is not a number.
std::optional<std::uint32_t> readCount(std::string_view Text) {
  std::uint32_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto [Parsed, Error] = std::from_chars(Text.data(), End, Count);
  if (Error != std::errc() || Parsed != End)
    return std::nullopt;
  return Count;
}

} // namespace

bool isForwardHeader(std::string_view Name) {
  return Name.size() > HeaderPrefix.size() &&
         sameHeaderName(Name.substr(0, HeaderPrefix.size()), HeaderPrefix);
}

void addForwardHeaders(HttpRequest &Request,
                       const ForwardedRequest &Forwarded) {
  Request.m_headers.push_back({ServiceHeader, Forwarded.m_service.value()});
  Request.m_headers.push_back(
      {AttemptsHeader, std::to_string(Forwarded.m_maxAttempts)});
  if (!Forwarded.m_team.value().empty())
    Request.m_headers.push_back({TeamHeader, Forwarded.m_team.value()});
}

std::optional<ForwardedRequest> readForwardHeaders(const HttpRequest &Request) {
  ForwardedRequest Forwarded;
  Forwarded.m_service = ServiceId(std::string(Request.header(ServiceHeader)));
  Forwarded.m_team = TeamId(std::string(Request.header(TeamHeader)));
  Forwarded.m_maxAttempts =
      readCount(Request.header(AttemptsHeader)).value_or(0);
  if (Forwarded.m_service.value().empty() || Forwarded.m_maxAttempts == 0)
    return std::nullopt;
  return Forwarded;
}

void addOutcomeHeaders(HttpResponse &Response, std::string_view Outcome,
                       std::string_view Reason, const UpstreamId &Upstream,
                       std::uint32_t Attempts) {
  Response.m_headers.push_back({OutcomeHeader, std::string(Outcome)});
  if (!Reason.empty())
    Response.m_headers.push_back({ReasonHeader, std::string(Reason)});
  if (!Upstream.value().empty())
    Response.m_headers.push_back({UpstreamHeader, Upstream.value()});
  Response.m_headers.push_back({AttemptsMadeHeader, std::to_string(Attempts)});
}

UpstreamId readUpstream(const HttpResponse &Response) {
  return UpstreamId(std::string(Response.header(UpstreamHeader)));
}

ForwardedEnd readForwardedEnd(const HttpResponse &Response) {
  std::string_view Outcome = Response.header(OutcomeHeader);
  ForwardedEnd End;
  if (Outcome.empty())
    return End;
  End.m_noUpstreamLeft = Response.header(ReasonHeader) == NoUpstreamReason;
  std::uint32_t OfOlderHost = readUpstream(Response).value().empty() ? 0 : 1;
  End.m_attempts =
      readCount(Response.header(AttemptsMadeHeader)).value_or(OfOlderHost);
  if (Outcome == "answered")
    End.m_outcome = ForwardOutcome::Answered;
  else if (Outcome == "unknown")
    End.m_outcome = ForwardOutcome::Unknown;
  else if (!End.m_noUpstreamLeft || End.m_attempts > 0)
    End.m_outcome = ForwardOutcome::NotRun;
  return End;
}

const char *toString(ForwardOutcome Outcome) {
  switch (Outcome) {
  case ForwardOutcome::Answered:
    return "answered";
  case ForwardOutcome::NotRun:
    return "not-run";
  case ForwardOutcome::NotServed:
    return "not-served";
  case ForwardOutcome::Unknown:
    break;
  }
  return "unknown";
}

RequestForwarder::RequestForwarder(GatewayState &State)
    : m_state(State), m_connections(State.m_base, State.requestPoolSettings()) {
}

const ForwardingPeer *
RequestForwarder::choose(const std::optional<HostId> &Preferred,
                         const std::set<HostId> &Tried, bool NeedsTeams,
                         Instant Now) const {
  const ForwardingPeer *Best = nullptr;
  std::size_t BestCost = 0;
  for (const ForwardingPeer &Peer : m_state.m_forwardingPeers) {
    if (Tried.count(Peer.m_host) || (NeedsTeams && !Peer.m_record.m_teams))
      continue;
    auto LoadIt = m_loads.find(Peer.m_host);
    std::size_t Cost = 0;
    if (LoadIt != m_loads.end()) {
      if (Now < LoadIt->second.m_failedUntil)
        continue;
      Cost = LoadIt->second.m_inFlight;
    }
    if (Preferred && Peer.m_host == *Preferred)
      return &Peer;
    if (Peer.m_record.m_domain != m_state.m_settings.m_domain)
      Cost += OtherDomainHandicap;
    if (!Peer.m_record.m_highBandwidth)
      Cost += LowBandwidthHandicap;
    if (Now - Peer.m_answeredAt > ProvenTime)
      Cost += UnprovenHandicap;
    if (Best && Cost >= BestCost)
      continue;
    Best = &Peer;
    BestCost = Cost;
  }
  return Best;
}

ChannelCallId RequestForwarder::call(const ForwardingPeer &Peer,
                                     const HttpRequest &Request,
                                     const std::string &RequestId,
                                     Duration Timeout,
                                     ChannelPool::Callback Done) {
  ++m_loads[Peer.m_host].m_inFlight;
  return m_connections.pool(Peer.m_host, Peer.m_record.m_forwardEndpoint)
      .call(Request, RequestId, Timeout, ChannelPool::Reuse::RecentlyUsed,
            [this, Host = Peer.m_host,
             Done = std::move(Done)](ChannelResult &&Result) {
              Load &PeerLoad = m_loads[Host];
              PeerLoad.m_inFlight -=
                  std::min<std::size_t>(PeerLoad.m_inFlight, 1);
              if (Result.m_error != ChannelError::None)
                PeerLoad.m_failedUntil = bootClockNow() + FailedPeerTime;
              Done(std::move(Result));
            });
}

void RequestForwarder::cancel(const HostId &Host, ChannelCallId Call) {
  m_connections.cancel(Host, Call);
  Load &PeerLoad = m_loads[Host];
  PeerLoad.m_inFlight -= std::min<std::size_t>(PeerLoad.m_inFlight, 1);
}

void RequestForwarder::sweep(Instant Now) {
  auto IsPeer = [this](const HostId &Host) {
    return std::any_of(
        m_state.m_forwardingPeers.begin(), m_state.m_forwardingPeers.end(),
        [&Host](const ForwardingPeer &Peer) { return Peer.m_host == Host; });
  };
  m_connections.sweep(IsPeer, Now);
  std::erase_if(m_loads, [&](const auto &Entry) {
    return Entry.second.m_inFlight == 0 && !IsPeer(Entry.first);
  });
}

} // namespace burdockpulley
