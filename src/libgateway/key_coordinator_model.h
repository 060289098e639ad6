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

/// One upstream as the platform describes it: it refuses lower tokens, counts
/// a grant's time from its arrival by a clock that may be 2% slow, may carry a
/// grant out seconds late, and forgets everything when it starts again.
struct ModelUpstream {
  struct Key {
    FencingToken m_token;
    FencingToken m_seen;
    Instant m_until;
  };
  UpstreamId m_id;
  UpstreamIncarnation m_incarnation{1};
  bool m_draining = false;
  Instant m_cutUntil;
  /// The registry shows an event of this upstream only after a while.
  UpstreamIncarnation m_knownIncarnation{1};
  Instant m_incarnationKnownAt;
  std::map<std::uint32_t, Key> m_keys; ///< By sampled key.
};

/// Upstreams, a store and several coordinators in virtual time, with faults.
/// Checks after every step that no key has two holders, and that each new
/// holder has a higher token than all others had.
/// Thread safety: none.
class CoordinatorModel {
public:
  explicit CoordinatorModel(std::uint64_t Seed);

  /// Plays \p Steps steps of 10 ms. False when a rule was broken; see fault().
  bool play(int Steps);

  const std::string &fault() const { return m_fault; }
  /// Those of the watched keys that have a holder just now.
  std::set<std::uint32_t> heldKeys() const;
  static std::size_t watchedKeys();

  /// No faults from now on; no upstream is draining or cut off any more.
  void calm();

private:
  struct Coordinator {
    std::unique_ptr<KeyCoordinator> m_keys;
    std::uint64_t m_epoch = 0;
    bool m_active = false;
    Instant m_until; ///< When it stops without the office.
    std::uint64_t m_tableVersion = 0;
    std::optional<KeyTable> m_writing;
    bool m_callInFlight = false;
    struct Connection {
      UpstreamIncarnation m_incarnation;
      std::uint64_t m_number = 0;
    };
    std::map<UpstreamId, Connection> m_connections;
    /// The connection over which each token was first sent.
    std::map<FencingToken, std::uint64_t> m_connectionOf;
    std::uint64_t m_lastConnection = 0;
  };
  struct Event {
    Instant m_at;
    std::function<void()> m_run;
  };

  bool chance(double Probability);
  Duration between(Duration Least, Duration Most);
  void later(Duration After, std::function<void()> Run);
  void makeTrouble();
  void elect();
  void drive(std::size_t Which);
  KeyCandidates candidates() const;
  void sendGrant(std::size_t Which, const GrantCommand &Order);
  void sendRelease(std::size_t Which, const ReleaseCommand &Order);
  void write(std::size_t Which);
  GrantOutcome carryOut(ModelUpstream &To, UpstreamIncarnation Incarnation,
                        const GrantCommand &Order, Instant Arrived);
  void check();

  std::mt19937_64 m_random;
  bool m_calm = false;
  Instant m_now{std::chrono::seconds(100)};
  std::vector<Event> m_events;
  std::map<UpstreamId, ModelUpstream> m_upstreams;
  std::vector<Coordinator> m_coordinators;
  std::uint64_t m_epoch = 0; ///< Of the office, in the store.
  std::optional<KeyTable> m_table;
  std::uint64_t m_tableVersion = 0;
  KeyLoad m_load;
  /// Highest token by which each process has held each key.
  std::map<std::uint32_t,
           std::map<std::pair<UpstreamId, UpstreamIncarnation>, FencingToken>>
      m_history;
  std::string m_fault;
};

} // namespace burdockpulley::model

#endif
