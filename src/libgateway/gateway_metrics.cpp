#include "gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace burdockpulley {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5};

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name,
                         const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

prometheus::Family<prometheus::Counter> &
counter(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_requests(counter(m_registry, "burdockpulley_gateway_requests_total",
                         "Callers' requests by route and outcome")),
      m_requestSeconds(prometheus::BuildHistogram()
                           .Name("burdockpulley_gateway_request_seconds")
                           .Help("Time from a request's arrival to its answer")
                           .Register(m_registry)),
      m_returns(counter(m_registry, "burdockpulley_gateway_returns_total",
                        "Requests that were refused before and have come "
                        "back, by route and outcome")),
      m_quotaRefusals(counter(m_registry,
                              "burdockpulley_gateway_quota_refusals_total",
                              "Requests refused by quota, by team")),
      m_aboveShare(counter(m_registry,
                           "burdockpulley_gateway_above_share_total",
                           "Requests ranked behind others as their team was "
                           "above its share, by team")),
      m_heldForUrgent(counter(
          m_registry, "burdockpulley_gateway_requests_held_for_urgent_total",
          "Requests held back as slots are reserved for other "
          "priorities, by route")),
      m_reservedSlots(
          prometheus::BuildGauge()
              .Name("burdockpulley_gateway_reserved_slots")
              .Help("Slots that the least urgent requests leave free, by "
                    "service")
              .Register(m_registry)),
      m_unknownApiKeys(counter(m_registry,
                               "burdockpulley_gateway_unknown_api_keys_total",
                               "Requests refused as they had no known API key")
                           .Add({})),
      m_attempts(counter(m_registry, "burdockpulley_gateway_attempts_total",
                         "Attempts at upstreams by service and end")),
      m_retries(counter(m_registry, "burdockpulley_gateway_retries_total",
                        "Requests sent again, by service and whether the "
                        "retry budget was charged")),
      m_metFullUpstream(counter(
          m_registry, "burdockpulley_gateway_requests_met_full_upstream_total",
          "Attempts at upstreams that refused them as full, or were "
          "full and did not answer, by service")),
      m_storeCalls(counter(m_registry,
                           "burdockpulley_gateway_store_calls_total",
                           "Calls to the platform's store by result")),
      m_grantSeconds(prometheus::BuildHistogram()
                         .Name("burdockpulley_gateway_grant_seconds")
                         .Help("Time from the decision to grant keys to its "
                               "end, by outcome")
                         .Register(m_registry)),
      m_keysFreed(counter(m_registry, "burdockpulley_gateway_keys_freed_total",
                          "Ranges of keys that lost their owner, by reason")),
      m_chargedBytes(
          prometheus::BuildGauge()
              .Name("burdockpulley_gateway_memory_bytes")
              .Help("Memory that callers and upstreams take, by kind")
              .Register(m_registry)),
      m_callersLimited(
          counter(m_registry, "burdockpulley_gateway_callers_limited_total",
                  "Requests refused before they were read, and connections "
                  "closed, by listener and reason")),
      m_maxChargedBytes(gauge(m_registry,
                              "burdockpulley_gateway_memory_limit_bytes",
                              "Limit of the memory of all kinds")),
      m_rejectedDatagrams(
          gauge(m_registry, "burdockpulley_gateway_rejected_datagrams",
                "Datagrams dropped because no host has made them")),
      m_revision(gauge(m_registry, "burdockpulley_gateway_config_revision",
                       "Configuration in force on this host")),
      m_waitingRequests(gauge(m_registry,
                              "burdockpulley_gateway_requests_waiting",
                              "Requests that wait for room at an upstream")),
      m_heardHosts(gauge(m_registry, "burdockpulley_gateway_heard_hosts",
                         "Hosts whose load is known to this one")),
      m_sharingHosts(gauge(m_registry, "burdockpulley_gateway_sharing_hosts",
                           "Hosts with equal shares of the limits of all")),
      m_pathsLost(gauge(m_registry, "burdockpulley_gateway_upstreams_lost",
                        "One while this host reaches no upstream itself")),
      m_limitedUpstreams(gauge(m_registry,
                               "burdockpulley_gateway_limited_upstreams",
                               "Upstreams that limit their requests")),
      m_pausedUpstreams(gauge(m_registry,
                              "burdockpulley_gateway_paused_upstreams",
                              "Upstreams that want no requests from this "
                              "host for a while")),
      m_pacedUpstreams(gauge(m_registry,
                             "burdockpulley_gateway_paced_upstreams",
                             "Upstreams that have started or come back, and "
                             "do not get their full share yet")),
      m_leavingUpstreams(gauge(m_registry,
                               "burdockpulley_gateway_leaving_upstreams",
                               "Upstreams that have said in a response that "
                               "they leave")),
      m_coordinating(gauge(m_registry, "burdockpulley_gateway_coordinating",
                           "One while this host gives out keys")),
      m_storeContactAge(gauge(m_registry,
                              "burdockpulley_gateway_store_contact_seconds",
                              "Time since the store answered; -1 is never")),
      m_storeNewsAge(gauge(m_registry,
                           "burdockpulley_gateway_store_news_seconds",
                           "Time since the store answered or another host "
                           "forwarded its changes; -1 is never")) {}

void GatewayMetrics::onRequestEnded(const std::string &Route,
                                    std::string_view Outcome, Duration Time) {
  m_requests.Add({{"route", Route}, {"outcome", std::string(Outcome)}})
      .Increment();
  m_requestSeconds.Add({{"route", Route}}, LatencyBuckets)
      .Observe(std::chrono::duration<double>(Time).count());
}

void GatewayMetrics::onReturnEnded(const std::string &Route,
                                   std::string_view Outcome) {
  m_returns.Add({{"route", Route}, {"outcome", std::string(Outcome)}})
      .Increment();
}

std::string GatewayMetrics::teamLabel(const TeamId &Team) {
  bool Known = m_teamLabels.count(Team) != 0;
  if (!Known && m_teamLabels.size() < MaxTeamLabels)
    Known = m_teamLabels.insert(Team).second;
  return Known ? Team.value() : "(other)";
}

void GatewayMetrics::onQuotaRefusal(const TeamId &Team) {
  m_quotaRefusals.Add({{"team", teamLabel(Team)}}).Increment();
}

void GatewayMetrics::onAboveShare(const TeamId &Team) {
  m_aboveShare.Add({{"team", teamLabel(Team)}}).Increment();
}

void GatewayMetrics::onHeldForUrgent(const std::string &Route) {
  m_heldForUrgent.Add({{"route", Route}}).Increment();
}

void GatewayMetrics::setReservedSlots(const ServiceId &Service, double Slots) {
  m_reservedSlots.Add({{"service", Service.value()}}).Set(Slots);
}

void GatewayMetrics::onUnknownApiKey() { m_unknownApiKeys.Increment(); }

void GatewayMetrics::onGrantEnded(std::string_view Outcome, Duration Time) {
  m_grantSeconds.Add({{"outcome", std::string(Outcome)}}, LatencyBuckets)
      .Observe(std::chrono::duration<double>(Time).count());
}

void GatewayMetrics::onKeysFreed(std::string_view Reason) {
  m_keysFreed.Add({{"reason", std::string(Reason)}}).Increment();
}

void GatewayMetrics::onAttempt(const ServiceId &Service,
                               std::string_view Outcome) {
  m_attempts.Add({{"service", Service.value()}, {"end", std::string(Outcome)}})
      .Increment();
}

void GatewayMetrics::onRetry(const ServiceId &Service, bool Charged) {
  m_retries
      .Add({{"service", Service.value()}, {"charged", Charged ? "1" : "0"}})
      .Increment();
}

void GatewayMetrics::setFleet(std::size_t Heard, std::size_t Sharing) {
  m_heardHosts.Set(static_cast<double>(Heard));
  m_sharingHosts.Set(static_cast<double>(Sharing));
}

void GatewayMetrics::onFullUpstream(const ServiceId &Service) {
  m_metFullUpstream.Add({{"service", Service.value()}}).Increment();
}

void GatewayMetrics::onStoreCall(std::string_view Call,
                                 std::string_view Result) {
  m_storeCalls
      .Add({{"call", std::string(Call)}, {"result", std::string(Result)}})
      .Increment();
}

void GatewayMetrics::setMemory(const MemoryBudget &Budget) {
  m_maxChargedBytes.Set(static_cast<double>(Budget.maxBytes()));
  for (std::size_t Index = 0; Index < MemoryKindCount; ++Index) {
    auto Kind = static_cast<MemoryKind>(Index);
    m_chargedBytes.Add({{"kind", toString(Kind)}})
        .Set(static_cast<double>(Budget.used(Kind)));
  }
}

void GatewayMetrics::setCallerLimits(
    const char *Listener,
    const std::array<std::uint64_t, CallerLimitCount> &Counts) {
  for (std::size_t Index = 0; Index < CallerLimitCount; ++Index) {
    prometheus::Counter &Counter = m_callersLimited.Add(
        {{"listener", Listener},
         {"reason", toString(static_cast<CallerLimit>(Index))}});
    Counter.Increment(static_cast<double>(Counts[Index]) - Counter.Value());
  }
}

void GatewayMetrics::setRejectedDatagrams(std::uint64_t Count) {
  m_rejectedDatagrams.Set(static_cast<double>(Count));
}

void GatewayMetrics::setRevision(Revision Number) {
  m_revision.Set(static_cast<double>(Number.value()));
}

void GatewayMetrics::setWaiting(std::size_t Requests) {
  m_waitingRequests.Set(static_cast<double>(Requests));
}

void GatewayMetrics::setPathsLost(bool Lost) { m_pathsLost.Set(Lost ? 1 : 0); }

void GatewayMetrics::setLimitedUpstreams(std::size_t Count) {
  m_limitedUpstreams.Set(static_cast<double>(Count));
}

void GatewayMetrics::setPausedUpstreams(std::size_t Count) {
  m_pausedUpstreams.Set(static_cast<double>(Count));
}

void GatewayMetrics::setPacedUpstreams(std::size_t Count) {
  m_pacedUpstreams.Set(static_cast<double>(Count));
}

void GatewayMetrics::setLeavingUpstreams(std::size_t Count) {
  m_leavingUpstreams.Set(static_cast<double>(Count));
}

void GatewayMetrics::setCoordinating(bool IsCoordinator) {
  m_coordinating.Set(IsCoordinator);
}

void GatewayMetrics::setStoreNewsAge(double Seconds) {
  m_storeNewsAge.Set(Seconds);
}

void GatewayMetrics::setStoreContactAge(double Seconds) {
  m_storeContactAge.Set(Seconds);
}

std::string GatewayMetrics::text() const {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace burdockpulley
