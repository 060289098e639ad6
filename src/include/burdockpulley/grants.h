#ifndef BURDOCKPULLEY_GRANTS_H
#define BURDOCKPULLEY_GRANTS_H

#include "burdockpulley/keeper_authority.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// Partitions that an upstream owns, with their tokens.
using GrantList = std::map<PartitionIndex, FencingToken>;

/// An instant on an upstream's own clock, in a life of its process.
struct UpstreamStamp {
  std::string m_boot; ///< Unique id of the process; empty when not known.
  Duration m_clock{}; ///< Steady clock of the upstream.
};

/// A keeper's order to its upstream. The lease ends at the stamp plus the
/// lease, on the upstream's clock: an order that arrives late, or is read by a
/// process that was frozen, grants nothing.
struct GrantRequest {
  std::string m_keeper;
  KeeperEpoch m_epoch;
  std::uint64_t m_sequence = 0;
  UpstreamStamp m_stamp;
  Duration m_lease{};
  std::uint64_t m_listVersion = 0; ///< Sequence of the order with the list.
  bool m_full = false;             ///< The list is in this order.
  GrantList m_grants;
};

/// Why an upstream refuses an order.
enum class GrantRefusal { None, OldEpoch, OldSequence, OtherBoot, NoList };

/// An upstream's answer to an order.
struct GrantResponse {
  GrantRefusal m_refusal = GrantRefusal::None;
  UpstreamStamp m_stamp;
  std::vector<PartitionIndex> m_busy; ///< Not granted, but still in work.
};

/// Name of a refusal as it stands in answers. Thread safety: safe.
const char *toString(GrantRefusal Refusal);

/// Orders and answers as JSON. Readers return false when the text is not one.
/// Thread safety: safe.
std::string encodeGrantRequest(const GrantRequest &Order);
bool decodeGrantRequest(std::string_view Text, GrantRequest &Order);
std::string encodeGrantResponse(const GrantResponse &Answer);
bool decodeGrantResponse(std::string_view Text, GrantResponse &Answer);

/// The rules by which an upstream takes orders: what each upstream that checks
/// its grants has to do. The stand-ins and the tests use it.
///
/// Thread safety: none.
class GrantGuard {
public:
  explicit GrantGuard(std::string Boot, Mutation Rules = Mutation::None)
      : m_boot(std::move(Boot)), m_rules(Rules) {}

  /// Takes an order, or refuses it. \p Clock is the upstream's steady clock.
  GrantRefusal apply(const GrantRequest &Order, Duration Clock);

  /// True when the upstream owns the partition under this token.
  bool owns(PartitionIndex Partition, FencingToken Token, Duration Clock) const;

  /// The partitions that it owns now.
  GrantList owned(Duration Clock) const;

  const std::string &boot() const { return m_boot; }
  KeeperEpoch epoch() const { return m_epoch; }
  std::uint64_t sequence() const { return m_sequence; }

private:
  std::string m_boot;
  Mutation m_rules;
  KeeperEpoch m_epoch;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_listVersion = 0;
  Duration m_end{};
  GrantList m_list;
};

/// A keeper's side of the lease of one upstream, for one epoch: what was
/// granted, and when it is certainly over.
///
/// Thread safety: none.
class UpstreamLease {
public:
  UpstreamLease(KeeperEpoch Epoch, Duration Lease, bool ChecksGrants,
                Mutation Rules = Mutation::None)
      : m_epoch(Epoch), m_lease(Lease), m_checks(ChecksGrants), m_rules(Rules) {
  }

  KeeperEpoch epoch() const { return m_epoch; }

  /// Tells when whatever earlier keepers granted is certainly over.
  void setEarlierOver(Instant Over) { m_earlierOver = Over; }
  bool earlierOverKnown() const { return m_earlierOver.has_value(); }

  /// The next order, granting \p Wanted. A silent upstream is granted nothing.
  /// Precondition: the caller has authority, and no order is under way.
  GrantRequest prepare(const std::string &Keeper, GrantList Wanted,
                       Instant Now);

  /// The upstream has answered the order \p Sequence.
  void onAnswer(std::uint64_t Sequence, const GrantResponse &Answer,
                Instant Now);
  /// There is no answer.
  void onFailure() { ++m_failures; }

  /// True when the upstream has been silent for several orders.
  bool silent(Instant Now) const;

  /// True when orders may be sent at all: an upstream that does not check who
  /// gives them must not hear two keepers.
  bool maySend(Instant Now) const;

  /// True when the last order granted the partition under this token.
  bool grants(PartitionIndex Partition, FencingToken Token) const;

  /// True when the upstream certainly does not own the partition any more.
  bool over(PartitionIndex Partition, Instant Now) const;

private:
  struct Dropped {
    std::uint64_t m_sequence = 0; ///< Last order that granted it.
    Instant m_end;                ///< When that grant is over at the latest.
  };

  void drop(PartitionIndex Partition, const Dropped &Last);

  KeeperEpoch m_epoch;
  Duration m_lease;
  bool m_checks;
  Mutation m_rules;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_listVersion = 0;
  bool m_listTaken = false;
  GrantList m_list;
  Dropped m_lastGrant;
  std::map<PartitionIndex, Dropped> m_dropped;
  UpstreamStamp m_stamp;
  std::optional<Instant> m_answered; ///< When the stamp came.
  std::optional<Instant> m_firstSent;
  std::optional<Instant> m_earlierOver;
  std::uint32_t m_failures = 0;
};

} // namespace burdockpulley

#endif
