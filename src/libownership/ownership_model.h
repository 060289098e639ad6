#ifndef BURDOCKPULLEY_LIBOWNERSHIP_OWNERSHIP_MODEL_H
#define BURDOCKPULLEY_LIBOWNERSHIP_OWNERSHIP_MODEL_H

#include "burdockpulley/keeper_controller.h"
#include "burdockpulley/store_state.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace burdockpulley {

/// Kinds of faults. The target is a host, an upstream or, for Move, a
/// partition. Test code.
enum class FaultKind {
  StoreDown,
  StoreSlow, ///< For one host.
  HostCrash,
  HostPause,
  HostCutFromStore,
  HostCutFromPeers,
  HostSuspected, ///< The other hosts consider it lost.
  UpstreamCrash,
  UpstreamFreeze,
  UpstreamUnreachable,
  UpstreamReachableByOneHost, ///< Only by one host of its domain.
  LateMessages, ///< Target 0: all messages; else grant requests only.
  LostMessages,
  Move, ///< Not a fault: a move of a partition starts.
};
/// Number of integers that map to a fault kind. Those from Move on all map to
/// Move, so that generated scenarios contain many moves.
constexpr int FaultKindNumbers = 18;

/// The fault kind of an integer. Precondition: less than FaultKindNumbers.
inline FaultKind faultKind(int Number) {
  return static_cast<FaultKind>(
      std::min(Number, static_cast<int>(FaultKind::Move)));
}

struct Fault {
  FaultKind m_kind;
  int m_target = 0;
  Duration m_start{};
  Duration m_length{};
};

/// Simulates hosts, upstreams and an in-memory store on one simulated time. The
/// decisions are made by the production code. Test code.
class OwnershipModel {
public:
  OwnershipModel(std::vector<Fault> Faults, std::uint64_t Seed,
                 Mutation DisabledRule);

  /// Runs until some time after the last fault has ended. Returns a description
  /// of the first violation; empty when there is none.
  std::string run();

  std::size_t steps() const { return m_steps; }

private:
  struct ModelHost {
    HostId m_name;
    DomainId m_domain;
    double m_clockRate = 1;
    Duration m_clockOffset{};
    bool m_alive = true;
    Duration m_pausedUntil{};
    int m_incarnation = 0;
    KeeperTable m_keepers;
    OwnershipTable m_ownership;
    StoreVersion m_seen;
    std::set<HostId> m_lost;
    bool m_readInFlight = false;
    std::unique_ptr<KeeperController> m_controller;
  };
  struct ModelUpstream {
    UpstreamId m_name;
    double m_clockRate = 1;
    bool m_alive = true;
    Duration m_frozenUntil{};
    int m_incarnation = 0;
    std::unique_ptr<GrantGuard> m_guard;
    KeeperEpoch m_highestEpoch; ///< That the guard has been seen with.
  };
  using Action = std::function<void()>;

  void declare();
  void schedule(Duration Time, Action Task);
  void scheduleOnHost(std::size_t HostIndex, Duration Delay, Action Task);
  Duration messageDelay(bool IsGrantRequest = false);
  bool chance(double Probability);
  bool canReach(std::size_t HostIndex, std::size_t UpstreamIndex) const;
  bool active(FaultKind Kind, int Target) const;
  Instant now(const ModelHost &Host) const;
  Duration clock(const ModelUpstream &Server) const;
  KeeperController::Tables tables(const ModelHost &Host) const;
  void startFault(const Fault &Started);
  void startHost(std::size_t HostIndex);
  void startUpstream(std::size_t UpstreamIndex);
  void tick(std::size_t HostIndex, int Incarnation);
  void updateLostHosts(ModelHost &Host);
  void readStore(std::size_t HostIndex);
  void applyRange(ModelHost &Host, const StoreRange &Range);
  void commit(std::size_t HostIndex, const StoreTransaction &Change);
  void sendGrantRequest(std::size_t HostIndex,
                        const KeeperController::OutgoingGrant &Outgoing);
  void deliver(std::size_t HostIndex, std::size_t UpstreamIndex,
               const GrantRequest &Request);
  void sendVersionQuery(std::size_t HostIndex, const VersionQuery &Query);
  void assignFirstOwners(std::size_t HostIndex);
  void startMove(const Fault &Move);
  std::string checkInvariants();
  std::string checkStore();
  std::string checkProgress();

  std::vector<Fault> m_faults;
  std::mt19937_64 m_random;
  Mutation m_disabledRule;
  Declarations m_declared;
  StoreState m_store;
  std::vector<ModelHost> m_hosts;
  std::vector<ModelUpstream> m_upstreams;
  std::multimap<Duration, Action> m_queue;
  /// Highest token or epoch seen in the store, by partition or upstream.
  std::map<std::string, std::uint64_t> m_highestNumbers;
  Duration m_time{};
  Duration m_faultsEnd{};
  std::size_t m_steps = 0;
};

} // namespace burdockpulley

#endif
