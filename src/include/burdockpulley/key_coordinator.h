#ifndef BURDOCKPULLEY_KEY_COORDINATOR_H
#define BURDOCKPULLEY_KEY_COORDINATOR_H

#include "burdockpulley/key_planner.h"
#include "burdockpulley/key_table.h"

#include <map>
#include <optional>
#include <vector>

namespace burdockpulley {

/// Identifies a command to an upstream within one process.
using CommandId = Strong<struct CommandIdTag, std::uint64_t>;

/// Grants a range of keys to its owner, or renews the grant.
struct GrantCommand {
  CommandId m_number;
  KeyRange m_range;
  Duration m_duration{};
  /// True for the first grant under a token. Renewals must be sent over the
  /// connection that carried the first grant: another connection may lead to
  /// another incarnation of the upstream.
  bool m_first = false;
  /// The command must not be sent later than this.
  Instant m_sendBefore = Instant::max();
};

/// Asks the owner of a range of keys to release it.
struct ReleaseCommand {
  CommandId m_number;
  KeyRange m_range;
};

/// Result of a grant command.
enum class GrantOutcome {
  Granted,
  Superseded,  ///< The upstream has seen a higher token.
  NotSent,     ///< The command certainly did not reach the upstream.
  Dropped,     ///< As NotSent, because earlier commands to the upstream took
               ///< too long. Its connection is unchanged.
  Unanswered,  ///< The grant may have taken effect, or may do so later.
  Misdirected, ///< Another upstream responded. That says nothing of the owner:
               ///< a path may have led to a wrong address for a moment.
};

/// Returns the name of an outcome for logs. Thread safety: safe.
const char *toString(GrantOutcome Outcome);

/// Why keys have no owner any more.
enum class FreeReason {
  Released,     ///< The owner has released them.
  Expired,      ///< All grants that the owner may have had have run out.
  ProcessEnded, ///< The owner's process has ended for certain.
  Unreached,    ///< No grant can have reached the owner.
};

/// Returns the name of a reason for logs. Thread safety: safe.
const char *toString(FreeReason Reason);

/// Keys that have lost their owner, and what was known of its grants then.
struct FreedKeys {
  KeyRange m_range; ///< As it was with that owner.
  FreeReason m_reason = FreeReason::Released;
  /// When the last grant that the owner may have had runs out; Instant() when
  /// it can have had none.
  Instant m_grantsEnd;
};

/// Decides who owns the keys of one service, while this host is the
/// coordinator.
///
/// Safety rests on four rules:
/// - An owner is recorded in the store before it is sent a grant.
/// - Keys are assigned to a new owner only when the previous owner has released
///   them, every grant that it may have has expired, or its process has ended
///   for certain. A grant is reckoned from its end, because the upstream counts
///   it from its arrival; while it is under way, it has no end.
/// - Each new owner, each new incarnation of an owner and each new connection
///   to an owner gets a higher token.
/// - A host that becomes coordinator raises all tokens first, so that grants of
///   its predecessor are refused from then on. An owner that has not confirmed
///   its new token is assumed to hold its keys for the longest time for which
///   the predecessor could have granted them.
/// After a restore of the store, an owner keeps its keys only if it shows that
/// it has seen no token of another coordinator; see resume().
/// Thread safety: none.
class KeyCoordinator {
public:
  struct Settings {
    /// Duration of a grant while the store is reachable. The keys of an owner
    /// that does not respond can be reassigned after this time.
    Duration m_grantDuration = std::chrono::milliseconds(3500);
    /// Duration of a grant while the store is unreachable. Keys cannot be
    /// reassigned then anyway.
    Duration m_longGrantDuration = std::chrono::seconds(10);
    Duration m_renewInterval = std::chrono::milliseconds(900);
    /// Renewals a second above which they are sent less often: a coordinator on
    /// a fifth of a core can not send 4,000.
    double m_maxRenewalRate = 1500;
    /// Longest interval of renewals. A grant still allows for a lost renewal.
    Duration m_maxRenewInterval = std::chrono::milliseconds(1600);
    Duration m_retryInterval = std::chrono::milliseconds(100);
    /// Longest time for which a predecessor may still send grants. The store
    /// may end its lease without its knowledge.
    Duration m_predecessorTime = std::chrono::seconds(2);
    /// Longest time from when a predecessor sends a grant until it arrives or
    /// its connection has been reset.
    Duration m_predecessorDeliveryTime = std::chrono::milliseconds(700);
    /// Share by which the clock of an upstream may run slow.
    double m_clockSlack = 0.02;
    /// Longest time for which packets of a connection that has been reset stay
    /// in the network.
    Duration m_networkTime = std::chrono::milliseconds(300);
    /// Time after the plan of a write within which a first grant under a token
    /// from that write may be sent. The response to the write may be late, and
    /// says only that no other host was coordinator when it was carried out.
    Duration m_firstGrantWindow = std::chrono::milliseconds(300);
    /// Time after a write for which keys stay assigned to an owner to which no
    /// grant could be sent.
    Duration m_confirmTimeout = std::chrono::milliseconds(700);
    Duration m_planInterval = std::chrono::milliseconds(250);
  };

