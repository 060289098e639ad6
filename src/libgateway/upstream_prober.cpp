#include "upstream_prober.h"

#include "burdockpulley/clock.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr Duration ProbeInterval{400'000};
constexpr Duration ProbeTimeout{300'000};
/// Upstreams that are checked at the same time.
constexpr std::size_t ProbesAtOnce = 3;
constexpr std::size_t MaxProbeResponseBytes = 64 << 10;

ChannelPoolSettings poolSettings() {
  ChannelPoolSettings Settings;
  Settings.m_maxConnections = 0;
  Settings.m_maxResponseBytes = MaxProbeResponseBytes;
  return Settings;
}

} // namespace

UpstreamProber::UpstreamProber(GatewayState &State)
    : m_state(State), m_connections(State.m_base, poolSettings()),
      m_random(std::random_device()()) {}

void UpstreamProber::tick(Instant Now) {
  if (Now < m_nextProbes || !m_state.m_reachability.wantsProbes(Now))
    return;
  m_nextProbes = Now + ProbeInterval;
  m_connections.sweep(
      [this](const UpstreamId &Id) {
        return m_state.m_registry.find(Id) != nullptr;
      },
      Now);
  for (const UpstreamState *Upstream : choose(Now))
    probe(*Upstream);
}

std::vector<const UpstreamState *> UpstreamProber::choose(Instant Now) {
  std::vector<const UpstreamState *> Upstreams;
  for (const auto &[Id, Upstream] : m_state.m_registry.upstreams())
    if (!Upstream.leaving() && !Upstream.paused(Now))
      Upstreams.push_back(&Upstream);
  std::shuffle(Upstreams.begin(), Upstreams.end(), m_random);
  // One of each failure domain first.
  std::set<DomainId> Seen;
  std::stable_partition(
      Upstreams.begin(), Upstreams.end(),
      [&Seen](const UpstreamState *Upstream) {
        return Seen.insert(Upstream->m_record.m_domain).second;
      });
  Upstreams.resize(std::min(Upstreams.size(), ProbesAtOnce));
  return Upstreams;
}

void UpstreamProber::probe(const UpstreamState &Upstream) {
  auto Configuration = m_state.m_routes.current();
  if (!Configuration)
    return;
  auto Service = Configuration->m_services.find(Upstream.m_record.m_service);
  if (Service == Configuration->m_services.end())
    return;
  HttpRequest Request{
      "GET",
      Service->second.m_healthPath.empty() ? "/" : Service->second.m_healthPath,
      {{"Host", "upstream"}},
      "",
      ""};
  m_connections.pool(Upstream.m_record.m_id, Upstream.m_record.m_address)
      .call(Request, "", ProbeTimeout, ChannelPool::Reuse::RecentlyUsed,
            [this, Id = Upstream.m_record.m_id](ChannelResult &&Result) {
              if (Result.responded())
                m_state.m_reachability.onResponse();
              else
                m_state.m_reachability.onFailure(Id, bootClockNow());
            });
}

} // namespace burdockpulley
