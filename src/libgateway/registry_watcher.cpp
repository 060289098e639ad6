#include "registry_watcher.h"

#include "burdockpulley/event_log.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <set>
#include <utility>

namespace burdockpulley {

namespace {

/// Pause between calls. Together with the time of a call it stays well below
/// the time within which a leaving upstream has to be noticed.
constexpr Duration WatchInterval{700'000};
/// Silence of the host that watches for the failure domain after which the
/// other hosts call the store themselves.
constexpr Duration ForwardedWatchInterval{1'000'000};
/// Pause between calls while a change is expected.
constexpr Duration ShortWatchInterval{150'000};
/// Delay before the store is watched again after forwarded changes left a gap,
/// so that the host that forwarded them can send the missing ones.
constexpr Duration GapDelay{200'000};
/// A host whose calls fail calls the store again after this time while it
/// receives forwarded changes.
constexpr Duration ProbeInterval{2'000'000};
/// Delay after a failed call, multiplied by the number of consecutive failures
/// up to a limit.
constexpr Duration RetryDelay{150'000};
constexpr std::uint32_t MaxRetryFactor = 4;
/// A failed reload is retried no sooner than after this time divided by
/// MaxRetryFactor.
constexpr Duration ReloadRetryDelay{1'000'000};

/// A host that has had no news for this time reads the present entries.
/// Upstreams renew their records every 1.5 s, so a watch would then return more
/// than that even if nothing has changed.
constexpr Duration MaxWatchedTime{3'000'000};

bool startsWithAny(const std::string &Key,
                   const std::vector<std::string> &Prefixes) {
  return std::any_of(
      Prefixes.begin(), Prefixes.end(),
      [&](const std::string &Prefix) { return Key.starts_with(Prefix); });
}

bool isOlder(const StoreEvent &Left, const StoreEvent &Right) {
  return Left.m_entry.m_modified < Right.m_entry.m_modified;
}

/// Keeps only the last event of each key, which is all that the other hosts of
/// the failure domain need; this bounds the messages when many changes come at
/// once.
void dropSuperseded(std::vector<StoreEvent> &Events) {
  std::set<std::string> Seen;
  std::vector<StoreEvent> Kept;
  for (auto EventIt = Events.rbegin(); EventIt != Events.rend(); ++EventIt)
    if (Seen.insert(EventIt->m_entry.m_key).second)
      Kept.push_back(std::move(*EventIt));
  std::reverse(Kept.begin(), Kept.end());
  Events = std::move(Kept);
}

} // namespace

RegistryWatcher::RegistryWatcher(WatchableStore &Store, Listener &Observer,
                                 std::vector<std::string> Prefixes,
                                 Clock ReplyClock)
    : m_store(Store), m_listener(Observer), m_prefixes(std::move(Prefixes)),
      m_clock(std::move(ReplyClock)) {}

void RegistryWatcher::tick(Instant Now) {
  if (m_callInFlight)
    return;
  if (Now < m_nextCall) {
    bool Informed = !m_watchesForDomain && informed(Now);
    if (Now < m_expectedUntil && Now >= m_nextExpectedWatch && m_loaded &&
        m_failures == 0 && !Informed)
      watchExpectedKey();
    return;
  }
  m_callInFlight = true;
  if (m_reloadNeeded)
    load({""}, Now);
  else if (outdated(Now))
    load(m_prefixes, Now);
  else
    watch(Now);
}

bool RegistryWatcher::outdated(Instant Now) const {
  auto News = lastNews();
  return News && Now - *News > MaxWatchedTime;
}

struct RegistryWatcher::LoadRound {
  Instant m_began;
  std::vector<std::string> m_prefixes;
  std::size_t m_pending = 0; ///< Reads without a reply.
  StoreRange m_range;
  std::optional<StoreError> m_error; ///< The first one.
};

void RegistryWatcher::load(const std::vector<std::string> &Prefixes,
                           Instant Now) {
  auto Round = std::make_shared<LoadRound>();
  Round->m_began = Now;
  Round->m_prefixes = Prefixes;
  Round->m_pending = Prefixes.size();
  Round->m_range.m_version =
      StoreVersion(std::numeric_limits<std::int64_t>::max());
  for (const std::string &Prefix : Prefixes) {
    StoreQuery Query;
    Query.m_key = Prefix;
    Query.m_prefix = true;
    m_store.read(Query, [this, Round](const StoreReply<StoreRange> &Reply) {
      onLoadReply(*Round, Reply);
    });
  }
}

void RegistryWatcher::onLoadReply(LoadRound &Round,
                                  const StoreReply<StoreRange> &Reply) {
  --Round.m_pending;
  if (const auto *Error = std::get_if<StoreError>(&Reply)) {
    if (!Round.m_error)
      Round.m_error = *Error;
  } else {
    const auto &Read = std::get<StoreRange>(Reply);
    StoreRange &All = Round.m_range;
    All.m_entries.insert(All.m_entries.end(), Read.m_entries.begin(),
                         Read.m_entries.end());
    // Later changes are returned by the next watch.
    All.m_version = std::min(All.m_version, Read.m_version);
  }
  if (Round.m_pending == 0)
    onLoadEnded(Round);
}

void RegistryWatcher::onLoadEnded(const LoadRound &Round) {
  m_callInFlight = false;
  Instant Now = m_clock();
  if (Round.m_error)
    return onFailure(*Round.m_error, Now);
  onSuccess(Round.m_began, Now);
  m_nextCall = Now + WatchInterval;
  bool CatchesUp = !m_reloadNeeded;
  // Forwarded changes may have arrived meanwhile.
  if (CatchesUp && Round.m_range.m_version < m_version)
    return;
  m_reloadNeeded = false;
  StoreVersion After = std::exchange(m_version, Round.m_range.m_version);
  m_announcedVersion = m_version;
  if (!m_loaded)
    m_changeLog.reset(m_version);
  std::vector<std::string> Renewed;
  StoreEvents Changes = applyEntries(Round, Now, Renewed);
  logEvent(Severity::Info, "registry_loaded",
           {{"entries", Round.m_range.m_entries.size()},
            {"store_version", m_version.value()}});
  m_loaded = true;
  if (CatchesUp)
    forward(After, Changes, Renewed);
}

StoreEvents RegistryWatcher::applyEntries(const LoadRound &Round, Instant Now,
                                          std::vector<std::string> &Renewed) {
  StoreEvents Changes;
  Changes.m_version = m_version;
  auto PreviousVersions = std::move(m_knownVersions);
  m_knownVersions.clear();
  for (const StoreEntry &Entry : Round.m_range.m_entries)
    m_knownVersions[Entry.m_key] = Entry.m_modified;
  for (const auto &[Key, Version] : PreviousVersions) {
    auto [Known, IsMissing] = m_knownVersions.try_emplace(Key, Version);
    Known->second = std::max(Known->second, Version);
    if (!IsMissing || Version > m_version ||
        !startsWithAny(Key, Round.m_prefixes))
      continue;
    m_knownVersions.erase(Known);
    m_listener.onRemoval(Key, m_version, Now);
    Changes.m_events.push_back({{Key, "", m_version}, true});
  }
  for (const StoreEntry &Entry : Round.m_range.m_entries) {
    auto PreviousIt = PreviousVersions.find(Entry.m_key);
    if (PreviousIt != PreviousVersions.end() &&
        PreviousIt->second >= Entry.m_modified)
      continue;
    EntryEffect Effect = m_listener.onEntry(Entry, Now);
    if (Effect == EntryEffect::Change)
      Changes.m_events.push_back({Entry, false});
    else if (Effect == EntryEffect::Renewal)
      Renewed.push_back(Entry.m_key);
  }
  for (const StoreEvent &Event : Changes.m_events)
    m_changeLog.add(Event);
  std::stable_sort(Changes.m_events.begin(), Changes.m_events.end(), isOlder);
  return Changes;
}

struct RegistryWatcher::WatchRound {
  Instant m_began;
  std::size_t m_pending = 0; ///< Watches without a reply.
  StoreEvents m_events;
  std::optional<StoreError> m_error; ///< The first one.
};

void RegistryWatcher::watch(Instant Now) {
  auto Round = std::make_shared<WatchRound>();
  Round->m_began = Now;
  Round->m_pending = m_prefixes.size();
  Round->m_events.m_version =
      StoreVersion(std::numeric_limits<std::int64_t>::max());
  // The changes of a round are applied together, so no watch may wait for
  // changes of its own prefix while others have returned some.
  for (const std::string &Prefix : m_prefixes)
    m_store.watch(Prefix, m_version, Duration(),
                  [this, Round](const StoreReply<StoreEvents> &Reply) {
                    onWatchReply(*Round, Reply);
                  });
}

void RegistryWatcher::watchExpectedKey() {
  m_callInFlight = true;
  m_store.watch(m_expectedKey, m_version, Duration(),
                [this](const StoreReply<StoreEvents> &Reply) {
                  onExpectedKeyReply(Reply);
                });
}

void RegistryWatcher::onExpectedKeyReply(const StoreReply<StoreEvents> &Reply) {
  m_callInFlight = false;
  Instant Now = m_clock();
  m_nextExpectedWatch = Now + ShortWatchInterval;
  if (const auto *Error = std::get_if<StoreError>(&Reply)) {
    if (*Error != StoreError::Compacted)
      return onFailure(*Error, Now);
    m_nextCall = Now; // The regular watch finds the history lost too.
    return;
  }
  // The version stays, as changes of other keys are not known.
  StoreEvents Forwarded;
  Forwarded.m_version = m_version;
  for (const StoreEvent &Event : std::get<StoreEvents>(Reply).m_events)
    if (applyEvent(Event, Now) == EntryEffect::Change)
      Forwarded.m_events.push_back(Event);
  if (!Forwarded.m_events.empty())
    forward(m_version, Forwarded, {});
}

void RegistryWatcher::forward(StoreVersion After, const StoreEvents &Changes,
                              const std::vector<std::string> &Renewed) const {
  if (m_watchesForDomain && m_onWatchResult)
    m_onWatchResult(After, Changes, Renewed);
}

void RegistryWatcher::onWatchReply(WatchRound &Round,
                                   const StoreReply<StoreEvents> &Reply) {
  --Round.m_pending;
  if (const auto *Error = std::get_if<StoreError>(&Reply)) {
    if (!Round.m_error)
      Round.m_error = *Error;
  } else {
    const auto &Changes = std::get<StoreEvents>(Reply);
    StoreEvents &All = Round.m_events;
    All.m_events.insert(All.m_events.end(), Changes.m_events.begin(),
                        Changes.m_events.end());
    // Later changes of the other prefixes are returned by the next round.
    All.m_version = std::min(All.m_version, Changes.m_version);
  }
  if (Round.m_pending > 0)
    return;
  if (Round.m_error)
    return onRoundEnded(*Round.m_error, Round.m_began);
  std::stable_sort(Round.m_events.m_events.begin(),
                   Round.m_events.m_events.end(), isOlder);
  onRoundEnded(std::move(Round.m_events), Round.m_began);
}

void RegistryWatcher::onRoundEnded(StoreReply<StoreEvents> Reply,
                                   Instant Began) {
  m_callInFlight = false;
  Instant Now = m_clock();
  if (const auto *Error = std::get_if<StoreError>(&Reply)) {
    if (*Error != StoreError::Compacted)
      return onFailure(*Error, Now);
    logEvent(Severity::Warning, "registry_history_lost",
             {{"store_version", m_version.value()}});
    m_reloadNeeded = true;
    m_nextCall = Now;
    return;
  }
  auto &Changes = std::get<StoreEvents>(Reply);
  // Records are renewed all the time, so watches that report nothing may have
  // missed changes. The next round asks for them again.
  if (Changes.m_events.empty())
    Changes.m_version = m_version;
  onSuccess(Began, Now);
  m_nextCall =
      Now + (m_watchesForDomain ? WatchInterval : ForwardedWatchInterval);
  StoreVersion After = m_version;
  StoreEvents Forwarded;
  Forwarded.m_version = Changes.m_version;
  std::vector<std::string> Renewed;
  for (const StoreEvent &Event : Changes.m_events) {
    EntryEffect Effect = applyEvent(Event, Now);
    if (Effect == EntryEffect::Change)
      Forwarded.m_events.push_back(Event);
    else if (Effect == EntryEffect::Renewal)
      Renewed.push_back(Event.m_entry.m_key);
  }
  m_version = std::max(m_version, Changes.m_version);
  m_announcedVersion = m_version;
  dropSuperseded(Forwarded.m_events);
  forward(After, Forwarded, Renewed);
}

void RegistryWatcher::setWatchesForDomain(bool Enabled) {
  if (Enabled && !m_watchesForDomain)
    m_nextCall = Instant();
  m_watchesForDomain = Enabled;
}

bool RegistryWatcher::receivesForwardedChanges(Instant Now) const {
  return m_lastForwarded && Now - *m_lastForwarded <= ForwardedWatchInterval;
}

std::optional<Instant> RegistryWatcher::lastNews() const {
  return std::max(m_lastContact, m_lastInformed);
}

std::optional<StoreEvents>
RegistryWatcher::changesSince(StoreVersion After) const {
  if (!m_loaded || m_reloadNeeded || After > m_version)
    return std::nullopt;
  StoreEvents Events;
  if (auto Changes = m_changeLog.changesAfter(After)) {
    Events.m_events = std::move(*Changes);
    Events.m_version = m_version;
    return Events;
  }
  // A host that the store turns away has no other source for the entries that
  // were written before this host read the store. Removals may be missing.
  Events.m_events = m_changeLog.keptChangesAfter(After);
  Events.m_version = After;
  return Events;
}

std::optional<StoreVersion>
RegistryWatcher::onForwardedChanges(StoreVersion After,
                                    const StoreEvents &Changes, Instant Now) {
  bool WatchesItself = m_watchesForDomain && m_failures == 0;
  // The reply to a read of the whole store may be older than these changes.
  bool LoadInFlight = m_reloadNeeded && m_callInFlight;
  if (!m_loaded || LoadInFlight || WatchesItself)
    return std::nullopt;
  if (After > m_version) {
    m_announcedVersion = std::max(m_announcedVersion, After);
    m_nextCall = std::min(m_nextCall, Now + GapDelay);
    return m_version;
  }
  m_lastForwarded = Now;
  if (!m_storeReachable) {
    // The forwarding host reaches the store. Removals among the changes may be
    // due to the outage, so the listener has to be notified before them.
    m_storeReachable = true;
    m_listener.onStoreRegained(Now);
  }
  for (const StoreEvent &Event : Changes.m_events)
    applyEvent(Event, Now);
  m_version = std::max(m_version, Changes.m_version);
  // Old changes of one host do not replace those missed from another.
  if (missesChanges())
    return std::nullopt;
  m_lastInformed = Now;
  if (m_watchesForDomain)
    return std::nullopt;
  Instant NextCall = Now + ForwardedWatchInterval;
  if (m_failures > 0)
    NextCall = std::min(NextCall, m_lastFailure + ProbeInterval);
  m_nextCall = std::max(m_nextCall, NextCall);
  return std::nullopt;
}

RegistryWatcher::EntryEffect
RegistryWatcher::applyEvent(const StoreEvent &Event, Instant Now) {
  const StoreEntry &Entry = Event.m_entry;
  if (Event.m_removed) {
    auto KnownIt = m_knownVersions.find(Entry.m_key);
    if (KnownIt == m_knownVersions.end() || Entry.m_modified < KnownIt->second)
      return EntryEffect::None;
    m_knownVersions.erase(KnownIt);
    m_listener.onRemoval(Entry.m_key, Entry.m_modified, Now);
    m_changeLog.add(Event);
    return EntryEffect::Change;
  }
  StoreVersion &KnownVersion = m_knownVersions[Entry.m_key];
  if (Entry.m_modified <= KnownVersion)
    return EntryEffect::None;
  KnownVersion = Entry.m_modified;
  EntryEffect Effect = m_listener.onEntry(Entry, Now);
  if (Effect == EntryEffect::Change)
    m_changeLog.add(Event);
  return Effect;
}

void RegistryWatcher::onSuccess(Instant Began, Instant Now) {
  if (m_failures > 0)
    logEvent(Severity::Info, "store_call_recovered",
             {{"store_version", m_version.value()}});
  m_failures = 0;
  m_lastContact = Began;
  if (m_storeReachable)
    return;
  m_storeReachable = true;
  m_listener.onStoreRegained(Now);
}

void RegistryWatcher::onFailure(StoreError Error, Instant Now) {
  if (m_failures == 0)
    logEvent(Severity::Warning, "store_call_failed",
             {{"reason", toString(Error)},
              {"store_version", m_version.value()},
              {"watches_for_domain", m_watchesForDomain},
              {"receives_forwarded", receivesForwardedChanges(Now)}});
  m_failures = std::min(m_failures + 1, MaxRetryFactor);
  m_lastFailure = Now;
  m_nextCall = Now + (m_loaded ? RetryDelay * m_failures : RetryDelay);
  if (m_reloadNeeded && m_loaded)
    m_nextCall = std::max(m_nextCall, Now + ReloadRetryDelay / MaxRetryFactor);
  if (!m_watchesForDomain && informed(Now))
    m_nextCall = std::max(m_nextCall, Now + ForwardedWatchInterval);
  // A host that forwards changes reaches the store.
  if (!m_storeReachable || receivesForwardedChanges(Now))
    return;
  m_storeReachable = false;
  m_listener.onStoreLost(Error, Now);
}

} // namespace burdockpulley