  struct Commands {
    std::vector<GrantCommand> m_grants;
    std::vector<ReleaseCommand> m_releases;
    /// Table to be written to the store, on the condition that the stored table
    /// has not changed since the last write. Call onWritten() when the write
    /// has succeeded.
    std::optional<KeyTable> m_write;
    /// Keys that have become free since the last call, for logs and metrics.
    std::vector<FreedKeys> m_freed;
  };

  KeyCoordinator(ServiceId Service, Settings CoordinatorSettings);

  /// Starts to coordinate from the table in the store. \p Stored is empty when
  /// the store has no table yet.
  void takeOver(const std::optional<KeyTable> &Stored, Instant Now);

  /// As takeOver(), if the stored table may be older than grants that are still
  /// in force, because the store has come back from an older copy. Nobody is
  /// granted keys until all earlier grants have run out. \p Era: the present
  /// one of the store; all tokens are above those of earlier eras.
  /// \p Restored: a time after the restore.
  void takeOverRestored(const std::optional<KeyTable> &Stored, StoreEra Era,
                        Instant Restored);

  /// Goes on after the store has come back from an older copy, with what this
  /// object knows. Another host may have replaced this one before the restore,
  /// so each owner is first sent a renewal of its grant. An owner that accepts
  /// it keeps its keys and gets a higher token. All other keys stay without a
  /// grant until all earlier grants have run out. Nothing is written until all
  /// renewals have ended.
  /// \p Restored: a time after the restore. \p VerifyUntil: the end of the
  /// lease that this host held before the restore; no renewal is sent later.
  /// Preconditions: this host learned of the restore while that lease was
  /// valid; nobody has written the table in \p Era; commands under way have
  /// ended, or their connections have been reset; a connection that carried a
  /// first grant still carries its renewals, unless it has been reset.
  void resume(StoreEra Era, Instant Restored, Instant VerifyUntil);

  /// True while takeOverRestored() lets nobody be granted keys; view() then
  /// says nothing of the owners.
  bool awaitsEarlierGrants(Instant Now) const {
    return Now < m_earlierGrantsUntil;
  }

  /// Returns the commands to be sent and the table to be written now. To be
  /// called many times a second.
  Commands tick(const KeyCandidates &Candidates, const KeyLoad &Load,
                const OwnerRates &Rates, bool StoreReachable, Instant Now);

  /// Reports the outcome of a grant command, once for each: its keys stay with
  /// their owner until then. \p Now: the grant has not arrived later than that,
  /// apart from packets that are still in the network.
  void onGrant(CommandId Id, GrantOutcome Outcome, Instant Now);
  /// Reports the outcome of a release command. \p Handover is what the owner
  /// returned with its response; it is ignored when \p Answered is false, that
  /// is when no response arrived.
  void onRelease(CommandId Id, bool Answered, const std::string &Handover,
                 Instant Now);
  /// Reports that the write of the last table succeeded. Must be called only
  /// once that is certain.
  void onWritten(Instant Now);

  /// The owners to which requests of callers may be sent now. Ranges that are
  /// being moved have no owner.
  KeyTable view() const;
  /// Grows whenever view() changes.
  std::uint32_t step() const { return m_step; }
  /// True when each key has an owner that has confirmed its token.
  bool allConfirmed() const;

private:
  enum class Phase { Held, Releasing, Free };

  /// Whether this object knows who may hold the keys.
  enum class Trust {
    Known,
    Verifying, ///< The owner is asked whether it has seen a higher token.
    Unknown,   ///< Any upstream may hold the keys until m_latestExpiry.
  };

