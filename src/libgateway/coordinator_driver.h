#ifndef BURDOCKPULLEY_LIBGATEWAY_COORDINATOR_DRIVER_H
#define BURDOCKPULLEY_LIBGATEWAY_COORDINATOR_DRIVER_H

#include "burdockpulley/channel_pool.h"
#include "burdockpulley/key_coordinator.h"
#include "gateway_state.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <set>

namespace burdockpulley {

/// Orders to one upstream, one at a time over one kept connection.
/// Thread safety: none; it belongs to the loop's thread.
class CommandQueue {
public:
  CommandQueue(event_base *Base, const Endpoint &Where);

  struct Order {
    HttpRequest m_request;
    /// The one connection over which it may go; zero for any.
    std::uint64_t m_connection = 0;
    Duration m_timeout{};
    std::function<bool()> m_allowed; ///< Asked right before it is sent.
    ChannelPool::Callback m_done;
  };

  void push(Order Next);
  const Endpoint &address() const { return m_address; }
  void sweep(Instant Now) { m_pool.sweep(Now); }

private:
  void startNext();

  Endpoint m_address;
  ChannelPool m_pool;
  std::deque<Order> m_orders;
  bool m_busy = false;
};

/// Elects one host that gives out keys, and carries out its decisions.
///
/// The coordinator is the host that holds a key of the store under a lease. It
/// acts only while its lease can not have ended, by a clock that goes on while
/// the machine is suspended.
/// Thread safety: none; it belongs to the loop's thread.
class CoordinatorDriver {
public:
  /// Preconditions: \p State and \p Source outlive the driver.
  CoordinatorDriver(GatewayState &State, WatchableStore &Source);

  /// The store's record of who coordinates was changed by the write with
  /// \p Version; empty for nobody.
  void onCoordinatorKnown(const HostId &Who, StoreVersion Version, Instant Now);

  /// All that the store holds is known now.
  void onRegistryLoaded(Instant Now);

  /// What hosts have counted. Ignored while another host coordinates.
  void onKeyLoad(const ServiceId &Service, std::uint32_t Key,
                 std::uint32_t Count);

  /// Call it many times a second.
  void tick(Instant Now);

  /// Gives the office up, so that another host can take it at once.
  void resign(Instant Now);

  bool coordinating() const { return m_epoch != 0; }
  std::int64_t epoch() const { return m_epoch; }
  HostId coordinator() const { return m_coordinator; }

  /// Called when who serves which keys has changed.
  std::function<void(const KeyTable &, std::uint32_t Step)> m_onView;
  /// Called when an upstream's process was found to have ended.
  std::function<void(const UpstreamId &, Instant)> m_onUpstreamDown;

private:
  struct Office {
    KeyCoordinator m_keys;
    KeyLoad m_load;
    StoreVersion m_tableVersion; ///< Of the table in the store.
    std::optional<KeyTable> m_writing;
    bool m_callInFlight = false;
    Instant m_nextCall;
    std::uint32_t m_toldStep = 0;
    /// The connection that took the first grant under each token.
    std::map<FencingToken, std::uint64_t> m_connectionOf;
    /// Processes found to have ended.
    std::set<std::pair<UpstreamId, UpstreamIncarnation>> m_dead;
  };

  void runForOffice(Instant Now);
  void delayElection(Duration Most, Instant Now);
  void onLease(const StoreReply<StoreLease> &Reply, Instant Began);
  void onElected(const StoreReply<StoreCommit> &Reply, Instant Began);
  void readTables();
  void onTables(const StoreReply<StoreRange> &Reply);
  void keepLease(Instant Now);
  void lose(const char *Why);
  bool mayAct(Instant Now) const;
  Office &office(const ServiceId &Service);
  void run(const ServiceId &Service, Office &Which, Instant Now);
  KeyCandidates candidates(const ServiceId &Service, const Office &Which,
                           Instant Now) const;
  double busyRate(const ServiceId &Service) const;
  void writeTable(const ServiceId &Service, Instant Now);
  void onTableWritten(const ServiceId &Service,
                      const StoreReply<StoreCommit> &Reply);
  void checkWrite(const ServiceId &Service);
  void sendGrant(const ServiceId &Service, const GrantCommand &Order);
  void sendRelease(const ServiceId &Service, const ReleaseCommand &Order);
  CommandQueue *line(const UpstreamId &Which);

  GatewayState &m_state;
  WatchableStore &m_source;
  HostId m_coordinator;
  bool m_known = false; ///< The store has said who coordinates.
  bool m_running = false;
  bool m_resigned = false;
  Instant m_runAt;
  std::uint32_t m_attempt = 0; ///< Numbers elections, so that late answers to
                               ///< earlier ones are dropped.
  StoreLease m_lease;
  StoreVersion m_officeVersion;
  Instant m_leaseUntil;
  Instant m_keptAt;
  bool m_keeping = false;
  bool m_reachable = true;
  std::int64_t m_epoch = 0;
  bool m_tablesRead = false;
  std::map<ServiceId, KeyTable> m_stored;
  std::map<ServiceId, StoreVersion> m_storedVersions;
  std::map<ServiceId, Office> m_offices;
  std::map<UpstreamId, std::unique_ptr<CommandQueue>> m_lines;
  std::map<Endpoint, std::unique_ptr<ChannelPool>> m_releases;
  std::mt19937_64 m_random;
};

} // namespace burdockpulley

#endif
