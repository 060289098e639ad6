#include "stop_driver.h"

#include "burdockpulley/event_log.h"
#include "peer_types.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr Duration TickInterval{100'000};
/// Time for the platform's balancer to see that the host is not ready.
constexpr Duration NoticeTime{2'000'000};
/// Time for other hosts to take over what is kept here.
constexpr Duration HandOverTime{6'000'000};
constexpr Duration StopLimit{30'000'000};
/// Time without work before the process ends: hosts that do not know of the
/// hand-over yet may have sent requests, and responses may not be sent yet.
constexpr Duration SettleTime{500'000};

} // namespace

StopDriver::StopDriver(event_base *Base, HostState &State, PeerNetwork &Peers,
                       Hooks Calls)
    : m_base(Base), m_state(State), m_peers(Peers), m_hooks(std::move(Calls)) {}

void StopDriver::stop(Instant Now) {
  if (stopping())
    return finish();
  m_began = Now;
  logEvent(Severity::Info, "stopping", {{"inFlight", m_hooks.m_inFlight()}});
  m_state.m_leavingHosts.insert(m_state.m_settings.m_host);
  announce();
  m_hooks.m_hostsChanged();
  m_timer = std::make_unique<RepeatingTimer>(
      m_base, TickInterval, [this](Instant Later) { tick(Later); });
}

void StopDriver::announce() {
  wire::Message Message;
  Message.__set_leaving({});
  for (const FailureDomain &Domain : m_state.declared().m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts)
      if (Host.m_name != m_state.m_settings.m_host)
        m_peers.send(Host.m_name, Message);
}

void StopDriver::onLeaving(const HostId &Peer) {
  if (m_state.m_leavingHosts.insert(Peer).second)
    m_hooks.m_hostsChanged();
}

void StopDriver::onPeerLost(const HostId &Peer) {
  if (m_state.m_leavingHosts.erase(Peer) != 0)
    m_hooks.m_hostsChanged();
}

bool StopDriver::keepsAny() const {
  const HostId &Self = m_state.m_settings.m_host;
  const auto &Upstreams = m_state.declared().m_upstreams;
  return std::any_of(
      Upstreams.begin(), Upstreams.end(),
      [&](const Upstream &Which) { return m_state.keeperOf(Which) == Self; });
}

void StopDriver::tick(Instant Now) {
  Duration Spent = Now - m_began;
  // Again and again, for peers whose connection was not open at first.
  announce();
  if (Spent >= StopLimit)
    return finish();
  if (Spent < NoticeTime)
    return;
  if (!m_listeningStopped) {
    m_listeningStopped = true;
    m_hooks.m_stopListening();
    // Requests of the connections accepted last are in flight by the next tick.
    return;
  }
  bool HandedOver = !keepsAny() || Spent >= HandOverTime;
  if (!HandedOver || m_hooks.m_inFlight() != 0) {
    m_idleSince.reset();
    return;
  }
  if (!m_idleSince)
    m_idleSince = Now;
  if (Now - *m_idleSince >= SettleTime)
    finish();
}

void StopDriver::finish() {
  if (m_finished)
    return;
  m_finished = true;
  logEvent(Severity::Info, "stopped", {{"cut", m_hooks.m_inFlight()}});
  m_hooks.m_finished();
}

} // namespace burdockpulley
