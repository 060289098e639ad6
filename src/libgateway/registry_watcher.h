#ifndef BURDOCKPULLEY_LIBGATEWAY_REGISTRY_WATCHER_H
#define BURDOCKPULLEY_LIBGATEWAY_REGISTRY_WATCHER_H

#include "burdockpulley/clock.h"
#include "burdockpulley/store.h"
#include "store_change_log.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockpulley {

/// Follows all changes of the store and reports them to a listener.
///
/// Upstreams write their heartbeats all the time, so a watch that waits for the
/// next change would return at once and cost one call per write. Instead, a new
/// watch is started at a fixed interval and returns all changes since the
/// previous one. The whole store is read again when the store no longer keeps
/// the history that is needed.
///
/// A watch returns every write since the last one, so it takes the longer the
/// later it is made, above all while large values change. A watcher that has
/// had no news for some seconds reads the present entries instead.
///
/// A watcher may be limited to keys with certain prefixes. It then makes one
/// watch for each of them, and the changes are applied when all have ended.
/// Prefixes under which large values are written often must not be followed:
/// the watches fall behind.
/// Thread safety: none; all calls come from the event loop's thread.
class RegistryWatcher {
public:
  /// What has to be forwarded of a changed entry to the other hosts of the
  /// failure domain.
  enum class EntryEffect {
    None,    ///< Nothing: irrelevant, or they receive it in another way.
    Renewal, ///< Only that an upstream has renewed its record unchanged.
    Change,  ///< The whole entry.
  };

  /// Receives the contents of the store. Called on the event loop's thread.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// An entry is new or was written again.
    virtual EntryEffect onEntry(const StoreEntry &Entry, Instant Now) = 0;
    /// An entry was removed, by the write with \p Version or an earlier one.
    virtual void onRemoval(const std::string &Key, StoreVersion Version,
                           Instant Now) = 0;
    /// The store has become reachable again.
    virtual void onStoreRegained(Instant Now) = 0;
    /// The store has become unreachable: a call has failed.
    virtual void onStoreLost(StoreError Error, Instant Now) = 0;
  };

  /// Returns the present time, for replies of the store.
  using Clock = std::function<Instant()>;

  /// \p Prefixes: those of the keys to follow; an empty one is that of all.
  /// Preconditions: \p Store and \p Observer outlive the watcher; \p Prefixes
  /// is not empty.
  RegistryWatcher(WatchableStore &Store, Listener &Observer,
                  std::vector<std::string> Prefixes = {""},
                  Clock ReplyClock = bootClockNow);

  /// Makes the next call to the store when it is due. To be called many times a
  /// second.
  void tick(Instant Now);

  /// Applies changes that another host has watched and forwarded. A host that
  /// watches the store for its failure domain ignores them while the store
  /// responds to it. Changes that do not follow on the version that this host
  /// knows are ignored too; the version after which changes are missing is
  /// returned, and the next watch starts within 200 ms unless they arrive.
  /// \p After: version of the store before the changes.
  std::optional<StoreVersion> onForwardedChanges(StoreVersion After,
                                                 const StoreEvents &Changes,
                                                 Instant Now);

  /// Says whether this host watches the store for its failure domain, which it
  /// does at once when it has not done so before. Otherwise another host does
  /// so, and this one calls the store only when it receives no forwarded
  /// changes.
  void setWatchesForDomain(bool Enabled);

  /// The changes after a version that this host has applied, the last one of
  /// each key. If it may not know all of them, the returned version is
  /// \p After: a host that applies them stays at that version, and reads the
  /// missing ones from the store when it can. Returns nothing while this host
  /// has not read the store up to \p After.
  std::optional<StoreEvents> changesSince(StoreVersion After) const;

  /// See StoreChangeLog::entryAsOf().
  const StoreEntry *entryAsOf(const std::string &Key,
                              StoreVersion Version) const {
    return m_changeLog.entryAsOf(Key, Version);
  }

  /// Makes the next call to the store due at once.
  void watchNow() { m_nextCall = Instant(); }

  /// Called with the result of each watch that this host has made for its
  /// failure domain: the changes, and the keys of entries that were renewed
  /// without a change.
  std::function<void(StoreVersion After, const StoreEvents &Changes,
                     const std::vector<std::string> &Renewed)>
      m_onWatchResult;

  /// A change of an entry is expected: until \p Until it is also watched by
  /// itself, at a shorter interval.
  void expectChangeOf(const std::string &Key, Instant Until) {
    m_expectedKey = Key;
    m_expectedUntil = Until;
  }

  /// Version up to which this host knows the store's changes.
  StoreVersion version() const { return m_version; }
  /// True once the store has been read completely.
  bool loaded() const { return m_loaded; }
  /// Start time of the last successful call; nothing before the first one.
  std::optional<Instant> lastContact() const { return m_lastContact; }
  /// Time of the last successful call or of the last changes that another host
  /// has forwarded without leaving a gap; nothing before the first one.
  std::optional<Instant> lastNews() const;
  /// False after a failed call while no changes arrive from other hosts, until
  /// a call succeeds or changes arrive.
  bool storeReachable() const { return m_storeReachable; }
  /// True unless this host's last call has failed.
  bool lastCallSucceeded() const { return m_failures == 0; }

