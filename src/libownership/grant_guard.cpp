#include "burdockpulley/grants.h"

namespace burdockpulley {

GrantRefusal GrantGuard::apply(const GrantRequest &Request, Duration Clock) {
  bool ChecksOrder = m_disabledRule != Mutation::IgnoreSequence;
  if (ChecksOrder && Request.m_epoch < m_epoch)
    return GrantRefusal::OldEpoch;
  if (Request.m_stamp.m_boot != m_boot)
    return GrantRefusal::OtherBoot;
  bool SameEpoch = Request.m_epoch == m_epoch;
  if (ChecksOrder && SameEpoch && Request.m_sequence <= m_sequence)
    return GrantRefusal::OldSequence;
  if (!SameEpoch)
    m_listVersion = 0;
  m_epoch = Request.m_epoch;
  m_sequence = Request.m_sequence;
  if (!Request.m_full && Request.m_listVersion != m_listVersion)
    return GrantRefusal::NoList;
  if (Request.m_full)
    m_grants = Request.m_grants;
  m_listVersion = Request.m_listVersion;
  bool LeaseFromReceipt = m_disabledRule == Mutation::LeaseFromReceipt;
  m_leaseEnd =
      (LeaseFromReceipt ? Clock : Request.m_stamp.m_clock) + Request.m_lease;
  return GrantRefusal::None;
}

bool GrantGuard::owns(PartitionIndex Partition, FencingToken Token,
                      Duration Clock) const {
  if (Clock >= m_leaseEnd)
    return false;
  auto It = m_grants.find(Partition);
  return It != m_grants.end() && It->second == Token;
}

GrantList GrantGuard::owned(Duration Clock) const {
  return Clock < m_leaseEnd ? m_grants : GrantList();
}

} // namespace burdockpulley
