#ifndef BURDOCKPULLEY_KEY_COORDINATOR_H
#define BURDOCKPULLEY_KEY_COORDINATOR_H

#include "burdockpulley/key_planner.h"
#include "burdockpulley/key_table.h"

#include <optional>
#include <vector>

namespace burdockpulley {

/// Names one order to an upstream within one process.
using CommandId = Strong<struct CommandIdTag, std::uint64_t>;

/// Gives keys to an upstream, or renews them.
struct GrantCommand {
  CommandId m_number;
  KeyRange m_range;
  Duration m_duration{};
  /// True for the first grant under a token. Renewals must go over the
  /// connection that took the first grant: behind another one might be another
  /// start of the upstream.
  bool m_first = false;
};

/// Takes keys back.
struct ReleaseCommand {
  CommandId m_number;
  KeyRange m_range;
};

/// How a grant has ended.
enum class GrantOutcome {
  Granted,
  Superseded, ///< The upstream has seen a higher token.
  NotSent,    ///< It has certainly not reached the upstream.
  Unanswered, ///< It may have been carried out, or may be later.
  Dead,       ///< Another upstream has the address: its process has ended.
};

/// Decides who owns the keys of one service, while this host coordinates.
///
/// Safety rests on four rules. An owner stands in the store before it is sent
/// a grant. Keys go to a new owner only when the old one has released them,
/// its process has ended, or every grant that it may have has run out. Each
/// new owner, each new start of an owner and each new connection to one gets
/// a higher token. Whoever takes over raises all tokens first, so that grants
/// of its predecessor are refused from then on; an owner that has not confirmed
/// its new token is taken to hold its keys for the longest time that the
/// predecessor could have given it.
/// Thread safety: none.
class KeyCoordinator {
public:
  struct Settings {
    /// How long a grant lasts while the store can be reached: keys of a silent
    /// owner are free after it.
    Duration m_grantDuration = std::chrono::milliseconds(3500);
    /// The same while it can not: nothing can be moved then anyway.
    Duration m_longGrantDuration = std::chrono::seconds(10);
    Duration m_renewEvery = std::chrono::milliseconds(900);
    Duration m_retryEvery = std::chrono::milliseconds(100);
    /// How much slower an upstream's clock may run.
    double m_clockSlack = 0.02;
    /// How long a sent grant may be on its way.
    Duration m_deliverySlack = std::chrono::milliseconds(300);
    /// How long after a write the grants that it allows may first be sent.
    Duration m_firstGrantTime = std::chrono::milliseconds(300);
    /// How long an upstream that nothing reaches keeps keys reserved.
    Duration m_confirmTime = std::chrono::milliseconds(700);
    Duration m_planEvery = std::chrono::milliseconds(250);
  };

  struct Commands {
    std::vector<GrantCommand> m_grants;
    std::vector<ReleaseCommand> m_releases;
    /// The table is to be written, under the condition that it has not
    /// changed since the last write; onWritten() says whether it was.
    std::optional<KeyTable> m_write;
  };

  KeyCoordinator(ServiceId Service, Settings Chosen);

  /// Begins to coordinate from the table in the store; nothing when there is
  /// none yet.
  void takeOver(const std::optional<KeyTable> &Stored, Instant Now);

  /// What is to be done now. Call it many times a second.
  /// \p BusyRate: see MoveLimits.
  Commands tick(const KeyCandidates &Candidates, const KeyLoad &Load,
                double BusyRate, bool StoreInReach, Instant Now);

  void onGrant(CommandId Number, GrantOutcome Outcome, Instant Now);
  /// A release was answered, with the handover; or not, when \p Answered is
  /// false.
  void onRelease(CommandId Number, bool Answered, const std::string &Handover,
                 Instant Now);
  /// The write was done. Only to be called once that is certain.
  void onWritten(Instant Now);

  /// Who serves which keys now: ranges in transit have no owner.
  KeyTable view() const;
  /// Grows whenever view() changes.
  std::uint32_t step() const { return m_step; }
  /// True when each key has an owner that has confirmed it.
  bool settled() const;

private:
  enum class Phase { Held, Releasing, Free };

  struct Holding {
    KeyRange m_range;
    Phase m_phase = Phase::Held;
    bool m_confirmed = false; ///< The owner has answered under this token.
    bool m_serving = false;   ///< Callers' requests may go to the owner.
    bool m_raise = false;     ///< Needs a higher token before the next grant.
    bool m_released = false;
    bool m_moveWanted = false;
    bool m_longHold = false; ///< The last grant was a long one.
    UpstreamId m_moveTo;
    CommandId m_order; ///< In flight; zero for none.
    Instant m_since;   ///< When the store had this owner and token.
    Instant m_lastSent;
    Instant m_before;     ///< m_heldUntil without the grant in flight.
    Instant m_heldUntil;  ///< The owner holds nothing after it.
    Instant m_doubtUntil; ///< Unanswered grants may take effect until then.
  };

  struct Replacement {
    std::size_t m_index;
    std::vector<Holding> m_with;
  };

  void advance(Holding &Which, const KeyCandidates &Candidates, Instant Now);
  void startRelease(Holding &Which, Instant Now);
  void makeFree(Holding &Which);
  void keepWithOwner(Holding &Which, const KeyCandidate &Owner);
  void issue(Holding &Which, bool StoreInReach, Commands &Out, Instant Now);
  void planRebalance(const KeyCandidates &Candidates, const KeyLoad &Load,
                     double BusyRate, Instant Now);
  void planMerges();
  void splitAt(const KeyPlacement &Move);
  std::optional<KeyTable> planWrite(const KeyCandidates &Candidates,
                                    const KeyLoad &Load, Instant Now);
  void placeFree(const KeyCandidates &Candidates, const KeyLoad &Load);
  void mergeHoldings();
  Holding *byOrder(CommandId Number);
  std::vector<KeyRange> ownedRanges() const;
  FencingToken nextToken();
  void changed() { ++m_step; }

  ServiceId m_service;
  Settings m_settings;
  std::vector<Holding> m_holdings;
  std::vector<Replacement> m_replacements; ///< Applied once written.
  bool m_writing = false;
  std::uint64_t m_version = 0;
  FencingToken m_lastToken;
  std::uint64_t m_nextCommand = 0;
  std::uint32_t m_step = 0;
  Instant m_lastPlan;
};

} // namespace burdockpulley

#endif
