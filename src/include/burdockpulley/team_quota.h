#ifndef BURDOCKPULLEY_TEAM_QUOTA_H
#define BURDOCKPULLEY_TEAM_QUOTA_H

#include "burdockpulley/peer_loads.h"
#include "burdockpulley/shared_token_bucket.h"
#include "burdockpulley/team_directory.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace burdockpulley {

/// What one host has admitted of a team's requests.
struct TeamUse {
  NameHash m_team;
  std::uint32_t m_admitted = 0; ///< Requests since the host's start.
  std::uint32_t m_refunded = 0; ///< Those of them that no upstream has run.
  double m_demand = 0;          ///< Requests a second, admitted or not.
  /// What the host sees left of the burst, 0 to 1.
  std::optional<double> m_left;
};

/// Requests of a team at all hosts that this one hears, itself included.
struct TeamTotal {
  NameHash m_team;
  /// Counted from an arbitrary start.
  double m_admitted = 0;
  double m_refunded = 0; ///< Of those admitted.
};

/// Keeps the requests of each team within its rate and burst over all hosts.
///
/// Used when a team sends more than its limit, at one host, at many, or at
/// hosts that change from second to second. Each host has a bucket that is
/// charged with what all hosts report (see SharedTokenBucket), and with what
/// the others have probably admitted since their last reports. While more is
/// left than the team may spend before the next reports, requests are admitted
/// at once; nearer to the limit each host draws its share by demand.
///
/// Of silent hosts, which may be cut off and go on admitting, an equal part of
/// rate and burst is left out. A host starts with an empty bucket, and goes by
/// what the others see left once each of them has reported.
/// Thread safety: none.
class TeamQuota {
public:
  struct Settings {
    Duration m_window = std::chrono::seconds(5);
    /// In any window, (rate x window + burst) x (1 + m_overage) + m_slack
    /// requests may run.
    double m_overage = 0.1;
    double m_slack = 20;
  };

  explicit TeamQuota(Settings Terms) : m_terms(Terms) {}

  /// Charges a request that has arrived. Returns false, and charges nothing, if
  /// the team has used up its quota. Teams without a rate are not limited.
  bool admit(const TeamPolicy &Team, const LimitSharers &Sharers,
             std::mt19937_64 &Random, Instant Now);

  /// What admit() would decide now.
  struct Outlook {
    bool m_admitted = true;
    double m_left = 0;       ///< Requests that are left, as this host sees it.
    double m_most = 0;       ///< Requests that may be left.
    Duration m_retryAfter{}; ///< Zero if it would be admitted.
  };
  /// Charges and counts nothing. The amounts are zero for a team without a
  /// rate. \p Random: a copy of what the next call to admit() gets.
  Outlook outlook(const TeamPolicy &Team, const LimitSharers &Sharers,
                  std::mt19937_64 Random, Instant Now) const;

  /// Takes back the charge of a request that no upstream has run or will run.
  /// Precondition: admit() has returned true for it.
  void refund(const TeamPolicy &Team);

  /// Time after which a request of the team that is refused now is likely to be
  /// admitted. Precondition: admit() has returned false.
  Duration retryAfter(const TeamPolicy &Team,
                      const LimitSharers &Sharers) const;

  /// Applies what another host reports; what it leaves out is unchanged.
  void onPeerReport(const HostId &Host, const std::vector<TeamUse> &Uses,
                    Instant Now);

  /// What to report to the other hosts: teams with requests lately.
  std::vector<TeamUse> report(Instant Now);

  /// Of each team with requests lately. Call it a few times a second.
  std::vector<TeamTotal> totals() const;

  /// Discards the counts of hosts that have been silent for long, and teams
  /// without requests. Call it a few times a second.
  void sweep(Instant Now);

private:
  struct TeamState {
    struct PeerUse {
      TeamUse m_use; ///< The last report.
      Instant m_reportedAt;
      double m_rate = 0;    ///< Requests a second that the host admits.
      double m_assumed = 0; ///< Charged as the host has become silent.
    };

    SharedTokenBucket m_bucket;
    double m_rate = 0; ///< Limits of the bucket, as last known.
    double m_capacity = 0;
    double m_maxDebt = 0;
    bool m_fromPeers = false; ///< Has gone by what the others see left.
    std::uint32_t m_admitted = 0;
    std::uint32_t m_refunded = 0;
    TeamTotal m_total;
    double m_recent = 0; ///< Admitted in the last report interval, decaying.
    Instant m_recentAt;
    double m_peerRequests = 0; ///< Reported since the last refill.
    double m_demand = 0;       ///< Requests a second, decaying.
    Instant m_demandAt;
    double m_reportedDemand = 0; ///< As the others know it.
    Instant m_lastRequestAt;
    std::uint32_t m_refusedInRow = 0;
    std::map<HostId, PeerUse> m_peers;
    /// Sums over m_peers: demand, and requests expected since their reports.
    double m_peerDemand = 0;
    double m_unreported = 0;
    Instant m_summedAt;
  };

  void start(Instant Now) {
    if (m_startedAt == Instant())
      m_startedAt = Now;
  }
  TeamState &stateOf(NameHash Team);
  /// Time after which a host without reports is taken for silent.
  Duration silence() const;
  /// Time after the start in which each host that reports has done so.
  Duration firstReports() const;
  /// Sets the bucket of a new host by what the others see left.
  void goByPeers(TeamState &State, Instant Now) const;
  /// Rate at which a host admits that has reported once.
  static double firstRate(const TeamState &State, const TeamUse &Use);
  void sumPeers(TeamState &State, Instant Now) const;
  void refill(TeamState &State, Instant Now);
  void applyLimits(TeamState &State, const TeamPolicy &Team,
                   const LimitSharers &Sharers, Instant Now);
  bool mayAdmit(TeamState &State, const TeamPolicy &Team,
                const LimitSharers &Sharers, std::mt19937_64 &Random,
                Instant Now);
  void onPeerUse(TeamState &State, TeamState::PeerUse &Known, bool New,
                 bool FirstHeard, bool WasSilent, const TeamUse &Use,
                 Instant Now);
  static void countAdmitted(TeamState &State);
  static void countDemand(TeamState &State, double Requests, Instant Now);

  Settings m_terms;
  std::map<NameHash, TeamState> m_teams;
  std::map<HostId, Instant> m_heardAt; ///< Last report of each host.
  Duration m_reportInterval{};
  Instant m_startedAt; ///< Of the first request or report.
};

} // namespace burdockpulley

#endif
