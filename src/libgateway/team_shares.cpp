#include "burdockpulley/team_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace burdockpulley {

namespace {

/// The capacity is what was served in this time.
constexpr Duration CapacityWindow{2'000'000};
/// A shorter history is not used, as the reports that it holds are few.
constexpr Duration MinHistory{500'000};
/// Time constant of the teams' rates. Shorter than the window, so that a team
/// that suddenly sends more is known soon.
constexpr double RateSeconds = 0.6;
/// A team is left at least this part of what all teams are served on average.
/// A team served a quarter as often as all counts as a failure.
constexpr double LeastPart = 0.35;
/// A team's rate is above its share only by more than this many standard
/// deviations of what is measured at random arrivals.
constexpr double MarginDeviations = 3;
/// What a team was served beyond its share is taken from it in this time. Until
/// hosts know of a sudden rise, they queue its requests like those of others.
constexpr double PaybackSeconds = 4;
/// At most this part of a share is taken back, so that no team goes unserved.
constexpr double MaxPayback = 0.5;
/// Halvings of the interval in which the common level is sought.
constexpr int LevelSteps = 40;
/// Bits of a priority number below the bit of the share, and below the team.
constexpr std::uint32_t ShareBit = 1;
constexpr std::uint32_t TeamBit = 18;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

std::uint32_t teamPriority(const TeamPolicy &Team) {
  return std::min(Team.m_priority, LeastTeamPriority - 1);
}

std::uint32_t teamPriorityOf(std::uint32_t Priority) {
  return Priority >> TeamBit;
}

std::uint32_t withShare(std::uint32_t Number, bool AboveShare) {
  return (Number >> ShareBit) << (ShareBit + 1) |
         (AboveShare ? 1U : 0U) << ShareBit | (Number & 1U);
}

std::uint32_t withoutShare(std::uint32_t Priority) {
  return (Priority >> (ShareBit + 1)) << ShareBit | (Priority & 1U);
}

bool isAboveShare(std::uint32_t Priority) {
  return (Priority >> ShareBit & 1U) != 0;
}

std::uint32_t basePriority(std::uint32_t Priority) {
  return withShare(withoutShare(Priority), false) | 1U;
}

std::uint32_t firstOfBasePriority(std::uint32_t Priority) {
  return basePriority(Priority) - 1;
}

std::uint32_t lastOfBasePriority(std::uint32_t Priority) {
  return withShare(withoutShare(Priority), true) | 1U;
}

void TeamShares::update(const std::deque<TeamPolicy> &Teams,
                        const std::vector<TeamTotal> &Totals,
                        const std::map<std::uint32_t, double> &Waiting,
                        Instant Now) {
  std::unordered_map<NameHash, const TeamPolicy *> Policies;
  for (const TeamPolicy &Team : Teams)
    Policies[nameHash(Team.m_name.value())] = &Team;
  double Elapsed = seconds(Now - std::exchange(m_updatedAt, Now));
  if (Elapsed <= 0)
    return;
  std::unordered_map<NameHash, TeamState> Before = std::exchange(m_teams, {});
  std::map<std::uint32_t, std::vector<Member>> ByPriority;
  for (const TeamTotal &Total : Totals) {
    auto Policy = Policies.find(Total.m_team);
    if (Policy == Policies.end())
      continue;
    auto Known = Before.find(Total.m_team);
    TeamState &State = m_teams[Total.m_team];
    std::uint32_t Priority = teamPriority(*Policy->second);
    if (Known != Before.end()) {
      State = Known->second;
      double Admitted = Total.m_admitted - State.m_last.m_admitted;
      State.m_rate += (Admitted / Elapsed - State.m_rate) *
                      (1 - std::exp(-Elapsed / RateSeconds));
      State.m_served = Admitted - (Total.m_refunded - State.m_last.m_refunded);
      m_charged[Priority] += State.m_served;
    }
    State.m_last = Total;
    ByPriority[Priority].push_back({Policy->second->m_requestRate, &State});
  }
  std::erase_if(m_history, [&ByPriority](const auto &Entry) {
    return ByPriority.count(Entry.first) == 0;
  });
  for (auto &[Priority, Members] : ByPriority) {
    // What waits has been admitted, but not served.
    auto Queued = Waiting.find(Priority);
    double Served =
        m_charged[Priority] - (Queued == Waiting.end() ? 0 : Queued->second);
    if (auto Capacity = capacity(Priority, Served, Now))
      divide(Members, *Capacity, Elapsed);
  }
}

std::optional<double> TeamShares::capacity(std::uint32_t Priority,
                                           double ServedNow, Instant Now) {
  std::deque<ServedCount> &History = m_history[Priority];
  History.push_back({Now, ServedNow});
  while (Now - History.front().m_at > CapacityWindow)
    History.pop_front();
  Duration Span = Now - History.front().m_at;
  if (Span < MinHistory)
    return std::nullopt;
  return std::max(0.0, ServedNow - History.front().m_served) / seconds(Span);
}

void TeamShares::divide(std::vector<Member> &Members, double Capacity,
                        double Elapsed) {
  double Demand = 0;
  double Weights = 0;
  std::size_t Weighted = 0;
  for (const Member &Each : Members) {
    Demand += Each.m_team->m_rate;
    Weights += Each.m_weight;
    Weighted += Each.m_weight > 0 ? 1 : 0;
  }
  if (Demand <= Capacity) {
    for (Member &Each : Members) {
      Each.m_team->m_partWithin = 1;
      Each.m_team->m_excess = 0;
    }
    return;
  }
  // A team without a rate counts like the mean of those with one.
  double DefaultWeight =
      Weighted == 0 ? 1 : Weights / static_cast<double>(Weighted);
  double LeastOfDemand = Capacity / Demand * LeastPart;
  double Highest = 0;
  for (Member &Each : Members) {
    if (Each.m_weight <= 0)
      Each.m_weight = DefaultWeight;
    Highest = std::max(Highest, Each.m_team->m_rate / Each.m_weight);
  }
  auto Share = [LeastOfDemand](const Member &Of, double Level) {
    return std::clamp(Level * Of.m_weight, Of.m_team->m_rate * LeastOfDemand,
                      Of.m_team->m_rate);
  };
  double Lowest = 0;
  for (int Step = 0; Step < LevelSteps; ++Step) {
    double Level = (Lowest + Highest) / 2;
    double Sum = 0;
    for (const Member &Each : Members)
      Sum += Share(Each, Level);
    (Sum > Capacity ? Highest : Lowest) = Level;
  }
  for (Member &Each : Members) {
    double Within = Share(Each, Lowest);
    double Margin = MarginDeviations * std::sqrt(Within / (2 * RateSeconds));
    double Rate = Each.m_team->m_rate;
    TeamState &Team = *Each.m_team;
    if (Rate <= Within + Margin) {
      Team.m_partWithin = 1;
      Team.m_excess = 0;
      continue;
    }
    Team.m_excess = std::clamp(Team.m_excess + Team.m_served - Within * Elapsed,
                               0.0, Within * PaybackSeconds * MaxPayback);
    Team.m_partWithin = (Within - Team.m_excess / PaybackSeconds) / Rate;
  }
}

bool TeamShares::aboveShare(const TeamPolicy &Team) {
  auto It = m_teams.find(nameHash(Team.m_name.value()));
  if (It == m_teams.end() || It->second.m_partWithin >= 1)
    return false;
  TeamState &State = It->second;
  bool Above = nextAboveShare(State);
  State.m_credit += State.m_partWithin;
  if (!Above)
    State.m_credit -= 1;
  return Above;
}

bool TeamShares::nextAboveShare(const TeamState &State) {
  return State.m_partWithin < 1 && State.m_credit + State.m_partWithin < 1;
}

bool TeamShares::nextAboveShare(const TeamPolicy &Team) const {
  auto It = m_teams.find(nameHash(Team.m_name.value()));
  return It != m_teams.end() && nextAboveShare(It->second);
}

double TeamShares::partWithin(const TeamPolicy &Team) const {
  auto It = m_teams.find(nameHash(Team.m_name.value()));
  return It == m_teams.end() ? 1 : It->second.m_partWithin;
}

} // namespace burdockpulley
