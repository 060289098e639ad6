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

/// Which process keeps an upstream, as the store says.
struct KeeperRecord {
  HostId m_host;
  std::string m_incarnation; ///< Unique id of the process.
  KeeperEpoch m_epoch;
  /// How long after its last contact the keeper may go on. It stands here so
  /// that a successor waits for what the keeper was promised, whatever the
  /// declarations say by then.
  Duration m_hold{};
  Duration m_earlierHold{}; ///< The longest that an earlier keeper had.
  bool m_down = false;      ///< The upstream does not answer its keeper.

  friend bool operator==(const KeeperRecord &, const KeeperRecord &) = default;
};

/// One value of the store: the keepers of one failure domain's upstreams.
struct KeeperDomain {
  StoreVersion m_version; ///< Zero when the store has none yet.
  std::map<UpstreamId, KeeperRecord> m_records;
};

/// Key of a domain's keepers in the store. Thread safety: safe.
std::string keepersKey(const DomainId &Domain);
/// Writes a domain's keepers as a store value. Thread safety: safe.
std::string encodeKeepers(const KeeperDomain &Domain);
/// Reads them; false when the text is not such a value. Thread safety: safe.
bool decodeKeepers(std::string_view Text, KeeperDomain &Domain);

/// Who keeps which upstream, as the store says. An older value never replaces
/// a newer one.
///
/// Thread safety: none.
class KeeperTable {
public:
  /// Takes over an entry of the store. False when it is not a domain's
  /// keepers, or is not newer than what is here.
  bool apply(const StoreEntry &Entry, Instant Now);

  /// The entries that were written after a version, as the store has them.
  std::vector<StoreEntry> entriesSince(StoreVersion Version) const;

  /// The keepers of a domain; an empty one when the store has none.
  const KeeperDomain &domain(const DomainId &Name) const;

  /// The record of an upstream; null when the store has none.
  const KeeperRecord *find(const DomainId &Domain,
                           const UpstreamId &Upstream) const;

  /// Since when this process knows the upstream's present epoch.
  /// Precondition: the record is there.
  Instant since(const UpstreamId &Upstream) const;

  /// Upstreams that do not answer their keepers.
  std::set<UpstreamId> down() const;

  /// The domains that the store has keepers of.
  const std::map<DomainId, KeeperDomain> &domains() const { return m_domains; }

private:
  std::map<DomainId, KeeperDomain> m_domains;
  std::map<UpstreamId, Instant> m_since;
};

/// What one process knows when it decides about keepers.
struct KeeperView {
  const Declarations &m_declared;
  const KeeperTable &m_keepers;
  const std::set<HostId> &m_lost; ///< Hosts that do not answer.
  HostId m_self;
  std::string m_incarnation;
};

/// The host that should keep an upstream: by rendezvous among the live hosts
/// of its domain or, when there is none, among all live hosts. Empty when no
/// host lives. Thread safety: safe.
HostId preferredKeeper(const KeeperView &View, const DomainId &Domain,
                       const UpstreamId &Upstream);

/// True when the record names this process. Thread safety: safe.
bool keptHere(const KeeperView &View, const KeeperRecord &Record);

/// The transactions by which this process becomes keeper of upstreams whose
/// keeper is lost or is not the preferred one, and tells which of its upstreams
/// do not answer (\p Unanswered). At most one a domain.
/// Thread safety: safe.
std::vector<StoreTransaction>
planKeepers(const KeeperView &View, const std::set<UpstreamId> &Unanswered,
            Instant Now);

} // namespace burdockpulley

#endif
