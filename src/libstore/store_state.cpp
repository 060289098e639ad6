#include "burdockpulley/store_state.h"

#include <algorithm>

namespace burdockpulley {

StoreRange StoreState::read(const StoreQuery &Query) const {
  StoreRange Range;
  Range.m_version = m_version;
  for (auto At = m_values.lower_bound(Query.m_key); At != m_values.end();
       ++At) {
    const auto &[Key, Entry] = *At;
    bool Matches =
        Query.m_prefix ? Key.starts_with(Query.m_key) : Key == Query.m_key;
    if (!Matches)
      break;
    if (Entry.m_modified >= Query.m_modifiedSince)
      Range.m_entries.push_back({Key, Entry.m_text, Entry.m_modified});
  }
  return Range;
}

StoreCommit StoreState::commit(const StoreTransaction &Change) {
  bool Holds =
      std::all_of(Change.m_conditions.begin(), Change.m_conditions.end(),
                  [this](const StoreCondition &Condition) {
                    auto Found = m_values.find(Condition.m_key);
                    StoreVersion Modified = Found == m_values.end()
                                                ? StoreVersion()
                                                : Found->second.m_modified;
                    return Modified == Condition.m_modified;
                  });
  if (!Holds)
    return {false, m_version};
  m_version = StoreVersion(m_version.value() + 1);
  for (const StoreWrite &Write : Change.m_writes) {
    if (Write.m_delete)
      m_values.erase(Write.m_key);
    else
      m_values[Write.m_key] = {Write.m_value, m_version, Write.m_lease};
  }
  return {true, m_version};
}

StoreLease StoreState::grantLease(Duration TimeToLive, Instant Now) {
  StoreLease Lease(++m_lastLease);
  m_leases[Lease] = {TimeToLive, Now + TimeToLive};
  return Lease;
}

bool StoreState::keepAlive(StoreLease Lease, Instant Now) {
  expire(Now);
  auto Found = m_leases.find(Lease);
  if (Found == m_leases.end())
    return false;
  Found->second.m_end = Now + Found->second.m_timeToLive;
  return true;
}

void StoreState::endLease(StoreLease Lease, Instant Now) {
  auto Found = m_leases.find(Lease);
  if (Found != m_leases.end())
    Found->second.m_end = Now;
}

void StoreState::endAllLeases() {
  m_leases.clear();
  for (auto &[Key, Value] : m_values)
    Value.m_lease = StoreLease();
}

void StoreState::expire(Instant Now) {
  for (auto Lease = m_leases.begin(); Lease != m_leases.end();) {
    if (Lease->second.m_end > Now) {
      ++Lease;
      continue;
    }
    std::size_t Deleted = std::erase_if(m_values, [&](const auto &Entry) {
      return Entry.second.m_lease == Lease->first;
    });
    if (Deleted)
      m_version = StoreVersion(m_version.value() + 1);
    Lease = m_leases.erase(Lease);
  }
}

} // namespace burdockpulley
