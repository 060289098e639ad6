#ifndef BURDOCKPULLEY_LIBHOST_KEEPER_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_KEEPER_DRIVER_H

#include "burdockpulley/repeating_timer.h"
#include "host_state.h"
#include "load_driver.h"
#include "upstream_pool.h"

#include "burdockpulley/admission.h"
#include "burdockpulley/cold_start_ramp.h"
#include "peer_types.h"

#include <functional>
#include <map>

namespace burdockpulley {

/// The keeper's role for requests: admits each to its upstream, sends it when
/// a slot is free, and turns what comes back into the one final reply.
///
/// All requests to an upstream come through its keeper, so its slots hold over
/// all entry hosts together.
///
/// Thread safety: none; it belongs to the loop's thread.
class KeeperDriver {
public:
  using Callback = std::function<void(wire::ForwardReply &&)>;

  KeeperDriver(event_base *Base, HostState &State, UpstreamPool &Pool,
               LoadDriver &Loads);

  /// Runs a request of host \p From on its upstream. \p Done is called once.
  void serve(const HostId &From, wire::ForwardRequest &&Request, Callback Done,
             Instant Now);

  /// Nobody waits for a request any more: it is not run if it has not been
  /// sent yet. Its reply is sent all the same.
  void cancel(const HostId &From, std::int64_t Id);

  /// Ends the wait of all requests of a host that is lost.
  void onPeerLost(const HostId &Peer);

  /// Requests that wait or run.
  std::size_t inFlight() const;

private:
  struct Work {
    HostId m_from;
    wire::ForwardRequest m_request;
    Callback m_done;
    Instant m_deadline;
  };

  struct Row {
    Row(const Upstream &Which, Instant Now);

    Endpoint m_address;
    std::uint32_t m_slots;
    AdmissionQueue m_queue;
    ColdStartRamp m_ramp;
    std::map<AdmissionTicket, Work> m_work;
  };

  Row &find(const Upstream &Which, Instant Now);
  bool granted(const Upstream &Target, const wire::ForwardRequest &Request,
               Instant Now) const;
  void startWaiting(const UpstreamId &Name, Instant Now);
  void send(const Upstream &Target, Row &Each, Work &&Next, Instant Now);
  void traceEnd(Span Hop, HttpError Error, int Status);
  void onEnd(const UpstreamId &Name, HttpError Error, int Status, Instant Sent,
             Instant Now);
  void refuse(Row &Each, const std::vector<AdmissionRefusal> &Refused);
  void end(Row &Each, AdmissionTicket Ticket, const std::string &Reason,
           Duration RetryAfter);
  void sweep(Instant Now);

  HostState &m_state;
  UpstreamPool &m_pool;
  LoadDriver &m_loads;
  std::map<UpstreamId, Row> m_rows;
  std::uint64_t m_lastTicket = 0;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
