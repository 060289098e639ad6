#include "store_change_log.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A fleet of upstreams that is replaced once needs two entries for each.
constexpr std::size_t MaxEntries = 5000;
/// Values of at least this size are kept after a change. A watch may report two
/// changes of a key at once.
constexpr std::size_t LargeValueBytes = 4'000;
constexpr std::size_t MaxEarlierEntries = 2;

bool isOlder(const StoreEvent &Left, const StoreEvent &Right) {
  return Left.m_entry.m_modified < Right.m_entry.m_modified;
}

} // namespace

void StoreChangeLog::reset(StoreVersion Version) {
  m_lastChanges.clear();
  m_earlierEntries.clear();
  m_completeAfter = Version;
}

void StoreChangeLog::keepEarlier(StoreEvent &&Replaced) {
  if (Replaced.m_removed || Replaced.m_entry.m_value.size() < LargeValueBytes)
    return;
  auto &Entries = m_earlierEntries[Replaced.m_entry.m_key];
  Entries.push_back(std::move(Replaced.m_entry));
  if (Entries.size() > MaxEarlierEntries)
    Entries.pop_front();
}

void StoreChangeLog::add(const StoreEvent &Event) {
  auto [Last, IsFirst] = m_lastChanges.try_emplace(Event.m_entry.m_key);
  if (!IsFirst)
    keepEarlier(std::move(Last->second));
  Last->second = Event;
  if (Event.m_removed)
    m_earlierEntries.erase(Event.m_entry.m_key);
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

const StoreEntry *StoreChangeLog::entryAsOf(const std::string &Key,
                                            StoreVersion Version) const {
  auto Last = m_lastChanges.find(Key);
  if (Last == m_lastChanges.end())
    return nullptr;
  if (Last->second.m_entry.m_modified <= Version)
    return Last->second.m_removed ? nullptr : &Last->second.m_entry;
  auto Earlier = m_earlierEntries.find(Key);
  if (Earlier == m_earlierEntries.end())
    return nullptr;
  const auto &Entries = Earlier->second;
  auto Found = std::find_if(
      Entries.rbegin(), Entries.rend(),
      [&](const StoreEntry &Entry) { return Entry.m_modified <= Version; });
  return Found == Entries.rend() ? nullptr : &*Found;
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
