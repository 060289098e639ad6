#ifndef BURDOCKPULLEY_KEEPER_AUTHORITY_H
#define BURDOCKPULLEY_KEEPER_AUTHORITY_H

#include "burdockpulley/store.h"

#include <map>
#include <optional>
#include <set>

namespace burdockpulley {

/// A rule of the protocol that a test disables, to show that safety is violated
/// without the rule. Production code always uses None.
enum class Mutation {
  None,
  ContactFromResponse, ///< Authority counts from the response to a read.
  ReleaseWithoutWait,  ///< A silent upstream's partitions are freed at once.
  IgnoreSequence,      ///< An upstream applies requests that were overtaken.
  LeaseFromReceipt,    ///< A lease counts from the arrival of the request.
  NoQuorum,            ///< A successor does not wait for a majority.
  GrantWhileReleasing, ///< Grants continue while a release is undecided.
};

/// Upper bound of the difference between two clocks that measure \p Span:
/// 1/50 of it plus 5 ms.
/// Thread safety: safe.
Duration driftMargin(Duration Span);

/// Decides until when this process may act on what it has read from the store.
///
/// Thread safety: none.
class KeeperAuthority {
public:
  /// The local tables contain the store's state as of \p ReadStart or later: a
  /// read that was sent then has been answered and applied.
  void onContact(Instant ReadStart);

  /// True while a keeper that was promised the hold time \p Hold may act.
  bool mayAct(Duration Hold, Instant Now) const;

  /// When the last contact began; empty before the first.
  std::optional<Instant> lastContact() const { return m_lastContact; }

private:
  std::optional<Instant> m_lastContact;
};

/// Records up to which version of the store the declared hosts have seen it,
/// from their responses to queries that are sent in rounds. A host that has not
/// read the store since its start responds with version zero and does not
/// count.
///
/// Thread safety: none.
class VersionQuorum {
public:
  /// Starts a round and returns its number. Responses to earlier rounds no
  /// longer count as contact.
  std::uint64_t beginRound(Instant Now);

  /// A host has responded that it has seen the store up to \p Seen.
  void onResponse(std::uint64_t Round, const HostId &Host, StoreVersion Seen);

  /// The start of the round, if in it a majority of \p Hosts has responded that
  /// it has seen nothing newer than \p SelfSeen. Nobody can have had a majority
  /// for a newer version before that time.
  std::optional<Instant> contactStart(const std::set<HostId> &Hosts,
                                      const HostId &Self,
                                      StoreVersion SelfSeen) const;

  /// True when a majority of \p Hosts has seen \p Required or newer.
  bool seenByMajority(const std::set<HostId> &Hosts, const HostId &Self,
                      StoreVersion SelfSeen, StoreVersion Required) const;

private:
  std::uint64_t m_round = 0;
  Instant m_roundStart{};
  /// Responses to the current round.
  std::map<HostId, StoreVersion> m_roundResponses;
  /// Newest version that each host has reported in any round.
  std::map<HostId, StoreVersion> m_latestSeen;
};

} // namespace burdockpulley

#endif
