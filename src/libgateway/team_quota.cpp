#include "burdockpulley/team_quota.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Part of what the terms allow beyond the quota by which the burst is raised.
/// The rest is for requests that hosts admit before they know of each other's.
constexpr double MarginShareOfBurst = 0.25;
/// A new host goes by what the others see left after this time, or after two
/// report intervals, in which each of them has reported.
constexpr Duration FirstReportsTime{1'500'000};
/// A host that stops reporting is silent after this time, or after two report
/// intervals. Until then it is taken to go on admitting as before.
constexpr Duration MinSilence{1'500'000};
/// Added to two report intervals, as messages are sent and read with delays.
constexpr Duration StatusDelay{100'000};
/// Counts of silent hosts are kept for this time.
constexpr Duration PeerRetention{60'000'000};
constexpr Duration TeamRetention{30'000'000};
/// Time between two draws of a host.
constexpr Duration DrawInterval{250'000};
/// Demand that each host is taken to have. Small, as a host that gets a request
/// knows of its demand at once.
constexpr double BaseDemand = 0.02;
/// Time constants of the demand, and of the rate at which a host admits.
constexpr double DemandSeconds = 0.5;
constexpr double RateSeconds = 2;
/// Requests are admitted without a draw while this many times the requests that
/// are expected in a report interval are left.
constexpr double ReserveFactor = 1.1;
/// At most this part of the burst is needed for it. Below 1, as a team that
/// sends more than its rate could not use what is added to a full bucket. With
/// 0.5, 200 hosts exceeded the terms by up to 9% when demand rose at all of
/// them.
constexpr double MaxReserve = 0.65;
/// Part of that which is not needed if all of the team's requests come to this
/// host: the others then have none to admit.
constexpr double SoleHostDiscount = 0.8;
/// Requests that a host admits without a draw in a report interval: this many,
/// and this many times those that the others expect by its reports. It keeps
/// hosts within the terms when demand rises at all of them at once.
constexpr double BaseAllowance = 2;
constexpr double ExpectedGrowth = 2;
/// Sums over the other hosts are kept for this time, as adding them up for each
/// request would cost time in proportion to the hosts.
constexpr Duration SumRetention{20'000};
constexpr Duration MinRetryAfter{50'000};
constexpr Duration MaxRetryAfter{3'000'000};

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

double charged(const TeamUse &Use) {
  return static_cast<double>(Use.m_admitted) -
         static_cast<double>(Use.m_refunded);
}

} // namespace

TeamQuota::TeamState &TeamQuota::stateOf(NameHash Team) {
  return m_teams[Team];
}

void TeamQuota::countDemand(TeamState &State, double Requests, Instant Now) {
  double Elapsed = seconds(Now - State.m_demandAt);
  State.m_demand = State.m_demand * std::exp(-Elapsed / DemandSeconds) +
                   Requests / DemandSeconds;
  State.m_demandAt = Now;
}

Duration TeamQuota::silence() const {
  return std::max<Duration>(MinSilence, m_reportInterval * 2 + StatusDelay);
}

void TeamQuota::sumPeers(TeamState &State, Instant Now) const {
  if (Now - State.m_summedAt < SumRetention)
    return;
  State.m_summedAt = Now;
  State.m_peerDemand = 0;
  State.m_unreported = 0;
  for (auto &[Host, Use] : State.m_peers) {
    Duration Age = Now - Use.m_reportedAt;
    if (Age < silence()) {
      State.m_peerDemand += Use.m_use.m_demand;
      State.m_unreported += Use.m_rate * seconds(Age);
    } else if (Use.m_rate > 0) {
      // It may have admitted them; if it is cut off, it uses its own share from
      // now on.
      Use.m_assumed = Use.m_rate * seconds(silence());
      State.m_peerRequests += Use.m_assumed;
      Use.m_rate = 0;
    }
  }
}

void TeamQuota::refill(TeamState &State, Instant Now) {
  if (State.m_capacity == 0)
    return; // The team's rate is not known yet.
  sumPeers(State, Now);
  // Requests that have yet to be reported are not taken from a full bucket.
  State.m_bucket.refill(
      {State.m_rate, State.m_capacity + State.m_unreported, State.m_maxDebt},
      std::exchange(State.m_peerRequests, 0), Now);
}

void TeamQuota::applyLimits(TeamState &State, const TeamPolicy &Team,
                            const LimitSharers &Sharers, Instant Now) {
  m_reportInterval = Sharers.m_reportInterval;
  double Share = Sharers.reportingShare();
  bool New = State.m_capacity == 0;
  State.m_rate = Team.m_requestRate * Share;
  double Quota = Team.m_requestRate * seconds(m_terms.m_window) + Team.m_burst;
  double Margin = Quota * m_terms.m_overage + m_terms.m_slack;
  State.m_capacity =
      std::max(1.0, (Team.m_burst + Margin * MarginShareOfBurst) * Share);
  State.m_maxDebt = Quota + Margin;
  if (New) { // Empty at the host's start.
    State.m_bucket = SharedTokenBucket();
    State.m_bucket.refill({State.m_rate, State.m_capacity, State.m_maxDebt}, 0,
                          m_startedAt);
  }
  refill(State, Now);
  if (!State.m_fromPeers && Now - m_startedAt >= firstReports()) {
    State.m_fromPeers = true;
    goByPeers(State, Now);
  }
}

void TeamQuota::goByPeers(TeamState &State, Instant Now) const {
  double Least = 1;
  double Sum = 0;
  std::size_t Hosts = 0;
  for (const auto &[Host, Use] : State.m_peers)
    if (Use.m_use.m_left && Now - Use.m_reportedAt < m_terms.m_window) {
      Least = std::min(Least, *Use.m_use.m_left);
      Sum += *Use.m_use.m_left;
      ++Hosts;
    }
  bool Watched = Now - m_startedAt >= m_terms.m_window;
  // Without reports in a whole window, nobody has used any of the quota.
  if (Hosts > 0 || Watched)
    State.m_bucket.raiseTo(State.m_capacity * Least + State.m_unreported);
  // Later, the requests reported since the start don't tell how much of the
  // burst was unused meanwhile.
  if (Hosts > 0 && Watched)
    State.m_bucket.lowerTo(State.m_capacity * Sum / static_cast<double>(Hosts) +
                           State.m_unreported);
}

Duration TeamQuota::firstReports() const {
  return std::max<Duration>(FirstReportsTime, m_reportInterval * 2);
}

bool TeamQuota::admit(const TeamPolicy &Team, const LimitSharers &Sharers,
                      std::mt19937_64 &Random, Instant Now) {
  start(Now);
  TeamState &State = stateOf(nameHash(Team.m_name.value()));
  State.m_lastRequestAt = Now;
  countDemand(State, 1, Now);
  if (Team.m_requestRate <= 0) {
    // Once it has a rate, it starts with what the others see left.
    State.m_capacity = 0;
    State.m_fromPeers = false;
    countAdmitted(State);
    return true;
  }
  applyLimits(State, Team, Sharers, Now);
  if (!mayAdmit(State, Team, Sharers, Random, Now)) {
    ++State.m_refusedInRow;
    return false;
  }
  State.m_refusedInRow = 0;
  State.m_bucket.take();
  countAdmitted(State);
  State.m_recent += 1;
  return true;
}

TeamQuota::Outlook TeamQuota::outlook(const TeamPolicy &Team,
                                      const LimitSharers &Sharers,
                                      std::mt19937_64 Random,
                                      Instant Now) const {
  NameHash Name = nameHash(Team.m_name.value());
  TeamQuota Trial(m_terms);
  Trial.m_reportInterval = m_reportInterval;
  Trial.m_startedAt = m_startedAt;
  if (auto It = m_teams.find(Name); It != m_teams.end())
    Trial.m_teams.insert(*It);
  Outlook Result;
  Result.m_admitted = Trial.admit(Team, Sharers, Random, Now);
  if (Team.m_requestRate <= 0)
    return Result;
  const TeamState &State = Trial.stateOf(Name);
  double Charged = Result.m_admitted ? 1 : 0;
  Result.m_left = State.m_bucket.tokens() - State.m_unreported + Charged;
  Result.m_most = State.m_capacity;
  if (!Result.m_admitted)
    Result.m_retryAfter = Trial.retryAfter(Team, Sharers);
  return Result;
}

bool TeamQuota::mayAdmit(TeamState &State, const TeamPolicy &Team,
                         const LimitSharers &Sharers, std::mt19937_64 &Random,
                         Instant Now) {
  double Left = State.m_bucket.tokens() - State.m_unreported;
  if (Sharers.m_reporting <= 1)
    return Left >= 1;
  double Interval = seconds(Sharers.m_reportInterval);
  State.m_recent *= std::exp(-seconds(Now - State.m_recentAt) / Interval);
  State.m_recentAt = Now;
  double PeerDemand = State.m_peerDemand;
  // Until the others have reported, their demand is taken to be the same.
  if (Now - m_startedAt < firstReports())
    PeerDemand =
        std::max(PeerDemand,
                 State.m_demand * static_cast<double>(Sharers.m_reporting - 1));
  double Surprise = std::min(1.0, State.m_demand / Team.m_requestRate);
  double Reserve = std::max(
      1.0, std::min((PeerDemand + State.m_demand) * Interval * ReserveFactor,
                    State.m_capacity * MaxReserve) *
               (1 - SoleHostDiscount * Surprise));
  double Known = std::max(State.m_reportedDemand, State.m_demand * Surprise);
  if (Left >= Reserve &&
      State.m_recent <= BaseAllowance + ExpectedGrowth * Known * Interval)
    return true;
  // The others know the reported demand. Of what it has risen by since then,
  // less is used the smaller it is: it may have risen at many hosts.
  double Base = BaseDemand * static_cast<double>(Sharers.m_reporting);
  double Expected = (BaseDemand + State.m_reportedDemand) /
                    (Base + State.m_reportedDemand + PeerDemand);
  double Share =
      (BaseDemand + State.m_demand) / (Base + State.m_demand + PeerDemand);
  Share = Expected + std::max(0.0, Share - Expected) * Surprise;
  Duration Draw = std::min(DrawInterval, Sharers.m_reportInterval);
  double Usable = Left > 0 ? Left * seconds(Draw) / Interval +
                                 Team.m_requestRate * Sharers.reportingShare() *
                                     seconds(Draw)
                           : 0;
  return State.m_bucket.draw(std::min(Usable, std::max(Left, 0.0)) * Share,
                             Draw, Random, Now);
}

void TeamQuota::refund(const TeamPolicy &Team) {
  auto It = m_teams.find(nameHash(Team.m_name.value()));
  if (It == m_teams.end())
    return;
  It->second.m_bucket.refund();
  ++It->second.m_refunded;
  It->second.m_total.m_refunded += 1;
}

void TeamQuota::countAdmitted(TeamState &State) {
  ++State.m_admitted;
  State.m_total.m_admitted += 1;
}

std::vector<TeamTotal> TeamQuota::totals() const {
  std::vector<TeamTotal> Totals;
  Totals.reserve(m_teams.size());
  for (const auto &[Team, State] : m_teams) {
    Totals.push_back(State.m_total);
    Totals.back().m_team = Team;
  }
  return Totals;
}

Duration TeamQuota::retryAfter(const TeamPolicy &Team,
                               const LimitSharers &Sharers) const {
  auto It = m_teams.find(nameHash(Team.m_name.value()));
  if (It == m_teams.end() || Team.m_requestRate <= 0)
    return MinRetryAfter;
  const TeamState &State = It->second;
  // Requests that were refused before this one come back before it.
  double Left = State.m_bucket.tokens() - State.m_unreported;
  double Missing =
      1 - std::min(Left, 1.0) + static_cast<double>(State.m_refusedInRow);
  double OwnShare =
      (1 + State.m_demand) / (1 + State.m_demand + State.m_peerDemand);
  double Rate = Team.m_requestRate * Sharers.reportingShare() * OwnShare;
  return std::clamp<Duration>(
      fromSeconds(std::min(Missing / Rate, seconds(MaxRetryAfter))),
      MinRetryAfter, MaxRetryAfter);
}

void TeamQuota::onPeerReport(const HostId &Host,
                             const std::vector<TeamUse> &Uses, Instant Now) {
  start(Now);
  auto [HeardIt, FirstHeard] = m_heardAt.try_emplace(Host, Now);
  // Of a host that was silent, an equal share has been left out meanwhile.
  bool WasSilent = !FirstHeard && Now - HeardIt->second > silence();
  HeardIt->second = Now;
  for (const TeamUse &Use : Uses) {
    TeamState &State = stateOf(Use.m_team);
    auto [It, New] = State.m_peers.try_emplace(Host);
    onPeerUse(State, It->second, New, FirstHeard, WasSilent, Use, Now);
    refill(State, Now);
  }
}

void TeamQuota::onPeerUse(TeamState &State, TeamState::PeerUse &Known, bool New,
                          bool FirstHeard, bool WasSilent, const TeamUse &Use,
                          Instant Now) {
  double Requests = charged(Use);
  // A count that went back is that of a restarted host.
  if (!New && Use.m_admitted >= Known.m_use.m_admitted)
    Requests -= charged(Known.m_use);
  else if (New && FirstHeard)
    Requests = 0; // They may be of long ago.
  double Elapsed = seconds(Now - Known.m_reportedAt);
  if (New)
    Known.m_rate = firstRate(State, Use);
  else if (WasSilent && Elapsed > 0)
    Known.m_rate = Requests / Elapsed;
  else if (Elapsed > 0)
    Known.m_rate += (Requests / Elapsed - Known.m_rate) *
                    (1 - std::exp(-Elapsed / RateSeconds));
  if (!WasSilent) {
    State.m_peerRequests += Requests - Known.m_assumed;
    // The first report of a host that others have known for long is left out,
    // like its requests above.
    bool Continues = !New && Use.m_admitted >= Known.m_use.m_admitted;
    double Refunded = Use.m_refunded;
    if (Continues)
      Refunded -= Known.m_use.m_refunded;
    else if (New && FirstHeard)
      Refunded = 0;
    State.m_total.m_admitted += Requests + Refunded;
    State.m_total.m_refunded += Refunded;
  }
  Known.m_use = Use;
  Known.m_reportedAt = Now;
  Known.m_assumed = 0;
}

double TeamQuota::firstRate(const TeamState &State, const TeamUse &Use) {
  // In relation to demand, as long as there is no second report.
  double Demand = State.m_demand + State.m_peerDemand + Use.m_demand;
  return Demand <= State.m_rate ? Use.m_demand
                                : State.m_rate * Use.m_demand / Demand;
}

std::vector<TeamUse> TeamQuota::report(Instant Now) {
  start(Now);
  std::vector<TeamUse> Uses;
  for (auto &[Team, State] : m_teams) {
    if (State.m_lastRequestAt == Instant() ||
        Now - State.m_lastRequestAt > m_terms.m_window)
      continue;
    countDemand(State, 0, Now);
    refill(State, Now);
    State.m_reportedDemand = State.m_demand;
    TeamUse Use;
    Use.m_team = Team;
    Use.m_admitted = State.m_admitted;
    Use.m_refunded = State.m_refunded;
    Use.m_demand = State.m_demand;
    if (State.m_capacity > 0)
      Use.m_left = std::clamp((State.m_bucket.tokens() - State.m_unreported) /
                                  std::max(State.m_capacity, 1.0),
                              0.0, 1.0);
    Uses.push_back(Use);
  }
  return Uses;
}

void TeamQuota::sweep(Instant Now) {
  std::erase_if(m_heardAt, [Now](const auto &Entry) {
    return Now - Entry.second > PeerRetention;
  });
  for (auto &[Team, State] : m_teams)
    std::erase_if(State.m_peers, [this](const auto &Entry) {
      return m_heardAt.count(Entry.first) == 0;
    });
  std::erase_if(m_teams, [Now](const auto &Entry) {
    return Now - Entry.second.m_lastRequestAt > TeamRetention &&
           Entry.second.m_peers.empty();
  });
}

} // namespace burdockpulley
