#include "burdockpulley/upstream_reachability.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Upstreams that must have failed, or all registered ones if they are fewer.
constexpr std::size_t MinFailed = 3;
/// Failure domains to which these must belong, or all if they are fewer.
constexpr std::size_t MinFailedDomains = 2;
/// With fewer upstreams than this, the loss of the paths cannot be told from
/// the loss of an upstream.
constexpr std::size_t MinRegistered = 2;
/// Time without any response after which a request is taken for a sign of lost
/// paths. Most requests take less, and callers wait for longer.
constexpr Duration SilenceTime{500'000};
/// The same after a failure. Usually another upstream responds within it.
constexpr Duration FailureTime{50'000};

} // namespace

void UpstreamReachability::onSent(Instant Now) {
  if (!m_firstSent)
    m_firstSent = Now;
}

void UpstreamReachability::onFailure(const UpstreamId &Upstream, Instant Now) {
  m_failed.insert(Upstream);
  if (!m_firstFailure)
    m_firstFailure = Now;
}

void UpstreamReachability::onResponse() {
  m_failed.clear();
  m_firstSent.reset();
  m_firstFailure.reset();
}

bool UpstreamReachability::lost(const UpstreamRegistry &Registry) const {
  if (m_failed.size() < MinRegistered)
    return false;
  std::size_t Registered = 0;
  std::size_t Failed = 0;
  std::set<DomainId> RegisteredDomains;
  std::set<DomainId> FailedDomains;
  for (const auto &[Id, Upstream] : Registry.upstreams()) {
    if (Upstream.leaving())
      continue;
    ++Registered;
    RegisteredDomains.insert(Upstream.m_record.m_domain);
    if (!m_failed.count(Id))
      continue;
    ++Failed;
    FailedDomains.insert(Upstream.m_record.m_domain);
  }
  return Registered >= MinRegistered &&
         Failed >= std::min(MinFailed, Registered) &&
         FailedDomains.size() >=
             std::min(MinFailedDomains, RegisteredDomains.size());
}

bool UpstreamReachability::wantsProbes(Instant Now) const {
  return (m_firstSent && Now - *m_firstSent > SilenceTime) ||
         (m_firstFailure && Now - *m_firstFailure > FailureTime);
}

} // namespace burdockpulley
