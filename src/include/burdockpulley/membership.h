#ifndef BURDOCKPULLEY_MEMBERSHIP_H
#define BURDOCKPULLEY_MEMBERSHIP_H

#include "burdockpulley/types.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace burdockpulley {

/// Orders what is said about one host; only the host itself raises it.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;

/// What is believed of a host.
enum class MemberState : std::uint8_t { Alive, Suspect, Lost };

/// A declared host and the failure domain that it belongs to.
struct Member {
  HostId m_host;
  DomainId m_domain;

  friend auto operator<=>(const Member &, const Member &) = default;
};

/// News about one host.
struct MemberUpdate {
  HostId m_host;
  MemberState m_state = MemberState::Alive;
  Incarnation m_incarnation;
  HostId m_observer; ///< Who has failed to reach it; only for Suspect.
};

/// Digest of what is known of one failure domain's hosts.
struct DomainDigest {
  DomainId m_domain;
  std::uint64_t m_digest = 0;
};

/// A message between two members.
struct MemberMessage {
  enum class Kind : std::uint8_t {
    Probe,   ///< Asks the receiver for an Ack.
    Ack,     ///< m_target has answered the probe m_sequence.
    Request, ///< Asks the receiver to probe m_target.
    Gossip,  ///< Carries updates only.
    Sync,    ///< Asks for the rows of the domains whose digests differ.
  };

  Kind m_kind = Kind::Gossip;
  std::uint64_t m_sequence = 0;
  Incarnation m_incarnation; ///< The sender's own.
  std::uint64_t m_digest = 0;
  HostId m_target;
  std::vector<MemberUpdate> m_updates;
  std::vector<DomainDigest> m_digests;
};

/// A message and its receiver.
struct MemberSend {
  HostId m_to;
  MemberMessage m_message;
};

/// Parameters of the failure detector.
struct MembershipOptions {
  std::size_t m_helpers = 3;       ///< Hosts asked for an indirect probe.
  std::size_t m_confirmations = 2; ///< Observers that must agree on a loss.
  bool m_suspectsItself = true;    ///< Own pauses and silence are noticed.
};

namespace detail {

/// Rows of the members with their digests. Thread safety: none.
class MemberTable {
public:
  struct Row {
    DomainId m_domain;
    MemberState m_state = MemberState::Alive;
    Incarnation m_incarnation;
    bool m_local = false; ///< Lost only in this host's own view.
    Instant m_heard;
    Instant m_suspectedAt;
    std::set<HostId> m_observers; ///< Who suspects this incarnation.
  };

  void assign(std::span<const Member> Members);
  Row *find(const HostId &Host);
  const Row *find(const HostId &Host) const;
  const std::map<HostId, Row> &rows() const { return m_rows; }
  std::map<HostId, Row> &rows() { return m_rows; }

  /// Sets state and incarnation and keeps the digests right.
  void set(const HostId &Host, Row &Which, MemberState State, Incarnation Inc,
           bool Local = false);

  std::uint64_t digest() const { return m_digest; }
  const std::map<DomainId, std::uint64_t> &domainDigests() const {
    return m_digests;
  }

private:
  void toggle(const HostId &Host, const Row &Which);

  std::map<HostId, Row> m_rows;
  std::map<DomainId, std::uint64_t> m_digests;
  std::uint64_t m_digest = 0;
};

/// News that still has to be passed on, each a bounded number of times.
/// Thread safety: none.
class GossipQueue {
public:
  void add(const MemberUpdate &News);
  /// The least sent updates; each call counts as one transmission.
  std::vector<MemberUpdate> take(std::size_t Count, std::size_t Members);
  bool empty() const { return m_items.empty(); }

private:
  struct Item {
    MemberUpdate m_news;
    unsigned m_sent = 0;
  };
  std::deque<Item> m_items;
};

} // namespace detail

/// Failure detector of one host, after SWIM: probes, indirect probes through
/// other hosts, suspicion that independent observers must confirm, and
/// incarnations with which a suspected host refutes.
///
/// Each host is observed by the hosts of its own failure domain, and by some
/// of other domains when its own has few. Other domains are sampled as a
/// whole: one that does not answer is unreachable, and then all its hosts
/// count as lost for this host. Does no I/O: takeOutgoing() gives what is to
/// be sent.
///
/// Thread safety: none.
class Membership {
public:
  /// \p Start must be higher than the incarnations that earlier processes of
  /// this host began with; its start time in milliseconds will do.
  Membership(Member Self, Incarnation Start, std::uint64_t Seed,
             MembershipOptions Options = {});

