#include "burdockpulley/grants.h"

namespace burdockpulley {

GrantRefusal GrantGuard::apply(const GrantRequest &Order, Duration Clock) {
  bool Ordered = m_rules != Mutation::IgnoreSequence;
  if (Ordered && Order.m_epoch < m_epoch)
    return GrantRefusal::OldEpoch;
  if (Order.m_stamp.m_boot != m_boot)
    return GrantRefusal::OtherBoot;
  bool SameEpoch = Order.m_epoch == m_epoch;
  if (Ordered && SameEpoch && Order.m_sequence <= m_sequence)
    return GrantRefusal::OldSequence;
  if (!SameEpoch)
    m_listVersion = 0;
  m_epoch = Order.m_epoch;
  m_sequence = Order.m_sequence;
  if (!Order.m_full && Order.m_listVersion != m_listVersion)
    return GrantRefusal::NoList;
  if (Order.m_full)
    m_list = Order.m_grants;
  m_listVersion = Order.m_listVersion;
  bool Late = m_rules == Mutation::LeaseFromReceipt;
  m_end = (Late ? Clock : Order.m_stamp.m_clock) + Order.m_lease;
  return GrantRefusal::None;
}

bool GrantGuard::owns(PartitionIndex Partition, FencingToken Token,
                      Duration Clock) const {
  if (Clock >= m_end)
    return false;
  auto Found = m_list.find(Partition);
  return Found != m_list.end() && Found->second == Token;
}

GrantList GrantGuard::owned(Duration Clock) const {
  return Clock < m_end ? m_list : GrantList();
}

} // namespace burdockpulley
