#include "admin_driver.h"

#include "burdockpulley/etcd_store.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

using nlohmann::json;

namespace {

json peerStatus(const HostState &State, const PeerNetwork &Peers) {
  json List = json::array();
  for (const FailureDomain &Domain : State.declared().m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts)
      if (Host.m_name != State.m_settings.m_host)
        List.push_back({{"host", Host.m_name.value()},
                        {"connected", Peers.connected(Host.m_name)},
                        {"lost", State.m_lostHosts.count(Host.m_name) != 0}});
  return List;
}

json upstreamStatus(const HostState &State, UpstreamPool &Pool) {
  json List = json::array();
  for (const Upstream &Which : State.declared().m_upstreams)
    if (State.keeperOf(Which) == State.m_settings.m_host)
      List.push_back({{"upstream", Which.m_name.value()},
                      {"service", Which.m_service.value()},
                      {"slots", Which.m_slots},
                      {"inFlight", Pool.requests(Which).inFlight()},
                      {"out", State.declared().outOfService(Which)}});
  return List;
}

} // namespace

HttpResponse healthAnswer(const std::string &Path, bool Ready) {
  if (Path == "/healthz")
    return {200, {}, "ok\n"};
  return {Ready ? 200 : 503, {}, Ready ? "ready\n" : "not ready\n"};
}

AdminDriver::AdminDriver(event_base *Base, AdminSources Sources)
    : m_sources(std::move(Sources)),
      m_server(Base, [this](HttpRequest &&Request, auto Responder) {
        Responder->send(answer(Request, bootClockNow()));
      }) {}

HttpResponse AdminDriver::answer(const HttpRequest &Request, Instant Now) {
  if (Request.m_target == "/healthz" || Request.m_target == "/readyz")
    return healthAnswer(Request.m_target, m_sources.m_ready());
  if (Request.m_target == "/status")
    return {200, {{"Content-Type", "application/json"}}, status(Now)};
  if (Request.m_target == "/metrics")
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics(Now)};
  if (!m_sources.m_embedded || !Request.m_target.starts_with("/v3/"))
    return {404, {}, "no such page\n"};
  HttpResponse Response;
  Response.m_status = answerEtcdCall(*m_sources.m_embedded, Request.m_target,
                                     Request.m_body, Now, Response.m_body);
  return Response;
}

std::string AdminDriver::status(Instant Now) const {
  const HostState &State = m_sources.m_state;
  json Status = {{"host", State.m_settings.m_host.value()},
                 {"failureDomain", State.m_settings.m_domain.value()},
                 {"revision", State.m_set->m_root.m_revision.value()},
                 {"publication", State.m_set->m_root.m_publication},
                 {"ready", m_sources.m_ready()},
                 {"requestsInFlight", m_sources.m_front.inFlight()},
                 {"storeContactAgeMs", nullptr},
                 {"peers", peerStatus(State, m_sources.m_peers)},
                 {"upstreams", upstreamStatus(State, m_sources.m_pool)}};
  if (auto Age = m_sources.m_store.contactAge(Now))
    Status["storeContactAgeMs"] = Age->count() / 1000;
  return Status.dump(2) + "\n";
}

std::string AdminDriver::metrics(Instant Now) {
  HostMetrics &Metrics = m_sources.m_metrics;
  Metrics.setRevision(m_sources.m_state.m_set->m_root.m_revision);
  Metrics.setInFlight(m_sources.m_front.inFlight());
  auto Age = m_sources.m_store.contactAge(Now);
  Metrics.setStoreContactAge(Age ? std::chrono::duration<double>(*Age).count()
                                 : -1);
  return Metrics.text();
}

} // namespace burdockpulley
