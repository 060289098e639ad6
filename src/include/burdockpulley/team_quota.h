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
  /// What the host sees left of the burst, 0 to 1; nothing if it is full, and
  /// the host has been there for long enough to know.
  std::optional<double> m_left;
};

/// Keeps the requests of each team within its rate and burst over all hosts.
///
/// Used when a team sends more than its limit, at one host, at many, or at
/// hosts that change from second to second. Each host charges what all hosts
/// report (see SharedTokenBucket). While more is left than the team may spend
/// before the next reports, requests are admitted at once; nearer to the limit
/// each host admits what it draws, so that hosts that do not yet know of each
/// other's requests do not overspend. Of silent hosts, which may be cut off and
/// go on admitting, an equal part of rate and burst is left out. A host that
/// has just started goes by what the others see left. Thread safety: none.
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

  /// Discards the counts of hosts that have been silent for long, and teams
  /// without requests. Call it a few times a second.
  void sweep(Instant Now);

private:
  struct TeamState {
    SharedTokenBucket m_bucket;
    double m_capacity = 0;    ///< Of the bucket, as last refilled.
    bool m_fromPeers = false; ///< Has gone by what the others see left.
    std::uint32_t m_admitted = 0;
    std::uint32_t m_refunded = 0;
    double m_peerRequests = 0; ///< Reported since the last refill.
    double m_demand = 0;       ///< Requests of the last second, decaying.
    Instant m_demandAt;
    Instant m_lastRequestAt;
    std::uint32_t m_refusedInRow = 0;
    struct PeerUse {
      TeamUse m_use; ///< The last report.
      Instant m_reportedAt;
    };
    std::map<HostId, PeerUse> m_peers;
  };

  TeamState &stateOf(NameHash Team, Instant Now);
  void refill(TeamState &State, const TeamPolicy &Team,
              const LimitSharers &Sharers, Instant Now) const;
  static void countDemand(TeamState &State, double Requests, Instant Now);
  static double peerDemand(const TeamState &State, const LimitSharers &Sharers);

  Settings m_terms;
  std::map<NameHash, TeamState> m_teams;
  /// When the first request or report came; what others see left counts for a
  /// while from then on.
  Instant m_startedAt;
  std::map<NameHash, double> m_leftAtPeers; ///< Least that they have reported.
};

} // namespace burdockpulley

#endif
