#ifndef BURDOCKPULLEY_LIBGATEWAY_KEY_COORDINATOR_MODEL_H
#define BURDOCKPULLEY_LIBGATEWAY_KEY_COORDINATOR_MODEL_H

#include "burdockpulley/key_coordinator.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace burdockpulley::model {

/// An upstream as the platform specifies it. It refuses lower tokens, counts
/// the duration of a grant from its arrival by a clock that may be 2% slow, may
/// carry out a grant seconds late, and loses all state when it restarts.
struct ModelUpstream {
  struct HeldKey {
    FencingToken m_token;
    FencingToken m_highestSeen;
    Instant m_heldUntil;
  };
  UpstreamId m_id;
  UpstreamIncarnation m_incarnation{1};
  bool m_draining = false;
  Instant m_unreachableUntil;
  /// A restart may change it; another upstream may then get the former one.
  int m_address = 0;
  /// As the registry shows them, which is some time after a restart.
  UpstreamIncarnation m_knownIncarnation{1};
  int m_knownAddress = 0;
  Instant m_incarnationKnownAt;
  std::map<std::uint32_t, HeldKey> m_keys; ///< Sampled keys only.

  void showInRegistry() {
    m_knownIncarnation = m_incarnation;
    m_knownAddress = m_address;
  }
};

/// Faults beside those of every world.
struct RareFaults {
  /// The response to a write of the table takes up to 1.5 s.
  bool m_lateWriteResponses = false;
  /// A coordinator that does not know yet that it is replaced may be the first
  /// to notice a restore.
  bool m_replacedNoticesRestore = false;
  /// The coordinator that has noticed a restore stops, and is elected again up
  /// to 2 s later.
  bool m_lateElectionAfterRestore = false;
  /// Grants arrive up to 300 ms after their connection was reset.
  bool m_packetsAfterReset = false;
};

/// Upstreams, a store and several coordinators in virtual time, with faults.
/// Checks after every step that no sampled key has two holders, and that each
/// new holder has a higher token than all others had.
/// Thread safety: none.
class CoordinatorModel {
public:
  explicit CoordinatorModel(std::uint64_t Seed, RareFaults Rare = {});

  /// Simulates \p Steps steps of 10 ms. False when a rule was violated; see
  /// violation().
  bool run(int Steps);

  /// What rule was violated; empty when none was.
  const std::string &violation() const { return m_violation; }
  /// The sampled keys that have a holder now.
  std::set<std::uint32_t> heldKeys() const;
  static std::size_t sampledKeyCount();

  /// Injects no faults from now on. No upstream is draining or unreachable any
  /// more.
  void stopFaults();

private:
  struct Coordinator {
    std::unique_ptr<KeyCoordinator> m_keys;
    std::uint64_t m_epoch = 0;
    bool m_active = false;
    /// When it stops acting after another one was elected.
    Instant m_activeUntil;
    std::uint64_t m_tableVersion = 0;
    std::optional<KeyTable> m_tableToWrite;
    bool m_writeInFlight = false;
    struct Connection {
      UpstreamIncarnation m_incarnation;
      std::uint64_t m_number = 0;
    };
    std::map<UpstreamId, Connection> m_connections;
    /// The connection over which the first grant under each token was sent.
    std::map<FencingToken, std::uint64_t> m_connectionOfToken;
    std::uint64_t m_lastConnection = 0;
    std::int64_t m_era = 1; ///< Of the store, when it was elected.
    /// As CoordinatorDriver keeps them.
    std::map<std::pair<UpstreamId, UpstreamIncarnation>, Instant>
        m_misdirectedAt;
    /// Starts of upstreams whose address another one has got.
    std::set<std::pair<UpstreamId, UpstreamIncarnation>> m_ended;
  };
  struct Event {
    Instant m_at;
    std::function<void()> m_run;
  };

  bool chance(double Probability);
  Duration randomDuration(Duration Min, Duration Max);
  void schedule(Duration After, std::function<void()> Run);
  void injectFaults();
  void electCoordinator();
  /// The store comes back from an older copy. The coordinator goes on once it
  /// notices, or another one is elected later.
  void restoreStore();
  /// A coordinator of the era before is elected, and goes on with what it knew.
  void resumeCoordinator(std::size_t Interrupted);
  void tickCoordinator(std::size_t CoordinatorIndex);
  KeyCandidates candidates(const Coordinator &For) const;
  void sendGrant(std::size_t CoordinatorIndex, const GrantCommand &Grant);
  /// The grant goes to an address that the owner had before.
  void sendToFormerAddress(std::size_t CoordinatorIndex,
                           const GrantCommand &Grant, Duration Delay,
                           const std::function<void(GrantOutcome)> &Report);
  void sendRelease(std::size_t CoordinatorIndex, const ReleaseCommand &Release);
  void write(std::size_t CoordinatorIndex);
  GrantOutcome applyGrant(ModelUpstream &Upstream,
                          UpstreamIncarnation Incarnation,
                          const GrantCommand &Grant, Instant Arrived);
  void checkHolders();

  std::mt19937_64 m_random;
  RareFaults m_rare;
  bool m_faultsStopped = false;
  Instant m_now{std::chrono::seconds(100)};
  std::vector<Event> m_events;
  std::map<UpstreamId, ModelUpstream> m_upstreams;
  std::vector<Coordinator> m_coordinators;
  std::uint64_t m_epoch = 0; ///< Of the elected coordinator, as in the store.
  std::optional<KeyTable> m_table;
  std::uint64_t m_tableVersion = 0;
  std::int64_t m_era = 1; ///< Of the store.
  /// Earlier contents of the store, of which one may come back.
  std::vector<std::pair<std::optional<KeyTable>, std::uint64_t>> m_copies;
  Instant m_restoredAt;
  bool m_restoring = false; ///< Nobody has been elected since a restore.
  KeyLoad m_load;
  /// Highest token by which each process has held each key.
  std::map<std::uint32_t,
           std::map<std::pair<UpstreamId, UpstreamIncarnation>, FencingToken>>
      m_highestTokens;
  std::string m_violation;
};

} // namespace burdockpulley::model

#endif
