#include "load_driver.h"

#include "peer_types.h"

namespace burdockpulley {

namespace {

constexpr Duration ReportInterval{1'000'000};
constexpr Duration RateTimeConstant{5'000'000};

wire::LoadReport toReport(const Upstream &Which, const UpstreamLoad &Load) {
  wire::LoadReport Report;
  Report.serviceName = Which.m_service.value();
  Report.upstream = Which.m_name.value();
  Report.requestsPerSecond = Load.m_requestsPerSecond;
  for (const PartitionLoad &Busy : Load.m_busiest) {
    wire::PartitionRate Rate;
    Rate.partition = static_cast<std::int32_t>(Busy.m_partition.value());
    Rate.requestsPerSecond = Busy.m_requestsPerSecond;
    Report.busiest.push_back(Rate);
  }
  return Report;
}

} // namespace

LoadDriver::LoadDriver(event_base *Base, HostState &State, PeerNetwork &Peers)
    : m_state(State), m_peers(Peers),
      m_timer(Base, ReportInterval, [this](Instant Now) { report(Now); }) {}

void LoadDriver::count(const UpstreamId &Upstream, PartitionIndex Partition) {
  m_meters.try_emplace(Upstream, RateTimeConstant)
      .first->second.count(Partition);
}

void LoadDriver::onReport(const wire::LoadReport &Report) {
  UpstreamLoad Load;
  Load.m_requestsPerSecond = Report.requestsPerSecond;
  for (const wire::PartitionRate &Rate : Report.busiest)
    Load.m_busiest.push_back(
        {PartitionIndex(static_cast<std::uint32_t>(Rate.partition)),
         Rate.requestsPerSecond});
  m_state.m_loads.report(ServiceId(Report.serviceName),
                         UpstreamId(Report.upstream), std::move(Load));
}

void LoadDriver::report(Instant Now) {
  const HostId &Self = m_state.m_settings.m_host;
  std::vector<HostId> Ranks = m_state.plannerRanks();
  if (Ranks.empty())
    return;
  const HostId &Planner = Ranks.front();
  for (auto Meter = m_meters.begin(); Meter != m_meters.end();) {
    const Upstream *Which = m_state.declared().findUpstream(Meter->first);
    if (!Which || m_state.keeperOf(*Which) != Self) {
      Meter = m_meters.erase(Meter);
      continue;
    }
    wire::LoadReport Report = toReport(*Which, Meter->second.summarize(Now));
    ++Meter;
    if (Planner == Self) {
      onReport(Report);
      continue;
    }
    wire::Message Message;
    Message.__set_loadReport(std::move(Report));
    m_peers.send(Planner, Message);
  }
}

} // namespace burdockpulley
