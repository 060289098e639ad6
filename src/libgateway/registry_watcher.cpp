#include "registry_watcher.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"

#include <algorithm>
#include <set>

namespace burdockpulley {

namespace {

/// Pause between the calls; with the time that a call takes it stays well
/// below the time in which a leaving upstream has to be noticed.
constexpr Duration Pace{700'000};
/// The same for hosts for which another one watches, when it falls silent.
constexpr Duration RelayedPace{1'000'000};
constexpr Duration HurriedPace{150'000};
/// Pause before the store is asked for what another host told in vain.
constexpr Duration MissedPause{30'000};
/// How long a watch waits when nothing happens.
constexpr Duration WatchTime{500'000};
/// Pause after a failed call, for each failure in a row up to a limit.
constexpr Duration RetryPause{150'000};
constexpr std::uint32_t MaxRetryPauses = 4;
constexpr Duration ReloadPause{1'000'000};

/// Keeps just the last event of each key: in a storm of changes, the others of
/// the domain need no more.
void dropSuperseded(std::vector<StoreEvent> &Events) {
  std::set<std::string> Seen;
  std::vector<StoreEvent> Kept;
  for (auto Each = Events.rbegin(); Each != Events.rend(); ++Each)
    if (Seen.insert(Each->m_entry.m_key).second)
      Kept.push_back(std::move(*Each));
  std::reverse(Kept.begin(), Kept.end());
  Events = std::move(Kept);
}

} // namespace

RegistryWatcher::RegistryWatcher(WatchableStore &Source, Listener &Target)
    : m_source(Source), m_target(Target) {}

void RegistryWatcher::tick(Instant Now) {
  if (m_calling)
    return;
  bool Hurried = Now < m_hurryUntil && m_failures == 0 && m_loaded &&
                 Now + Pace - HurriedPace >= m_nextCall;
  if (Now < m_nextCall && !Hurried)
    return;
  m_calling = true;
  if (m_reload)
    load(Now);
  else
    watch(Now);
}

void RegistryWatcher::load(Instant Now) {
  StoreQuery Everything;
  Everything.m_prefix = true;
  m_source.read(Everything, [this, Now](const StoreReply<StoreRange> &Reply) {
    onLoaded(Reply, Now);
  });
}

void RegistryWatcher::onLoaded(const StoreReply<StoreRange> &Reply,
                               Instant Began) {
  m_calling = false;
  Instant Now = bootClockNow();
  if (const auto *Why = std::get_if<StoreError>(&Reply))
    return onFailure(*Why, Now);
  const auto &Range = std::get<StoreRange>(Reply);
  onSuccess(Began, Now);
  m_reload = false;
  m_version = Range.m_version;
  auto Before = std::move(m_known);
  m_known.clear();
  for (const StoreEntry &Entry : Range.m_entries)
    m_known[Entry.m_key] = Entry.m_modified;
  for (const auto &[Key, Version] : Before)
    if (!m_known.count(Key))
      m_target.onRemoval(Key, m_version, Now);
  for (const StoreEntry &Entry : Range.m_entries) {
    auto Old = Before.find(Entry.m_key);
    if (Old == Before.end() || Old->second < Entry.m_modified)
      m_target.onEntry(Entry, Now);
  }
  logEvent(Severity::Info, "registry_loaded",
           {{"entries", Range.m_entries.size()},
            {"store_version", m_version.value()}});
  m_loaded = true;
  m_nextCall = Now + Pace;
}

void RegistryWatcher::watch(Instant Now) {
  m_source.watch("", m_version, WatchTime,
                 [this, Now](const StoreReply<StoreEvents> &Reply) {
                   onChanges(Reply, Now);
                 });
}

void RegistryWatcher::onChanges(const StoreReply<StoreEvents> &Reply,
                                Instant Began) {
  m_calling = false;
  Instant Now = bootClockNow();
  if (const auto *Why = std::get_if<StoreError>(&Reply)) {
    if (*Why != StoreError::Compacted)
      return onFailure(*Why, Now);
    logEvent(Severity::Warning, "registry_history_lost",
             {{"store_version", m_version.value()}});
    m_reload = true;
    m_nextCall = Now;
    return;
  }
  const auto &Changes = std::get<StoreEvents>(Reply);
  onSuccess(Began, Now);
  m_nextCall = Now + (m_watches ? Pace : RelayedPace);
  if (Changes.m_events.empty() && Changes.m_version > m_version) {
    // Something changed, and the watch does not say what.
    logEvent(Severity::Warning, "registry_watch_silent",
             {{"store_version", m_version.value()},
              {"reported_version", Changes.m_version.value()}});
    m_reload = true;
    m_nextCall = Now;
  }
  StoreVersion After = m_version;
  StoreEvents Passed;
  Passed.m_version = Changes.m_version;
  std::vector<std::string> Renewed;
  for (const StoreEvent &Event : Changes.m_events) {
    EntryEffect News = apply(Event, Now);
    if (News == EntryEffect::Change)
      Passed.m_events.push_back(Event);
    else if (News == EntryEffect::Renewal)
      Renewed.push_back(Event.m_entry.m_key);
  }
  m_version = std::max(m_version, Changes.m_version);
  dropSuperseded(Passed.m_events);
  if (m_onWatched)
    m_onWatched(After, Passed, Renewed);
}

void RegistryWatcher::onRelayed(StoreVersion After, const StoreEvents &Changes,
                                Instant Now) {
  if (!m_loaded || m_reload)
    return;
  if (After > m_version) {
    m_nextCall = std::min(m_nextCall, Now + MissedPause);
    return;
  }
  if (!m_inReach) {
    // The store answers the other host, and removals may be of its outage.
    m_inReach = true;
    m_target.onStoreRegained(Now);
  }
  for (const StoreEvent &Event : Changes.m_events)
    apply(Event, Now);
  m_version = std::max(m_version, Changes.m_version);
  if (!m_watches)
    m_nextCall = std::max(m_nextCall, Now + RelayedPace);
}

RegistryWatcher::EntryEffect RegistryWatcher::apply(const StoreEvent &Event,
                                                    Instant Now) {
  const StoreEntry &Entry = Event.m_entry;
  if (Event.m_removed) {
    auto Known = m_known.find(Entry.m_key);
    if (Known == m_known.end() || Entry.m_modified < Known->second)
      return EntryEffect::None;
    m_known.erase(Known);
    m_target.onRemoval(Entry.m_key, Entry.m_modified, Now);
    return EntryEffect::Change;
  }
  StoreVersion &Known = m_known[Entry.m_key];
  if (Entry.m_modified <= Known)
    return EntryEffect::None;
  Known = Entry.m_modified;
  return m_target.onEntry(Entry, Now);
}

void RegistryWatcher::onSuccess(Instant Began, Instant Now) {
  m_failures = 0;
  m_lastContact = Began;
  if (m_inReach)
    return;
  m_inReach = true;
  m_target.onStoreRegained(Now);
}

void RegistryWatcher::onFailure(StoreError Why, Instant Now) {
  m_failures = std::min(m_failures + 1, MaxRetryPauses);
  m_nextCall = Now + (m_loaded ? RetryPause * m_failures : RetryPause);
  if (m_reload && m_loaded)
    m_nextCall = std::max(m_nextCall, Now + ReloadPause / MaxRetryPauses);
  if (!m_inReach)
    return;
  m_inReach = false;
  m_target.onStoreLost(Why, Now);
}

} // namespace burdockpulley
