#include "burdockpulley/team_quota.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Part of the slack by which the burst is raised. The rest is for requests
/// that hosts admit before they know of each other's.
constexpr double SlackShareOfBurst = 0.5;
/// Part of the burst that a host assumes to be left when it has started and
/// knows nothing of earlier requests: it may have spent the burst itself.
constexpr double FirstShareOfBurst = 0.3;
/// A host goes by what the others see left for this time after its start, in
/// which each of them has reported.
constexpr Duration FirstReportsTime{1'500'000};
/// Teams are reported for this time after their last request.
constexpr Duration ReportedTime{2'000'000};
/// Counts of silent hosts are kept for this time, so that a host that returns
/// is charged with what it has admitted meanwhile.
constexpr Duration PeerRetention{60'000'000};
constexpr Duration TeamRetention{30'000'000};
/// Demand that other hosts have reported counts for this time, or for the one
/// in which two reports arrive. Until then a silent host counts as reporting.
constexpr Duration MinPeerDemandTime{1'500'000};
/// Time between two draws of a host.
constexpr Duration DrawInterval{250'000};
/// Demand that each host is taken to have. Small, as a host that gets a request
/// knows of its demand at once.
constexpr double BaseDemand = 0.02;
/// Time constant of the demand.
constexpr double DemandSeconds = 0.5;
/// Factor on the requests expected until the next reports, as these may be lost
/// and demand may rise.
constexpr double ReserveFactor = 1.3;
constexpr Duration MinRetryAfter{50'000};
constexpr Duration MaxRetryAfter{3'000'000};

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

} // namespace

TeamQuota::TeamState &TeamQuota::stateOf(NameHash Team, Instant Now) {
  if (m_startedAt == Instant())
    m_startedAt = Now;
  return m_teams[Team];
}

void TeamQuota::countDemand(TeamState &State, double Requests, Instant Now) {
  double Elapsed = seconds(Now - State.m_demandAt);
  State.m_demand = State.m_demand * std::exp(-Elapsed / DemandSeconds) +
                   Requests / DemandSeconds;
  State.m_demandAt = Now;
}

double TeamQuota::peerDemand(const TeamState &State,
                             const LimitSharers &Sharers) {
  double Sum = 0;
  Duration PeerDemandTime =
      std::max<Duration>(MinPeerDemandTime, Sharers.m_reportInterval * 2);
  for (const auto &[Host, Use] : State.m_peers)
    if (State.m_demandAt - Use.m_reportedAt < PeerDemandTime)
      Sum += Use.m_use.m_demand;
  return Sum;
}

void TeamQuota::refill(TeamState &State, const TeamPolicy &Team,
                       const LimitSharers &Sharers, Instant Now) const {
  double Share = Sharers.reportingShare();
  double Burst = Team.m_burst + m_terms.m_slack * SlackShareOfBurst;
  double Allowed =
      (Team.m_requestRate * seconds(m_terms.m_window) + Team.m_burst) *
          (1 + m_terms.m_overage) +
      m_terms.m_slack;
  bool New = State.m_capacity == 0;
  State.m_capacity = std::max(1.0, Burst * Share);
  if (New)
    State.m_bucket = SharedTokenBucket(State.m_capacity * FirstShareOfBurst);
  State.m_bucket.refill({Team.m_requestRate * Share, State.m_capacity, Allowed},
                        std::exchange(State.m_peerRequests, 0), Now);
}

bool TeamQuota::admit(const TeamPolicy &Team, const LimitSharers &Sharers,
                      std::mt19937_64 &Random, Instant Now) {
  if (Team.m_requestRate <= 0)
    return true;
  NameHash Hash = nameHash(Team.m_name.value());
  TeamState &State = stateOf(Hash, Now);
  State.m_lastRequestAt = Now;
  countDemand(State, 1, Now);
  refill(State, Team, Sharers, Now);
  if (!State.m_fromPeers && Now - m_startedAt >= FirstReportsTime) {
    // All other hosts have reported by now.
    State.m_fromPeers = true;
    auto Left = m_leftAtPeers.find(Hash);
    bool Alone = Sharers.m_reporting <= 1;
    if (!Alone)
      State.m_bucket.raiseTo(State.m_capacity *
                             (Left == m_leftAtPeers.end() ? 1 : Left->second));
  }
  double PeerDemand = peerDemand(State, Sharers);
  // What the other hosts may admit before this one hears of it, and this host
  // before they do.
  double Reserve =
      std::min((PeerDemand + State.m_demand) *
                   seconds(Sharers.m_reportInterval) * ReserveFactor,
               State.m_capacity);
  bool Alone = Sharers.m_reporting <= 1;
  bool Admitted =
      State.m_bucket.tokens() >= (Alone ? 1 : std::max(1.0, Reserve)) ||
      State.m_bucket.draw(Sharers, State.m_demand, PeerDemand, BaseDemand,
                          std::min(DrawInterval, Sharers.m_reportInterval),
                          Random, Now);
  if (!Admitted) {
    ++State.m_refusedInRow;
    return false;
  }
  State.m_refusedInRow = 0;
  State.m_bucket.take();
  ++State.m_admitted;
  return true;
}

void TeamQuota::refund(const TeamPolicy &Team) {
  auto It = m_teams.find(nameHash(Team.m_name.value()));
  if (It == m_teams.end())
    return;
  It->second.m_bucket.refund();
  ++It->second.m_refunded;
}

Duration TeamQuota::retryAfter(const TeamPolicy &Team,
                               const LimitSharers &Sharers) const {
  auto It = m_teams.find(nameHash(Team.m_name.value()));
  if (It == m_teams.end() || Team.m_requestRate <= 0)
    return MinRetryAfter;
  const TeamState &State = It->second;
  // Requests that were refused before this one come back before it.
  double Missing = 1 - std::min(State.m_bucket.tokens(), 1.0) +
                   static_cast<double>(State.m_refusedInRow);
  double OwnShare =
      (1 + State.m_demand) / (1 + State.m_demand + peerDemand(State, Sharers));
  return std::clamp<Duration>(
      fromSeconds(Missing / (Team.m_requestRate * OwnShare)), MinRetryAfter,
      MaxRetryAfter);
}

void TeamQuota::onPeerReport(const HostId &Host,
                             const std::vector<TeamUse> &Uses, Instant Now) {
  for (const TeamUse &Use : Uses) {
    TeamState &State = stateOf(Use.m_team, Now);
    auto [It, New] = State.m_peers.try_emplace(Host);
    TeamState::PeerUse &Known = It->second;
    auto Charged = [](const TeamUse &Reported) {
      return static_cast<double>(Reported.m_admitted) -
             static_cast<double>(Reported.m_refunded);
    };
    // A count that went back is that of a restarted host. The first report to a
    // host that has just started may tell of requests of long ago.
    bool Restarted = Use.m_admitted < Known.m_use.m_admitted;
    if (Restarted || (New && Now - m_startedAt > FirstReportsTime))
      State.m_peerRequests += Charged(Use);
    else if (!New)
      State.m_peerRequests += Charged(Use) - Charged(Known.m_use);
    Known = {Use, Now};
    if (Now - m_startedAt >= FirstReportsTime || !Use.m_left)
      continue;
    auto [LeftIt, First] = m_leftAtPeers.try_emplace(Use.m_team, *Use.m_left);
    LeftIt->second = std::min(LeftIt->second, *Use.m_left);
  }
}

std::vector<TeamUse> TeamQuota::report(Instant Now) {
  std::vector<TeamUse> Uses;
  for (auto &[Team, State] : m_teams) {
    if (State.m_lastRequestAt == Instant() ||
        Now - State.m_lastRequestAt > ReportedTime)
      continue;
    countDemand(State, 0, Now);
    TeamUse Use;
    Use.m_team = Team;
    Use.m_admitted = State.m_admitted;
    Use.m_refunded = State.m_refunded;
    Use.m_demand = State.m_demand;
    double Left = std::max(0.0, State.m_bucket.tokens()) /
                  std::max(State.m_capacity, 1.0);
    constexpr double Full = 0.95;
    if (Left < Full || !State.m_fromPeers)
      Use.m_left = Left;
    Uses.push_back(Use);
  }
  return Uses;
}

void TeamQuota::sweep(Instant Now) {
  for (auto &[Team, State] : m_teams)
    std::erase_if(State.m_peers, [Now](const auto &Entry) {
      return Now - Entry.second.m_reportedAt > PeerRetention;
    });
  std::erase_if(m_teams, [Now](const auto &Entry) {
    return Now - Entry.second.m_lastRequestAt > TeamRetention &&
           Entry.second.m_peers.empty();
  });
}

} // namespace burdockpulley
