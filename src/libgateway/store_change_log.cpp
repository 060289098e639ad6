#include "store_change_log.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A fleet of upstreams that is replaced once needs two entries for each.
constexpr std::size_t MaxEntries = 5000;

bool isOlder(const StoreEvent &Left, const StoreEvent &Right) {
  return Left.m_entry.m_modified < Right.m_entry.m_modified;
}

} // namespace

void StoreChangeLog::reset(StoreVersion Version) {
  m_lastChanges.clear();
  m_completeAfter = Version;
}

void StoreChangeLog::add(const StoreEvent &Event) {
  m_lastChanges[Event.m_entry.m_key] = Event;
  if (m_lastChanges.size() <= MaxEntries)
    return;
  auto Oldest = std::min_element(m_lastChanges.begin(), m_lastChanges.end(),
                                 [](const auto &Left, const auto &Right) {
                                   return isOlder(Left.second, Right.second);
                                 });
  m_completeAfter =
      std::max(m_completeAfter, Oldest->second.m_entry.m_modified);
  m_lastChanges.erase(Oldest);
}

std::optional<std::vector<StoreEvent>>
StoreChangeLog::changesAfter(StoreVersion Version) const {
  if (Version < m_completeAfter)
    return std::nullopt;
  return keptChangesAfter(Version);
}

std::vector<StoreEvent>
StoreChangeLog::keptChangesAfter(StoreVersion Version) const {
  std::vector<StoreEvent> Changes;
  for (const auto &[Key, Event] : m_lastChanges)
    if (Event.m_entry.m_modified > Version)
      Changes.push_back(Event);
  std::stable_sort(Changes.begin(), Changes.end(), isOlder);
  return Changes;
}

} // namespace burdockpulley
