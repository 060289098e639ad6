#include "burdockpulley/crash_suspects.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A crash shows within this time after its connections broke.
constexpr Duration LinkTime{3'000'000};
/// Crashes after which a request is refused.
constexpr std::uint32_t BlockAfter = 3;
constexpr Duration SuspectLifetime{60'000'000};

} // namespace

void CrashSuspects::onInterrupted(Fingerprint Request, const UpstreamId &Where,
                                  Instant Now) {
  m_recent.push_back({Request, Where, Now});
}

std::vector<Fingerprint> CrashSuspects::onUpstreamDown(const UpstreamId &Where,
                                                       Instant Now) {
  std::vector<Fingerprint> Found;
  for (const Interruption &Each : m_recent)
    if (Each.m_where == Where && Now - Each.m_at <= LinkTime)
      Found.push_back(Each.m_request);
  std::erase_if(m_recent, [&](const Interruption &Each) {
    return Each.m_where == Where;
  });
  for (Fingerprint Each : Found)
    onSuspicion(Each, Where, Now);
  return Found;
}

void CrashSuspects::onSuspicion(Fingerprint Request, const UpstreamId &,
                                Instant Now) {
  Suspect &Which = m_suspects[Request];
  ++Which.m_crashes;
  Which.m_last = Now;
}

bool CrashSuspects::blocked(Fingerprint Request, Instant Now) const {
  auto Found = m_suspects.find(Request);
  return Found != m_suspects.end() && Found->second.m_crashes >= BlockAfter &&
         Now - Found->second.m_last <= SuspectLifetime;
}

void CrashSuspects::sweep(Instant Now) {
  std::erase_if(m_recent, [Now](const Interruption &Each) {
    return Now - Each.m_at > LinkTime;
  });
  std::erase_if(m_suspects, [Now](const auto &Each) {
    return Now - Each.second.m_last > SuspectLifetime;
  });
}

} // namespace burdockpulley
