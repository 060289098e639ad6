#include "ownership_driver.h"

#include "burdockpulley/event_log.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr Duration RenewInterval{300'000};
constexpr Duration GrantLease{1'000'000};
constexpr Duration GrantTimeout{500'000};
const UpstreamId CoordinatorItem("coordinator");

std::vector<HostId> allHosts(const Declarations &Declared) {
  std::vector<HostId> Hosts;
  for (const FailureDomain &Domain : Declared.m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts)
      Hosts.push_back(Host.m_name);
  return Hosts;
}

} // namespace

OwnershipDriver::OwnershipDriver(event_base *Base, Store &Target,
                                 HostState &State, UpstreamPool &Pool)
    : m_store(Target), m_state(State), m_pool(Pool),
      m_timer(Base, RenewInterval, [this](Instant) { wake(); }) {}

void OwnershipDriver::wake() {
  assignOwners();
  renewGrants();
}

void OwnershipDriver::assignOwners() {
  std::vector<HostId> Hosts = allHosts(m_state.declared());
  const HostId *Coordinator = chooseKeeper(CoordinatorItem, Hosts);
  if (!Coordinator || *Coordinator != m_state.m_settings.m_host ||
      m_writing != 0)
    return;
  for (const StoreTransaction &Change :
       planFirstOwners(m_state.declared(), m_state.m_ownership)) {
    ++m_writing;
    m_store.commit(Change, [this](const StoreReply<StoreCommit> &Reply) {
      --m_writing;
      if (const auto *Error = std::get_if<StoreError>(&Reply))
        logEvent(Severity::Warning, "owners-not-written",
                 {{"error", toString(*Error)}});
    });
  }
}

void OwnershipDriver::renewGrants() {
  for (const Upstream &Which : m_state.declared().m_upstreams) {
    const Service *Target = m_state.declared().findService(Which.m_service);
    if (Target->keyed() && m_state.keeperOf(Which) == m_state.m_settings.m_host)
      sendGrants(Which);
  }
}

void OwnershipDriver::sendGrants(const Upstream &Which) {
  HttpClient &Client = m_pool.control(Which);
  if (Client.inFlight() != 0)
    return;
  json Grants = json::array();
  std::uint32_t Partition = 0;
  for (const OwnershipChunk &Chunk :
       m_state.m_ownership.chunks(Which.m_service)) {
    for (const PartitionRow &Row : Chunk.m_rows) {
      if (Row.m_owner == Which.m_name)
        Grants.push_back({Partition, Row.m_token.value()});
      ++Partition;
    }
  }
  json Order = {{"keeper", m_state.m_settings.m_host.value()},
                {"leaseMs", GrantLease.count() / 1000},
                {"grants", Grants}};
  HttpRequest Request{"POST",
                      "/.burdockpulley/grants",
                      {{"Content-Type", "application/json"}},
                      Order.dump()};
  Client.call(std::move(Request), GrantTimeout,
              [](HttpError, HttpResponse &&) {});
}

} // namespace burdockpulley
