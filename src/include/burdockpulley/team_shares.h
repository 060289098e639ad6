#ifndef BURDOCKPULLEY_TEAM_SHARES_H
#define BURDOCKPULLEY_TEAM_SHARES_H

#include "burdockpulley/team_quota.h"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace burdockpulley {

/// Divides scarce capacity among the teams of one priority.
///
/// Used when a team sends many times its usual requests, within its quota, and
/// more arrive than the upstreams can run. The capacity of a priority is what
/// all hosts have served of it in the last 2 s. Each team may use a part in
/// proportion to the rate of its quota; what it does not use goes to the others
/// (max-min fairness). Of a team that sends more, the requests within its share
/// rank as before, and the rest rank behind the other teams' and are refused
/// first. Hosts compute the same shares from the same reports; a host that is
/// cut off goes by the hosts that it hears. Thread safety: none.
class TeamShares {
public:
  /// Computes the shares. Takes time in proportion to the teams; call it a few
  /// times a second. \p Waiting: requests that wait at all hosts, by the
  /// priority of their team (see teamPriority()).
  void update(const std::deque<TeamPolicy> &Teams,
              const std::vector<TeamTotal> &Totals,
              const std::map<std::uint32_t, double> &Waiting, Instant Now);

  /// Counts an arriving request of a team while requests wait. Returns true if
  /// it is above the team's share. Takes one look-up.
  bool aboveShare(const TeamPolicy &Team);

  /// What aboveShare() would return now. Counts nothing.
  bool nextAboveShare(const TeamPolicy &Team) const;

  /// Part of the team's requests that is within its share, 0 to 1.
  double partWithin(const TeamPolicy &Team) const;

private:
  struct TeamState {
    double m_rate = 0;   ///< Requests a second that all hosts admit, smoothed.
    double m_served = 0; ///< Requests between the last two updates.
    /// Requests served beyond the share, which it uses up later.
    double m_excess = 0;
    double m_partWithin = 1;
    /// Requests within the share that may still be counted as such.
    double m_credit = 1;
    TeamTotal m_last;
  };
  static bool nextAboveShare(const TeamState &State);
  struct ServedCount {
    Instant m_at;
    double m_served; ///< Since an arbitrary start.
  };
  struct Member {
    double m_weight;
    TeamState *m_team;
  };

  /// Requests a second that a priority has been served lately; nothing if its
  /// history is too short.
  std::optional<double> capacity(std::uint32_t Priority, double ServedNow,
                                 Instant Now);
  static void divide(std::vector<Member> &Members, double Capacity,
                     double Elapsed);

  std::unordered_map<NameHash, TeamState> m_teams;
  std::map<std::uint32_t, std::deque<ServedCount>> m_history;
  /// Requests of each priority that have been admitted and not refunded.
  std::map<std::uint32_t, double> m_charged;
  Instant m_updatedAt;
};

/// Less urgent priorities of teams are not told apart. Requests of no team have
/// this one.
constexpr std::uint32_t LeastTeamPriority = (1U << 14) - 1;

/// The place of a team among others. Thread safety: safe.
std::uint32_t teamPriority(const TeamPolicy &Team);
/// The same of a request's priority number (see priorityOf()).
std::uint32_t teamPriorityOf(std::uint32_t Priority);

/// A priority number has one bit for requests above their team's share, next to
/// the lowest. Older hosts have numbers without it, and compare them with those
/// of messages; so messages carry the bit in a field of its own.
/// Thread safety: safe.
std::uint32_t withShare(std::uint32_t Number, bool AboveShare);
/// The number without the bit, and the bit. Thread safety: safe.
std::uint32_t withoutShare(std::uint32_t Priority);
bool isAboveShare(std::uint32_t Priority);
/// The number of a new request within its team's share that has the same
/// priority of team and route, and the least and the largest number with that
/// priority. Thread safety: safe.
std::uint32_t basePriority(std::uint32_t Priority);
std::uint32_t firstOfBasePriority(std::uint32_t Priority);
std::uint32_t lastOfBasePriority(std::uint32_t Priority);

} // namespace burdockpulley

#endif
