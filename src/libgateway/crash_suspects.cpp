#include "burdockpulley/crash_suspects.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A crash of an upstream is detected within this time after its connections
/// broke.
constexpr Duration MaxCrashDelay{3'000'000};
/// Number of crashes after which a request is refused.
constexpr std::uint32_t CrashesToBlock = 3;
constexpr Duration SuspectLifetime{60'000'000};

} // namespace

void CrashSuspects::onInterrupted(Fingerprint Request,
                                  const UpstreamId &Upstream, Instant Now) {
  m_interruptions.push_back({Request, Upstream, Now});
}

std::vector<Fingerprint>
CrashSuspects::onUpstreamDown(const UpstreamId &Upstream, Instant Now) {
  std::vector<Fingerprint> Suspected;
  for (const Interruption &Interrupted : m_interruptions)
    if (Interrupted.m_upstream == Upstream &&
        Now - Interrupted.m_interruptedAt <= MaxCrashDelay)
      Suspected.push_back(Interrupted.m_request);
  forgetInterruptions(Upstream);
  for (Fingerprint Request : Suspected)
    onSuspicion(Request, Upstream, Now);
  return Suspected;
}

void CrashSuspects::forgetInterruptions(const UpstreamId &Upstream) {
  std::erase_if(m_interruptions, [&](const Interruption &Interrupted) {
    return Interrupted.m_upstream == Upstream;
  });
}

void CrashSuspects::onSuspicion(Fingerprint Request, const UpstreamId &,
                                Instant Now) {
  Suspect &Entry = m_suspects[Request];
  ++Entry.m_crashes;
  Entry.m_lastCrashAt = Now;
}

bool CrashSuspects::blocked(Fingerprint Request, Instant Now) const {
  auto It = m_suspects.find(Request);
  return It != m_suspects.end() && It->second.m_crashes >= CrashesToBlock &&
         Now - It->second.m_lastCrashAt <= SuspectLifetime;
}

void CrashSuspects::sweep(Instant Now) {
  std::erase_if(m_interruptions, [Now](const Interruption &Interrupted) {
    return Now - Interrupted.m_interruptedAt > MaxCrashDelay;
  });
  std::erase_if(m_suspects, [Now](const auto &Entry) {
    return Now - Entry.second.m_lastCrashAt > SuspectLifetime;
  });
}

} // namespace burdockpulley