private:
  /// Replies to the watches of one round, one for each prefix.
  struct WatchRound;
  /// Replies to the reads of one round, one for each prefix.
  struct LoadRound;
  /// Reads the entries with certain prefixes.
  void load(const std::vector<std::string> &Prefixes, Instant Now);
  void onLoadReply(LoadRound &Round, const StoreReply<StoreRange> &Reply);
  void onLoadEnded(const LoadRound &Round);
  /// Applies what has been read. Returns the changes to be forwarded.
  StoreEvents applyEntries(const LoadRound &Round, Instant Now,
                           std::vector<std::string> &Renewed);
  void watch(Instant Now);
  void watchExpectedKey();
  void onExpectedKeyReply(const StoreReply<StoreEvents> &Reply);
  void onWatchReply(WatchRound &Round, const StoreReply<StoreEvents> &Reply);
  void onRoundEnded(StoreReply<StoreEvents> Reply, Instant Began);
  void onFailure(StoreError Error, Instant Now);
  void onSuccess(Instant Began, Instant Now);
  void forward(StoreVersion After, const StoreEvents &Changes,
               const std::vector<std::string> &Renewed) const;
  EntryEffect applyEvent(const StoreEvent &Event, Instant Now);
  bool receivesForwardedChanges(Instant Now) const;
  /// True while a forwarding host knows changes that this one does not.
  bool missesChanges() const { return m_version < m_announcedVersion; }
  /// True while forwarded changes make calls of this host needless.
  bool informed(Instant Now) const {
    return receivesForwardedChanges(Now) && !missesChanges();
  }
  /// True if a watch would return much that has been overwritten since.
  bool outdated(Instant Now) const;

  WatchableStore &m_store;
  Listener &m_listener;
  const std::vector<std::string> m_prefixes;
  Clock m_clock;
  std::map<std::string, StoreVersion> m_knownVersions;
  StoreVersion m_version;
  bool m_loaded = false;
  bool m_reloadNeeded = true;
  bool m_callInFlight = false;
  bool m_watchesForDomain = true;
  bool m_storeReachable = true;
  std::uint32_t m_failures = 0;
  Instant m_nextCall;
  std::string m_expectedKey;
  Instant m_expectedUntil;
  Instant m_nextExpectedWatch;
  Instant m_lastFailure;
  std::optional<Instant> m_lastContact;
  std::optional<Instant> m_lastForwarded;
  /// When the last forwarded changes arrived that left no gap.
  std::optional<Instant> m_lastInformed;
  /// Highest version that a forwarding host is known to have had since this
  /// host's last successful call.
  StoreVersion m_announcedVersion;
  StoreChangeLog m_changeLog;
};

} // namespace burdockpulley

#endif
