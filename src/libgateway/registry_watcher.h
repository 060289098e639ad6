#ifndef BURDOCKPULLEY_LIBGATEWAY_REGISTRY_WATCHER_H
#define BURDOCKPULLEY_LIBGATEWAY_REGISTRY_WATCHER_H

#include "burdockpulley/store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace burdockpulley {

/// Keeps this host's copy of the store up to date.
///
/// One watch covers all keys. Upstreams write all the time, so a watch that
/// waits would return at once and cost a call for each write; instead a new
/// watch is made at a fixed pace and brings what has come in between. All is
/// read anew when history was lost, or changes were told without their keys.
/// Thread safety: none; it belongs to the loop's thread.
class RegistryWatcher {
public:
  /// What an entry means to the other hosts of the failure domain.
  enum class EntryEffect {
    None,    ///< Nothing: they learn it elsewhere, or it concerns nobody.
    Renewal, ///< An upstream lives, and nothing else is new.
    Change,
  };

  /// Is told what the store holds. Called on the loop's thread.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual EntryEffect onEntry(const StoreEntry &Entry, Instant Now) = 0;
    virtual void onRemoval(const std::string &Key, StoreVersion Version,
                           Instant Now) = 0;
    /// The store answers again after it did not.
    virtual void onStoreRegained(Instant Now) = 0;
    virtual void onStoreLost(StoreError Why, Instant Now) = 0;
  };

  /// Preconditions: \p Source and \p Target outlive the watcher.
  RegistryWatcher(WatchableStore &Source, Listener &Target);

  /// Makes the next call when it is time. Call it many times a second.
  void tick(Instant Now);

  /// Another host passes on what its watch has brought. Ignored when it does
  /// not follow on what this host knows; then the store is asked soon.
  void onRelayed(StoreVersion After, const StoreEvents &Changes, Instant Now);

  /// False while another host of the failure domain watches for this one; it
  /// then makes calls of its own only when it hears nothing.
  void setWatches(bool Yes) { m_watches = Yes; }

  /// Called with what a watch of this host has brought: the changes, and the
  /// keys of entries that were just renewed.
  std::function<void(StoreVersion After, const StoreEvents &Changes,
                     const std::vector<std::string> &Renewed)>
      m_onWatched;

  /// Follows more closely until \p Until, because a change is expected.
  void hurry(Instant Until) { m_hurryUntil = Until; }

  bool loaded() const { return m_loaded; }
  /// When the call began that was answered last; nothing before the first.
  std::optional<Instant> lastContact() const { return m_lastContact; }
  bool inReach() const { return m_inReach; }

private:
  void load(Instant Now);
  void onLoaded(const StoreReply<StoreRange> &Reply, Instant Began);
  void watch(Instant Now);
  void onChanges(const StoreReply<StoreEvents> &Reply, Instant Began);
  void onFailure(StoreError Why, Instant Now);
  void onSuccess(Instant Began, Instant Now);
  EntryEffect apply(const StoreEvent &Event, Instant Now);

  WatchableStore &m_source;
  Listener &m_target;
  std::map<std::string, StoreVersion> m_known;
  StoreVersion m_version;
  bool m_loaded = false;
  bool m_reload = true;
  bool m_calling = false;
  bool m_watches = true;
  bool m_inReach = true;
  std::uint32_t m_failures = 0;
  Instant m_nextCall;
  Instant m_hurryUntil;
  std::optional<Instant> m_lastContact;
};

} // namespace burdockpulley

#endif
