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

/// What goes wrong at one time. Test code.
enum class FaultKind {
  StoreDown,
  StoreSlow, ///< For one host.
  HostCrash,
  HostPause,
  HostOffStore,
  HostOffPeers,
  HostSuspected,
  UpstreamCrash,
  UpstreamFreeze,
  UpstreamOff,
  UpstreamOneSided, ///< One host of its domain reaches it, nobody else.
  LateMessages,     ///< Target 0: all; else orders to upstreams.
  LostMessages,
  Move,
};
/// Numbers from the last kind on stand for it too, so that it comes often.
constexpr int FaultKindNumbers = 18;

/// The kind of a number. Precondition: less than FaultKindNumbers.
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

/// Some hosts, upstreams and a store in memory, on one simulated time, with the
/// production decisions in the middle. Test code.
class OwnershipModel {
public:
  OwnershipModel(std::vector<Fault> Faults, std::uint64_t Seed, Mutation Rules);

  /// Runs until the faults are over and some time more. Returns what was
  /// violated, or nothing.
  std::string run();

  std::size_t steps() const { return m_steps; }

private:
  struct ModelHost {
    HostId m_name;
    DomainId m_domain;
    double m_rate = 1;
    Duration m_offset{};
    bool m_alive = true;
    Duration m_pausedUntil{};
    int m_life = 0;
    KeeperTable m_keepers;
    OwnershipTable m_ownership;
    StoreVersion m_seen;
    std::set<HostId> m_lost;
    bool m_reading = false;
    std::unique_ptr<KeeperController> m_keeping;
  };
  struct ModelUpstream {
    UpstreamId m_name;
    double m_rate = 1;
    bool m_alive = true;
    Duration m_frozenUntil{};
    int m_life = 0;
    std::unique_ptr<GrantGuard> m_guard;
    KeeperEpoch m_highest;
  };
  using Action = std::function<void()>;

  void declare();
  void at(Duration Time, Action What);
  void toHost(std::size_t Index, Duration Delay, Action What);
  Duration delay(bool Order = false);
  bool chance(double Probability);
  bool reaches(std::size_t Index, std::size_t Target) const;
  bool active(FaultKind Kind, int Target) const;
  Instant now(const ModelHost &Host) const;
  Duration clock(const ModelUpstream &Which) const;
  KeeperController::Tables tables(const ModelHost &Host) const;
  void begin(const Fault &What);
  void startHost(std::size_t Index);
  void startUpstream(std::size_t Index);
  void tick(std::size_t Index, int Life);
  void detect(ModelHost &Host);
  void readStore(std::size_t Index);
  void applyRange(ModelHost &Host, const StoreRange &Range);
  void commit(std::size_t Index, const StoreTransaction &Change);
  void sendOrder(std::size_t Index,
                 const KeeperController::OutgoingGrant &What);
  void deliver(std::size_t Index, std::size_t Target,
               const GrantRequest &Order);
  void ask(std::size_t Index, const VersionQuery &Question);
  void coordinate(std::size_t Index);
  void planMove(const Fault &What);
  std::string check();
  std::string checkStore();
  std::string checkProgress();

  std::vector<Fault> m_faults;
  std::mt19937_64 m_random;
  Mutation m_rules;
  Declarations m_declared;
  StoreState m_store;
  std::vector<ModelHost> m_hosts;
  std::vector<ModelUpstream> m_upstreams;
  std::multimap<Duration, Action> m_queue;
  std::map<std::string, std::uint64_t> m_floors;
  Duration m_time{};
  Duration m_calm{};
  std::size_t m_steps = 0;
};

} // namespace burdockpulley

#endif
