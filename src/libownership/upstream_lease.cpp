#include "burdockpulley/grants.h"

namespace burdockpulley {

namespace {

/// Orders without an answer, and the time, after which an upstream is silent.
constexpr std::uint32_t SilentOrders = 3;
constexpr Duration SilentTime{700'000};
/// How long an order can be on its way to an upstream that does not check it.
constexpr Duration UncheckedOrderLife{2'000'000};

} // namespace

GrantRequest UpstreamLease::prepare(const std::string &Keeper, GrantList Wanted,
                                    Instant Now) {
  if (silent(Now))
    Wanted.clear();
  for (const auto &[Partition, Token] : m_list)
    if (!Wanted.count(Partition))
      drop(Partition, m_lastGrant);
  for (const auto &[Partition, Token] : Wanted)
    m_dropped.erase(Partition);
  ++m_sequence;
  bool Full = !m_listTaken || Wanted != m_list;
  if (Full)
    m_listVersion = m_sequence;
  m_listTaken = m_listTaken && !Full;
  m_list = std::move(Wanted);
  // Only the answer's stamp bounds a lease that an upstream checks.
  std::optional<Instant> From = m_checks ? m_answered : Now;
  if (From)
    m_lastGrant = {m_sequence, *From + m_lease + driftMargin(m_lease)};
  if (!m_firstSent)
    m_firstSent = Now;
  return {Keeper,  m_epoch,       m_sequence, m_stamp,
          m_lease, m_listVersion, Full,       Full ? m_list : GrantList()};
}

void UpstreamLease::drop(PartitionIndex Partition, const Dropped &Last) {
  m_dropped[Partition] = Last;
}

void UpstreamLease::onAnswer(std::uint64_t Sequence,
                             const GrantResponse &Answer, Instant Now) {
  m_failures = 0;
  m_answered = Now;
  m_stamp = Answer.m_stamp;
  m_listTaken = Answer.m_refusal == GrantRefusal::None;
  if (!m_listTaken || !m_checks)
    return;
  std::erase_if(m_dropped, [&](const auto &Entry) {
    return Entry.second.m_sequence < Sequence;
  });
  for (PartitionIndex Partition : Answer.m_busy)
    if (!m_list.count(Partition))
      drop(Partition, {Sequence, Now + m_lease + driftMargin(m_lease)});
}

bool UpstreamLease::silent(Instant Now) const {
  if (m_failures < SilentOrders)
    return false;
  Instant Heard = m_answered ? *m_answered : *m_firstSent;
  return Now - Heard >= SilentTime;
}

bool UpstreamLease::maySend(Instant Now) const {
  return m_checks || (m_earlierOver && Now >= *m_earlierOver);
}

bool UpstreamLease::grants(PartitionIndex Partition, FencingToken Token) const {
  auto Found = m_list.find(Partition);
  return Found != m_list.end() && Found->second == Token;
}

bool UpstreamLease::over(PartitionIndex Partition, Instant Now) const {
  if (!m_earlierOver || Now < *m_earlierOver || m_list.count(Partition))
    return false;
  auto Found = m_dropped.find(Partition);
  if (Found == m_dropped.end() || m_rules == Mutation::ReleaseWithoutWait)
    return true;
  Duration OnItsWay = m_checks ? Duration() : UncheckedOrderLife;
  return Now >= Found->second.m_end + OnItsWay;
}

} // namespace burdockpulley
