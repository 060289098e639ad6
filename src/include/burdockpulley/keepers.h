#ifndef BURDOCKPULLEY_KEEPERS_H
#define BURDOCKPULLEY_KEEPERS_H

#include "burdockpulley/declarations.h"
#include "burdockpulley/store.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

constexpr const char *KeepersPrefix = "/burdockpulley/live/keepers/";

/// The process that is the keeper of an upstream, as stored.
struct KeeperRecord {
  HostId m_host;
  std::string m_incarnation; ///< Unique id of the process.
  KeeperEpoch m_epoch;
  /// How long the keeper may act after its last contact with the store. Stored
  /// with the record so that a successor waits as long as the keeper was
  /// promised, even when the declarations have changed since.
  Duration m_hold{};
  Duration m_earlierHold{}; ///< The longest hold of any earlier keeper.
  bool m_down = false;      ///< The upstream does not respond to its keeper.

  friend bool operator==(const KeeperRecord &, const KeeperRecord &) = default;
};

/// One value of the store: the keepers of the upstreams of a failure domain.
struct DomainKeepers {
  StoreVersion m_version; ///< Zero when the store has none yet.
  std::map<UpstreamId, KeeperRecord> m_records;
};

/// Key of a domain's keepers in the store. Thread safety: safe.
std::string keepersKey(const DomainId &Domain);
/// Encodes a domain's keepers as a store value. Thread safety: safe.
std::string encodeKeepers(const DomainKeepers &Keepers);
/// Decodes a domain's keepers; returns false for any other text.
/// Thread safety: safe.
bool decodeKeepers(std::string_view Text, DomainKeepers &Keepers);

/// Local copy of the keepers that the store records. An older value never
/// replaces a newer one.
///
/// Thread safety: none.
class KeeperTable {
public:
  /// Applies an entry of the store. Returns false when the entry is not a
  /// domain's keepers, or is not newer than the value in the table.
  bool apply(const StoreEntry &Entry, Instant Now);

  /// The values written after \p Version, as store entries.
  std::vector<StoreEntry> entriesSince(StoreVersion Version) const;

  /// The keepers of a domain; without records when the store has none.
  const DomainKeepers &domain(const DomainId &Name) const;

  /// The record of an upstream; null when the store has none.
  const KeeperRecord *find(const DomainId &Domain,
                           const UpstreamId &Upstream) const;

  /// When this process first saw the current epoch of the upstream's keeper.
  /// Precondition: the table has a record of the upstream.
  Instant epochKnownSince(const UpstreamId &Upstream) const;

  /// Upstreams that do not respond to their keepers.
  std::set<UpstreamId> down() const;

  /// The keepers of all domains that the store has keepers for.
  const std::map<DomainId, DomainKeepers> &domains() const { return m_domains; }

private:
  std::map<DomainId, DomainKeepers> m_domains;
  std::map<UpstreamId, Instant> m_epochKnownSince;
};

/// What a process knows when it decides about keepers.
struct KeeperView {
  const Declarations &m_declared;
  const KeeperTable &m_keepers;
  const std::set<HostId> &m_lost; ///< Hosts that do not respond.
  HostId m_self;
  std::string m_incarnation; ///< Of this process.
};

/// The host that should be the keeper of an upstream: chosen by rendezvous
/// hashing among the live hosts of its domain or, when there is none, among all
/// live hosts. Empty when no host is alive. Thread safety: safe.
HostId preferredKeeper(const KeeperView &View, const DomainId &Domain,
                       const UpstreamId &Upstream);

/// True when the record names this process. Thread safety: safe.
bool keptByThisProcess(const KeeperView &View, const KeeperRecord &Record);

/// The transactions by which this process becomes the keeper of upstreams whose
/// keeper is lost or is not the preferred one, and records which of its own
/// upstreams do not respond (\p SilentUpstreams). At most one for each domain.
/// Thread safety: safe.
std::vector<StoreTransaction>
planKeepers(const KeeperView &View, const std::set<UpstreamId> &SilentUpstreams,
            Instant Now);

} // namespace burdockpulley

#endif
