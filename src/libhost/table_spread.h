#ifndef BURDOCKPULLEY_LIBHOST_TABLE_SPREAD_H
#define BURDOCKPULLEY_LIBHOST_TABLE_SPREAD_H

#include "burdockpulley/repeating_timer.h"
#include "host_state.h"

#include "burdockpulley/peer.h"

#include <functional>

namespace burdockpulley {

namespace wire {
class ConfigPull;
class ConfigPush;
class MemberMessage;
class TablePull;
class TablePush;
} // namespace wire

/// Spreads the published set and the owners of partitions between hosts. Each
/// host tells its versions; one that is behind asks for what it lacks. Only
/// newer things replace what is here, so nothing ever reverts.
///
/// Thread safety: none; it belongs to the loop's thread.
class TableSpread {
public:
  /// \p Changed runs after something newer has come.
  TableSpread(event_base *Base, HostState &State, PeerNetwork &Peers,
              std::function<void()> Changed);

  /// Works the versions out anew; called when the tables have changed.
  void onTablesChanged();

  /// Puts this host's versions into a message.
  void addVersions(wire::MemberMessage &Message) const;

  /// Compares a peer's versions with those here, and asks it for what is newer.
  void onVersions(const HostId &From, const wire::MemberMessage &Theirs,
                  Instant Now);

  void onPull(const HostId &From, const wire::ConfigPull &Asked);
  void onPush(wire::ConfigPush &&Newer);
  void onPull(const HostId &From, const wire::TablePull &Asked);
  void onPush(const wire::TablePush &Newer);

private:
  void askSeeds();
  std::vector<StoreEntry> entries(bool WithValues) const;

  HostState &m_state;
  PeerNetwork &m_peers;
  std::function<void()> m_changed;
  std::int64_t m_tableVersion = 0;
  std::int64_t m_tableDigest = 0;
  Instant m_nextConfigPull;
  Instant m_nextTablePull;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
