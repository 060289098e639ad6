#ifndef BURDOCKPULLEY_GRANTS_H
#define BURDOCKPULLEY_GRANTS_H

#include "burdockpulley/keeper_authority.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// Partitions that an upstream owns, with their fencing tokens.
using GrantList = std::map<PartitionIndex, FencingToken>;

/// A reading of an upstream's steady clock, valid for one run of its process.
struct UpstreamStamp {
  std::string m_boot; ///< Unique id of the process; empty when not known.
  Duration m_clock{}; ///< Steady clock of the upstream.
};

/// A request of a keeper to its upstream. Grants partitions until m_stamp plus
/// m_lease on the upstream's clock. A request that is processed after that
/// time, because it was delayed or the process was frozen, therefore grants
/// nothing.
struct GrantRequest {
  std::string m_keeper;
  KeeperEpoch m_epoch;
  std::uint64_t m_sequence = 0;
  UpstreamStamp m_stamp; ///< From the upstream's latest response.
  Duration m_lease{};
  /// Sequence number of the request that carried the list of grants.
  std::uint64_t m_listVersion = 0;
  bool m_full = false; ///< This request carries the list.
  GrantList m_grants;  ///< Empty when this request does not carry the list.
};

/// Why an upstream refuses a request.
enum class GrantRefusal {
  None,
  OldEpoch,    ///< A request of a newer epoch was processed before.
  OldSequence, ///< This or a later request was processed before.
  OtherBoot,   ///< The stamp is of another process of the upstream.
  NoList,      ///< The upstream does not have the list that is referred to.
};

/// An upstream's response to a grant request.
struct GrantResponse {
  GrantRefusal m_refusal = GrantRefusal::None;
  UpstreamStamp m_stamp; ///< The upstream's clock at the response.
  /// Partitions that are not granted any more but have requests in progress.
  std::vector<PartitionIndex> m_busy;
};

/// Name of a refusal in responses. Thread safety: safe.
const char *toString(GrantRefusal Refusal);

/// Encode and decode requests and responses as JSON. The decoders return false
/// when the text is not a valid request or response. Thread safety: safe.
std::string encodeGrantRequest(const GrantRequest &Request);
bool decodeGrantRequest(std::string_view Text, GrantRequest &Request);
std::string encodeGrantResponse(const GrantResponse &Response);
bool decodeGrantResponse(std::string_view Text, GrantResponse &Response);

/// Reference implementation of how an upstream that checks its grants has to
/// process grant requests. Used by the stand-ins and the tests.
///
/// Thread safety: none.
class GrantGuard {
public:
  explicit GrantGuard(std::string Boot, Mutation DisabledRule = Mutation::None)
      : m_boot(std::move(Boot)), m_disabledRule(DisabledRule) {}

  /// Applies or refuses a request. \p Clock is the upstream's steady clock.
  GrantRefusal apply(const GrantRequest &Request, Duration Clock);

  /// True when the upstream owns the partition under this token.
  bool owns(PartitionIndex Partition, FencingToken Token, Duration Clock) const;

  /// The partitions that the upstream owns at \p Clock.
  GrantList owned(Duration Clock) const;

  const std::string &boot() const { return m_boot; }
  KeeperEpoch epoch() const { return m_epoch; }
  std::uint64_t sequence() const { return m_sequence; }

private:
  std::string m_boot;
  Mutation m_disabledRule;
  KeeperEpoch m_epoch;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_listVersion = 0;
  Duration m_leaseEnd{}; ///< On the upstream's clock.
  GrantList m_grants;
};

/// The keeper's side of the lease of one upstream, for one epoch. Records what
/// was granted and by when each grant has certainly ended.
///
/// Thread safety: none.
class UpstreamLease {
public:
  UpstreamLease(KeeperEpoch Epoch, Duration Lease, bool ChecksGrants,
                Mutation DisabledRule = Mutation::None)
      : m_epoch(Epoch), m_lease(Lease), m_checksGrants(ChecksGrants),
        m_disabledRule(DisabledRule) {}

  KeeperEpoch epoch() const { return m_epoch; }

  /// Sets the time by which all grants of earlier keepers have certainly ended.
  void setEarlierGrantsEnd(Instant End) { m_earlierGrantsEnd = End; }
  bool earlierGrantsEndKnown() const { return m_earlierGrantsEnd.has_value(); }

  /// The next request, which grants \p Wanted, or nothing while the upstream is
  /// silent.
  /// Precondition: the caller has authority, and no request is in flight.
  GrantRequest prepare(const std::string &Keeper, GrantList Wanted,
                       Instant Now);

  /// Processes the upstream's response to the request \p Sequence.
  void onResponse(std::uint64_t Sequence, const GrantResponse &Response,
                  Instant Now);
  /// The request in flight has failed: there was no response.
  void onFailure() { ++m_failures; }

  /// True when the upstream has not responded to several requests in a row and
  /// for some time.
  bool silent(Instant Now) const;

  /// True when requests may be sent at all. An upstream that does not check
  /// its grants must not receive requests of two keepers, so its keeper first
  /// waits until all grants of earlier keepers have ended.
  bool maySend(Instant Now) const;

  /// True when the last request granted the partition under this token.
  bool grants(PartitionIndex Partition, FencingToken Token) const;

  /// True when the upstream certainly does not own the partition any more.
  bool grantEnded(PartitionIndex Partition, Instant Now) const;

private:
  /// The last request that granted a partition, and its effect.
  struct LastGrant {
    std::uint64_t m_sequence = 0;
    Instant m_end; ///< The grant has ended by then at the latest.
  };

  void revoke(PartitionIndex Partition, const LastGrant &Last);

  KeeperEpoch m_epoch;
  Duration m_lease;
  bool m_checksGrants;
  Mutation m_disabledRule;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_listVersion = 0;
  bool m_listAccepted = false;
  GrantList m_grants; ///< Grants of the last request.
  LastGrant m_lastGrant;
  /// Partitions that are not granted any more, but may still be owned.
  std::map<PartitionIndex, LastGrant> m_revoked;
  UpstreamStamp m_stamp;
  std::optional<Instant> m_respondedAt; ///< When m_stamp was received.
  std::optional<Instant> m_firstSent;
  std::optional<Instant> m_earlierGrantsEnd;
  std::uint32_t m_failures = 0;
};

} // namespace burdockpulley

#endif
