#ifndef BURDOCKPULLEY_LIBHOST_UPSTREAM_POOL_H
#define BURDOCKPULLEY_LIBHOST_UPSTREAM_POOL_H

#include "burdockpulley/declarations.h"
#include "burdockpulley/http.h"
#include "burdockpulley/response_memory.h"

#include <map>
#include <memory>

namespace burdockpulley {

/// Connections to the upstreams that this host keeps.
/// Thread safety: none; it belongs to the loop's thread.
class UpstreamPool {
public:
  /// Precondition: \p Base outlives the pool.
  explicit UpstreamPool(event_base *Base) : m_base(Base) {}

  /// The client for requests to an upstream; at most one call a slot.
  HttpClient &requests(const Upstream &Which);

  /// The client for grants; it never waits behind requests.
  HttpClient &control(const Upstream &Which);

private:
  struct Entry {
    Endpoint m_address;
    std::uint32_t m_slots = 0;
    std::unique_ptr<HttpClient> m_requests;
    std::unique_ptr<HttpClient> m_control;
  };

  Entry &find(const Upstream &Which);
  void retire(Entry &Row);

  /// Twice the largest response, so that upstreams that send without end do not
  /// use up the memory of the process.
  static constexpr std::size_t MaxResponseMemory = 128 << 20;

  event_base *m_base;
  ResponseMemory m_responseMemory{MaxResponseMemory};
  std::map<UpstreamId, Entry> m_entries;
  std::vector<std::unique_ptr<HttpClient>> m_retired; ///< Calls in flight.
};

} // namespace burdockpulley

#endif
