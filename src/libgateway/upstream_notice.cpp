#include "upstream_notice.h"

#include "burdockpulley/event_log.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A longer pause is taken for a mistake and cut to this. Upstreams ask for
/// seconds.
constexpr Duration MaxPause{600'000'000};

void onLeaving(UpstreamState &Upstream, const HostId &Host, bool IsLocal,
               const std::string &RequestId, Instant Now) {
  if (Upstream.m_saidLeaving) {
    Upstream.m_leavingIsLocal |= IsLocal;
    return;
  }
  if (!Upstream.leaving())
    Upstream.m_leftAt = Now;
  Upstream.m_saidLeaving = true;
  Upstream.m_leavingIsLocal = IsLocal;
  logEvent(Severity::Info, "upstream_says_leaving",
           {{"upstream", Upstream.m_record.m_id.value()},
            {"birth", Upstream.m_record.m_incarnation.value()},
            {"received_by", IsLocal ? "this-host" : Host.value()},
            {"request", RequestId},
            {"record_draining", Upstream.m_record.m_draining}});
}

void onPause(UpstreamState &Upstream, Duration Asked,
             const std::string &RequestId, Instant Now) {
  Duration Pause = std::min(Asked, MaxPause);
  bool Paused = Upstream.paused(Now);
  Upstream.m_pausedUntil = std::max(Upstream.m_pausedUntil, Now + Pause);
  if (Paused)
    return;
  logEvent(Severity::Info, "upstream_paused",
           {{"upstream", Upstream.m_record.m_id.value()},
            {"asked_ms", Asked.count() / 1000},
            {"pause_ms", Pause.count() / 1000},
            {"request", RequestId}});
}

} // namespace

void applyNotice(UpstreamState &Upstream, const UpstreamNotice &Notice,
                 const std::string &RequestId, Instant Now) {
  if (Notice.m_leaving)
    onLeaving(Upstream, {}, true, RequestId, Now);
  if (Notice.m_pause > Duration())
    onPause(Upstream, Notice.m_pause, RequestId, Now);
  if (Notice.m_pauseUnreadable)
    logEvent(
        Severity::Warning, "upstream_pause_unreadable",
        {{"upstream", Upstream.m_record.m_id.value()}, {"request", RequestId}});
}

void applyLeavingOfPeer(UpstreamState &Upstream, const HostId &Host,
                        Instant Now) {
  onLeaving(Upstream, Host, false, "", Now);
}

bool announcesLeaving(const UpstreamState &Upstream) {
  return Upstream.m_saidLeaving && Upstream.m_leavingIsLocal &&
         Upstream.m_registered && !Upstream.m_record.m_draining;
}

} // namespace burdockpulley
