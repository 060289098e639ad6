#ifndef BURDOCKPULLEY_LIBGATEWAY_GATEWAY_METRICS_H
#define BURDOCKPULLEY_LIBGATEWAY_GATEWAY_METRICS_H

#include "burdockpulley/types.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <string_view>

namespace burdockpulley {

/// The counters of one entry host. No label carries a key, a path or a caller.
/// Thread safety: none; it belongs to the loop's thread.
class GatewayMetrics {
public:
  GatewayMetrics();

  /// A caller's request has its final answer. \p Outcome is a fixed word.
  void onRequestEnded(const std::string &Route, std::string_view Outcome,
                      Duration Time);
  /// An attempt at an upstream has ended. \p End is a fixed word.
  void onAttempt(const ServiceId &Service, std::string_view End);
  /// A call to the store has ended. \p Call and \p Result are fixed words.
  void onStoreCall(std::string_view Call, std::string_view Result);
  /// A datagram was dropped because no host has made it.
  void setRejectedDatagrams(std::uint64_t Count);
  void setRevision(Revision Number);
  void setWaiting(std::size_t Requests);
  void setCoordinating(bool Yes);
  /// Negative when the store has never answered.
  void setStoreContactAge(double Seconds);

  /// All values in the text form that Prometheus reads.
  std::string text() const;

private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter> &m_requests;
  prometheus::Family<prometheus::Histogram> &m_seconds;
  prometheus::Family<prometheus::Counter> &m_attempts;
  prometheus::Family<prometheus::Counter> &m_storeCalls;
  prometheus::Gauge &m_rejected;
  prometheus::Gauge &m_revision;
  prometheus::Gauge &m_waiting;
  prometheus::Gauge &m_coordinating;
  prometheus::Gauge &m_storeContactAge;
};

} // namespace burdockpulley

#endif
