#include "burdockpulley/key_owners.h"

#include <tuple>

namespace burdockpulley {

bool KeyOwners::apply(const KeyTable &Table, std::uint32_t Step) {
  auto [Found, New] = m_tables.try_emplace(Table.m_service);
  Known &Old = Found->second;
  if (!New && std::tie(Table.m_version, Step) <=
                  std::tie(Old.m_table.m_version, Old.m_step))
    return false;
  Old = {Table, Step};
  return true;
}

UpstreamId KeyOwners::owner(const ServiceId &Service, ShardKey Key) const {
  auto Found = m_tables.find(Service);
  if (Found == m_tables.end())
    return {};
  const KeyRange *Range = Found->second.m_table.find(Key);
  return Range ? Range->m_owner : UpstreamId();
}

} // namespace burdockpulley
