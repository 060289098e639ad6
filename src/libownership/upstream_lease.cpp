#include "burdockpulley/grants.h"

namespace burdockpulley {

namespace {

/// An upstream is silent after this many requests without a response, and this
/// time since its last response.
constexpr std::uint32_t SilentRequests = 3;
constexpr Duration SilentTime{700'000};
/// Longest time that a request can be in transit to an upstream that does not
/// check its grants, and so would apply the request however late it arrives.
constexpr Duration MaxUncheckedTransitTime{2'000'000};

} // namespace

GrantRequest UpstreamLease::prepare(const std::string &Keeper, GrantList Wanted,
                                    Instant Now) {
  if (silent(Now))
    Wanted.clear();
  for (const auto &[Partition, Token] : m_grants)
    if (!Wanted.count(Partition))
      revoke(Partition, m_lastGrant);
  for (const auto &[Partition, Token] : Wanted)
    m_revoked.erase(Partition);
  ++m_sequence;
  bool Full = !m_listAccepted || Wanted != m_grants;
  if (Full)
    m_listVersion = m_sequence;
  m_listAccepted = m_listAccepted && !Full;
  m_grants = std::move(Wanted);
  // An upstream that checks its grants counts the lease from the stamp of its
  // last response, which was taken before the response arrived here.
  std::optional<Instant> LeaseStart = m_checksGrants ? m_respondedAt : Now;
  if (LeaseStart)
    m_lastGrant = {m_sequence, *LeaseStart + m_lease + driftMargin(m_lease)};
  if (!m_firstSent)
    m_firstSent = Now;
  return {Keeper,  m_epoch,       m_sequence, m_stamp,
          m_lease, m_listVersion, Full,       Full ? m_grants : GrantList()};
}

void UpstreamLease::revoke(PartitionIndex Partition, const LastGrant &Last) {
  m_revoked[Partition] = Last;
}

void UpstreamLease::onResponse(std::uint64_t Sequence,
                               const GrantResponse &Response, Instant Now) {
  m_failures = 0;
  m_respondedAt = Now;
  m_stamp = Response.m_stamp;
  m_listAccepted = Response.m_refusal == GrantRefusal::None;
  if (!m_listAccepted || !m_checksGrants)
    return;
  // The upstream has applied a request that does not grant these partitions.
  std::erase_if(m_revoked, [&](const auto &Entry) {
    return Entry.second.m_sequence < Sequence;
  });
  for (PartitionIndex Partition : Response.m_busy)
    if (!m_grants.count(Partition))
      revoke(Partition, {Sequence, Now + m_lease + driftMargin(m_lease)});
}

bool UpstreamLease::silent(Instant Now) const {
  if (m_failures < SilentRequests)
    return false;
  Instant SilentSince = m_respondedAt ? *m_respondedAt : *m_firstSent;
  return Now - SilentSince >= SilentTime;
}

bool UpstreamLease::maySend(Instant Now) const {
  return m_checksGrants || (m_earlierGrantsEnd && Now >= *m_earlierGrantsEnd);
}

bool UpstreamLease::grants(PartitionIndex Partition, FencingToken Token) const {
  auto It = m_grants.find(Partition);
  return It != m_grants.end() && It->second == Token;
}

bool UpstreamLease::grantEnded(PartitionIndex Partition, Instant Now) const {
  if (!m_earlierGrantsEnd || Now < *m_earlierGrantsEnd ||
      m_grants.count(Partition))
    return false;
  auto It = m_revoked.find(Partition);
  if (It == m_revoked.end() || m_disabledRule == Mutation::ReleaseWithoutWait)
    return true;
  Duration TransitTime = m_checksGrants ? Duration() : MaxUncheckedTransitTime;
  return Now >= It->second.m_end + TransitTime;
}

} // namespace burdockpulley
