#ifndef BURDOCKPULLEY_LIBHOST_ADMIN_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_ADMIN_DRIVER_H

#include "burdockpulley/embedded_store.h"
#include "burdockpulley/http.h"
#include "burdockpulley/peer.h"
#include "front_driver.h"
#include "host_state.h"
#include "metered_store.h"
#include "upstream_pool.h"

namespace burdockpulley {

/// What the operators' endpoints report on.
struct AdminSources {
  const HostState &m_state;
  const PeerNetwork &m_peers;
  const FrontDriver &m_front;
  const MeteredStore &m_store;
  UpstreamPool &m_pool;
  HostMetrics &m_metrics;
  StoreState *m_embedded; ///< Null with a real store.
  std::function<bool()> m_ready;
};

/// The operators' endpoints, on an address of their own that tenants do not
/// reach: /status, /metrics, /healthz and /readyz, and the store's protocol
/// when the store is embedded.
///
/// Thread safety: none; it belongs to the loop's thread.
class AdminDriver {
public:
  /// Precondition: \p Base and what \p Sources refers to outlive the driver.
  AdminDriver(event_base *Base, AdminSources Sources);

  /// Listens; port 0 takes a free one. Returns the bound port, or 0 when the
  /// address can not be had.
  std::uint16_t listen(const Endpoint &Where) { return m_server.listen(Where); }

private:
  HttpResponse answer(const HttpRequest &Request, Instant Now);
  std::string status(Instant Now) const;
  std::string metrics(Instant Now);

  AdminSources m_sources;
  HttpServer m_server;
};

/// Answers the health checks, which both ports have.
HttpResponse healthAnswer(const std::string &Path, bool Ready);

} // namespace burdockpulley

#endif