  /// Replaces the declared hosts; what is known of those that stay is kept.
  void setMembers(std::span<const Member> Members, Instant Now);

  /// Does what is due. Precondition: called at least every 25 ms or so; a long
  /// gap is taken as a pause of this process.
  void tick(Instant Now);

  /// Takes a message from a peer.
  void receive(const HostId &From, const MemberMessage &Message, Instant Now);

  /// Messages to send since the last call.
  std::vector<MemberSend> takeOutgoing();

  /// True when a host is lost or its failure domain is unreachable.
  bool lost(const HostId &Host) const;

  /// The hosts for which lost() holds.
  std::set<HostId> lostHosts() const;

  /// Failure domains of which no host answers this one.
  const std::set<DomainId> &unreachableDomains() const { return m_unreachable; }

  /// Grows whenever lostHosts() may have changed.
  std::uint64_t changes() const { return m_changes; }

  /// True while this host has reason to think that it is itself the one that
  /// is cut off or was paused. It then declares nobody lost.
  bool suspectsItself(Instant Now) const;

  /// What is believed of a host. Alive for hosts that are not declared.
  MemberState state(const HostId &Host) const;

  Incarnation incarnation() const { return m_incarnation; }

  /// Digest over all that is known; equal digests mean equal views.
  std::uint64_t digest() const { return m_table.digest(); }

private:
  using Row = detail::MemberTable::Row;
  struct Outstanding {
    HostId m_target;
    Instant m_sent;
    bool m_helped = false;
    bool m_ring = false; ///< Its failure counts as an observation.
  };
  struct Relay {
    HostId m_for;
    std::uint64_t m_sequence = 0;
    HostId m_target;
    Instant m_sent;
  };
  struct DomainContact {
    Instant m_heard;
    std::set<HostId> m_silent; ///< Probed in vain since it was heard.
  };

  MemberMessage make(MemberMessage::Kind Kind, std::uint64_t Sequence);
  void send(const HostId &To, MemberMessage &&Message);
  void probe(const HostId &Target, bool Ring, Instant Now);
  void probeRing(Instant Now);
  void probeOtherDomain(Instant Now);
  void checkProbes(Instant Now);
  void askHelpers(std::uint64_t Sequence, const HostId &Target);
  void onFailed(const Outstanding &Probe, Instant Now);
  void doubtDomain(const DomainId &Domain, const HostId &Silent, Instant Now);
  std::vector<HostId> partners(const DomainId &Domain) const;
  void onPause(Instant Now);
  void onHeard(const HostId &From, Incarnation Inc, Instant Now);
  void endIsolation(Instant Now);
  void judge(Instant Now);
  std::size_t liveObservers(const HostId &Host) const;
  void merge(const MemberUpdate &News, Instant Now);
  void mergeSuspicion(const MemberUpdate &News, Row &Known, Instant Now);
  void refute(Incarnation Seen);
  void spread(const MemberUpdate &News);
  void flushUrgent();
  void answerSync(const HostId &To, const MemberMessage &Asked);
  void requestSync(const HostId &To, Instant Now);
  void changeState(const HostId &Host, Row &Known, MemberState State,
                   Incarnation Inc, bool Local = false);
  Duration directTimeout(const Row &Target) const;
  void rebuildRing();
  HostId randomOf(const std::vector<HostId> &From);

  Member m_self;
  Incarnation m_incarnation;
  MembershipOptions m_options;
  std::mt19937_64 m_random;
  detail::MemberTable m_table;
  detail::GossipQueue m_gossip;
  std::vector<HostId> m_ring;     ///< Hosts that this one observes.
  std::vector<HostId> m_contacts; ///< Hosts that news is pushed to.
  std::map<HostId, std::vector<HostId>> m_observersOf;
  std::map<DomainId, std::vector<HostId>> m_partners;
  std::map<DomainId, DomainContact> m_domains;
  std::set<DomainId> m_unreachable;
  std::map<std::uint64_t, Outstanding> m_probes;
  std::map<std::uint64_t, Relay> m_relays;
  std::vector<MemberSend> m_outgoing;
  std::uint64_t m_lastSequence = 0;
  std::uint64_t m_changes = 0;
  std::size_t m_ringNext = 0;
  std::size_t m_domainNext = 0;
  bool m_urgent = false;
  bool m_started = false;
  Instant m_lastTick;
  Instant m_lastHeard;
  Instant m_lastSync;
  Instant m_doubtUntil;
  Instant m_nextProbe;
  Instant m_nextDomainProbe;
};

} // namespace burdockpulley

#endif
