#include "upstream_selector.h"

#include "burdockpulley/hashing.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr double MaxEjectedShare = 0.34;
constexpr double RetriesPerSuccess = 0.1;
constexpr double RetryReserve = 20;

bool contains(const std::vector<UpstreamId> &Names, const UpstreamId &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

UpstreamSelector::Row::Row()
    : m_outliers(MaxEjectedShare), m_budget(RetriesPerSuccess, RetryReserve) {}

UpstreamSelector::UpstreamSelector(const HostState &State)
    : m_state(State), m_random(stableHash(State.m_settings.m_host.value())) {}

void UpstreamSelector::refresh() {
  if (m_set == m_state.m_set)
    return;
  m_set = m_state.m_set;
  for (auto &[Name, Each] : m_rows) {
    Each.m_members.clear();
    Each.m_names.clear();
  }
  for (const Upstream &Each : m_set->m_declarations.m_upstreams) {
    Row &Target = m_rows[Each.m_service];
    Target.m_names.push_back(Each.m_name);
    if (!m_set->m_declarations.outOfService(Each))
      Target.m_members.push_back(&Each);
  }
}

UpstreamSelector::Row &UpstreamSelector::find(const ServiceId &Target) {
  refresh();
  return m_rows[Target];
}

const Upstream *UpstreamSelector::choose(const Service &Target,
                                         const std::vector<UpstreamId> &Tried) {
  Row &Found = find(Target.m_name);
  std::vector<UpstreamCandidate> Candidates;
  Candidates.reserve(Found.m_members.size());
  for (const Upstream *Each : Found.m_members) {
    UpstreamCandidate Row;
    Row.m_slots = Each->m_slots;
    auto Outstanding = Found.m_outstanding.find(Each->m_name);
    if (Outstanding != Found.m_outstanding.end())
      Row.m_outstanding = Outstanding->second;
    Row.m_latency = Found.m_outliers.latency(Each->m_name);
    Row.m_standing = Found.m_outliers.standing(Each->m_name);
    Row.m_ownDomain = Each->m_domain == m_state.m_settings.m_domain;
    Row.m_tried = contains(Tried, Each->m_name);
    Candidates.push_back(Row);
  }
  std::size_t Chosen = chooseUpstream(Candidates, m_random);
  return Chosen < Found.m_members.size() ? Found.m_members[Chosen] : nullptr;
}

bool UpstreamSelector::hasOther(const ServiceId &Target,
                                const std::vector<UpstreamId> &Tried) {
  const auto &Members = find(Target).m_members;
  return std::any_of(Members.begin(), Members.end(), [&](const Upstream *Each) {
    return !contains(Tried, Each->m_name);
  });
}

void UpstreamSelector::onSent(const Upstream &Which) {
  ++find(Which.m_service).m_outstanding[Which.m_name];
}

void UpstreamSelector::onEnd(const ServiceId &Target, const UpstreamId &Which,
                             Duration Latency, bool Failed, bool Counts,
                             Instant Now) {
  Row &Found = find(Target);
  auto Outstanding = Found.m_outstanding.find(Which);
  if (Outstanding != Found.m_outstanding.end() && --Outstanding->second == 0)
    Found.m_outstanding.erase(Outstanding);
  if (Counts)
    Found.m_outliers.onResult(Which, Latency, Failed, Now);
  if (Counts && !Failed)
    Found.m_budget.onSuccess();
}

void UpstreamSelector::judge(Instant Now) {
  refresh();
  for (auto &[Name, Each] : m_rows)
    Each.m_outliers.judge(Each.m_names, Now);
}

RetryBudget &UpstreamSelector::budget(const ServiceId &Target) {
  return find(Target).m_budget;
}

} // namespace burdockpulley