  /// A range of keys, its owner and the commands sent to that owner.
  struct RangeState {
    KeyRange m_range;
    Phase m_phase = Phase::Held;
    Trust m_trust = Trust::Known;
    bool m_confirmed = false; ///< The owner has confirmed this token.
    bool m_serving = false;   ///< Requests of callers may go to the owner.
    /// The range needs a higher token, written to the store, before its next
    /// grant.
    bool m_needsHigherToken = false;
    bool m_released = false;     ///< The owner has confirmed the release.
    bool m_moveWanted = false;   ///< The keys are to go to another owner.
    bool m_longGrant = false;    ///< The last grant had the long duration.
    UpstreamId m_moveTarget;     ///< Empty when any owner will do.
    CommandId m_commandInFlight; ///< Zero for none.
    /// Duration of the grant in flight; zero for a release.
    Duration m_durationInFlight{};
    /// Grants that were in flight when a write replaced the range, with their
    /// durations. Only their ends matter.
    std::map<CommandId, Duration> m_earlierGrants;
    /// When the write of this owner and token to the store succeeded.
    Instant m_storedAt;
    /// When that write was planned. The store has carried it out later.
    Instant m_writePlannedAt;
    Instant m_lastSentAt;
    /// All grants that the owner may have are expired from this time on, apart
    /// from those in flight; Instant() when no other can have reached it.
    Instant m_latestExpiry;
    /// Until this time, an earlier grant whose outcome is unknown may still
    /// take effect.
    Instant m_uncertainUntil;

    bool grantInFlight() const {
      return m_commandInFlight.value() != 0 && m_durationInFlight > Duration();
    }
    bool anythingInFlight() const {
      return m_commandInFlight.value() != 0 || !m_earlierGrants.empty();
    }
  };

  /// The states that replace the one at an index once the table is written.
  struct Replacement {
    std::size_t m_index;
    std::vector<RangeState> m_newStates;
  };

  void advancePhase(RangeState &State, const KeyCandidates &Candidates,
                    Instant Now);
  void startRelease(RangeState &State, Instant Now);
  void makeFree(RangeState &State, FreeReason Reason);
  void cancelRelease(RangeState &State, const KeyCandidate &Owner);
  /// Keeps the keys from everybody until \p Until, when all grants that any
  /// upstream may have had have run out.
  static void distrust(RangeState &State, Instant Until);
  /// advancePhase() for keys whose holder is not known for certain.
  void advanceUntrusted(RangeState &State, Instant Now);
  bool verifying() const;
  Duration renewInterval() const;
  void issueCommand(RangeState &State, bool StoreReachable,
                    Commands &NewCommands, Instant Now);
  void planRebalance(const KeyCandidates &Candidates, const KeyLoad &Load,
                     const OwnerRates &Rates, Instant Now);
  void planMerges();
  void splitForMove(const KeyPlacement &Move);
  std::optional<KeyTable> planWrite(const KeyCandidates &Candidates,
                                    const KeyLoad &Load, Instant Now);
  /// The longest time for which an upstream takes a grant to last.
  Duration maxHold(Duration GrantDuration) const;
  /// When a grant has run out that ended at \p Now with \p Outcome; Instant()
  /// if it certainly has not reached the owner.
  Instant grantEnd(GrantOutcome Outcome, Duration GrantDuration,
                   Instant Now) const;
  /// A grant may have reached the owner, and may be carried out later. Its
  /// connection has been reset by \p Now.
  void onUncertainGrant(RangeState &State, Duration GrantDuration,
                        Instant Now) const;
  /// Reports the outcome of one of m_earlierGrants.
  void onEarlierGrant(CommandId Id, GrantOutcome Outcome, Instant Now);
  /// Takes over what is known of grants to the owner of both states.
  static void carryGrants(const RangeState &From, RangeState &To);
  void placeFree(const KeyCandidates &Candidates, const KeyLoad &Load);
  void mergeRangeStates();
  RangeState *findByCommand(CommandId Id);
  std::vector<KeyRange> ownedRanges() const;
  /// The time from which on a predecessor's grants have run out.
  Instant earlierGrantsEnd(Instant Now) const;
  /// Makes all later tokens and versions higher than those of earlier eras.
  void startEra(StoreEra Era);
  FencingToken nextToken();
  void incrementStep() { ++m_step; }

  ServiceId m_service;
  Settings m_settings;
  std::vector<RangeState> m_rangeStates;   ///< In order of their keys.
  std::vector<Replacement> m_replacements; ///< Applied by onWritten().
  std::vector<FreedKeys> m_freed;          ///< Since the last tick().
  bool m_writing = false;
  Instant m_writePlannedAt; ///< Of the last write.
  std::uint64_t m_version = 0;
  FencingToken m_lastToken;
  std::uint64_t m_nextCommand = 0;
  std::uint32_t m_step = 0;
  Instant m_lastPlannedAt;
  Instant m_earlierGrantsUntil; ///< See awaitsEarlierGrants().
  Instant m_verifyUntil;        ///< See resume().
};

} // namespace burdockpulley

#endif
