#ifndef BURDOCKPULLEY_LIBGATEWAY_STORE_CHANGE_LOG_H
#define BURDOCKPULLEY_LIBGATEWAY_STORE_CHANGE_LOG_H

#include "burdockpulley/store.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockpulley {

/// Keeps the last change of each key of the store, for hosts that have missed
/// some changes. When there are too many, the oldest ones are discarded. Of
/// large values, earlier ones are kept too, so that a change can be sent as the
/// difference from what the receivers have.
/// Thread safety: none.
class StoreChangeLog {
public:
  /// Discards everything. All changes after \p Version are added from now on.
  void reset(StoreVersion Version);

  /// Adds a change, or an entry as of the version of reset(). Precondition: it
  /// is newer than the last one of its key.
  void add(const StoreEvent &Event);

  /// Returns the changes after \p Version in the order of their versions.
  /// Returns nothing when some of them may have been discarded.
  std::optional<std::vector<StoreEvent>>
  changesAfter(StoreVersion Version) const;

  /// As changesAfter(), but returns what is kept also when some changes may
  /// have been discarded.
  std::vector<StoreEvent> keptChangesAfter(StoreVersion Version) const;

  /// Returns the last entry of a key that is not newer than \p Version, as far
  /// as it is kept; null if there is none. Valid until the next change.
  const StoreEntry *entryAsOf(const std::string &Key,
                              StoreVersion Version) const;

private:
  void keepEarlier(StoreEvent &&Replaced);

  std::map<std::string, StoreEvent> m_lastChanges; ///< By key.
  /// Entries before the last change, the oldest first; by key.
  std::map<std::string, std::deque<StoreEntry>> m_earlierEntries;
  /// All last changes of keys after this version are kept.
  StoreVersion m_completeAfter;
};

} // namespace burdockpulley

#endif
