#ifndef BURDOCKPULLEY_TEAM_DIRECTORY_H
#define BURDOCKPULLEY_TEAM_DIRECTORY_H

#include "burdockpulley/types.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdockpulley {

/// Operators' settings for a team.
struct TeamPolicy {
  TeamId m_name;
  std::uint32_t m_priority = 0; ///< Zero is the most urgent.
  double m_requestRate = 0;     ///< Requests a second; zero for no limit.
  double m_burst = 0;           ///< Requests beyond the rate.
};

/// The teams of one configuration and their API keys.
///
/// Keys are found by their SHA-256 in constant time, and are not kept.
/// Thread safety: safe once all teams are added.
class TeamDirectory {
public:
  TeamDirectory() = default;
  TeamDirectory(TeamDirectory &&) = default;
  TeamDirectory &operator=(TeamDirectory &&) = default;

  /// Adds a team. Returns what is wrong with it, without the key concerned, or
  /// nothing. After a fault, the directory must not be used.
  std::optional<std::string> add(const TeamPolicy &Team,
                                 const std::vector<std::string> &ApiKeys);

  /// The team that has an API key; null if none has it.
  /// Valid as long as the directory.
  const TeamPolicy *findByKey(std::string_view ApiKey) const;
  /// Null if there is no such team. Valid as long as the directory.
  const TeamPolicy *findByName(const TeamId &Name) const;

  /// True in deployments without teams, in which requests need no key.
  bool empty() const { return m_teams.empty(); }
  const std::deque<TeamPolicy> &teams() const { return m_teams; }

private:
  std::deque<TeamPolicy> m_teams; ///< Elements keep their addresses.
  std::unordered_map<std::string, const TeamPolicy *> m_byName;
  std::unordered_map<std::string, const TeamPolicy *> m_byKeyDigest;
};

/// The API key in the value of an Authorization header; empty if it has none.
/// Valid as long as \p Header. Thread safety: safe.
std::string_view apiKeyOf(std::string_view Header);

} // namespace burdockpulley

#endif
