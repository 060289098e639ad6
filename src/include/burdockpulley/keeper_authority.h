#ifndef BURDOCKPULLEY_KEEPER_AUTHORITY_H
#define BURDOCKPULLEY_KEEPER_AUTHORITY_H

#include "burdockpulley/store.h"

#include <map>
#include <optional>
#include <set>

namespace burdockpulley {

/// A rule of the protocol that a test switches off, to show that its property
/// fails without it. Production code always uses None.
enum class Mutation {
  None,
  ContactFromAnswer,   ///< Authority counts from the answer of a read.
  ReleaseWithoutWait,  ///< A silent upstream's partitions are freed at once.
  IgnoreSequence,      ///< An upstream takes orders that were overtaken.
  LeaseFromReceipt,    ///< A lease counts from when the order arrives.
  NoQuorum,            ///< A successor does not wait for a majority.
  GrantWhileReleasing, ///< Grants go on while a release is undecided.
};

/// How much two clocks that count a span can be apart: 1 in 50, and 5 ms.
/// Thread safety: safe.
Duration driftMargin(Duration Span);

/// Until when this process may act on what it has read from the store.
///
/// Thread safety: none.
class KeeperAuthority {
public:
  /// The tables are complete up to the store's state at \p Began or later:
  /// a read that was sent then has been answered and taken over.
  void onContact(Instant Began);

  /// True while a keeper that was promised \p Hold may act.
  bool holds(Duration Hold, Instant Now) const;

  /// When the last contact began; nothing before the first.
  std::optional<Instant> lastContact() const { return m_contact; }

private:
  std::optional<Instant> m_contact;
};

/// How far the declared hosts have seen the store, from their answers to
/// questions that are asked in rounds. A host that has not read the store since
/// it started answers version zero and counts for nothing.
///
/// Thread safety: none.
class VersionQuorum {
public:
  /// Starts a round; answers to earlier rounds no longer show contact.
  std::uint64_t begin(Instant Now);

  /// A host has answered that it has seen the store at \p Seen.
  void onAnswer(std::uint64_t Round, const HostId &Host, StoreVersion Seen);

  /// When the round began, if a majority of \p Hosts answered that it has seen
  /// nothing newer than \p Mine: until then nobody had a majority for more.
  std::optional<Instant> contact(const std::set<HostId> &Hosts,
                                 const HostId &Self, StoreVersion Mine) const;

  /// True when a majority of \p Hosts has seen \p Wanted or newer.
  bool seenByMajority(const std::set<HostId> &Hosts, const HostId &Self,
                      StoreVersion Mine, StoreVersion Wanted) const;

private:
  std::uint64_t m_round = 0;
  Instant m_began{};
  std::map<HostId, StoreVersion> m_answers;
  std::map<HostId, StoreVersion> m_known;
};

} // namespace burdockpulley

#endif
