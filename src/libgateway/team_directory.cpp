#include "burdockpulley/team_directory.h"

#include "burdockpulley/hashing.h"

#include <strings.h>

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

constexpr std::string_view BearerScheme = "Bearer ";
/// A higher rate or burst is taken for a mistake.
constexpr double MaxRequests = 1e9;

/// True for a text that can be sent in a header.
bool isHeaderText(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character >= ' ' && Character <= '~';
         });
}

bool isAmount(double Value) {
  return std::isfinite(Value) && Value >= 0 && Value <= MaxRequests;
}

} // namespace

std::optional<std::string>
TeamDirectory::add(const TeamPolicy &Team,
                   const std::vector<std::string> &ApiKeys) {
  const std::string &Name = Team.m_name.value();
  if (!isHeaderText(Name))
    return "a team's name is empty or not printable";
  if (!isAmount(Team.m_requestRate))
    return "the rate of team " + Name + " is out of range";
  if (!isAmount(Team.m_burst))
    return "the burst of team " + Name + " is out of range";
  if (m_byName.count(Name) != 0)
    return "team " + Name + " is there twice";
  const TeamPolicy &Added = m_teams.emplace_back(Team);
  m_byName.emplace(Name, &Added);
  for (const std::string &Key : ApiKeys) {
    if (!isHeaderText(Key))
      return "a key of team " + Name + " is empty or not printable";
    auto [It, New] = m_byKeyDigest.emplace(sha256Hex(Key), &Added);
    if (!New && It->second != &Added)
      return "teams " + It->second->m_name.value() + " and " + Name +
             " share a key";
  }
  return std::nullopt;
}

const TeamPolicy *TeamDirectory::findByKey(std::string_view ApiKey) const {
  auto It = m_byKeyDigest.find(sha256Hex(ApiKey));
  return It == m_byKeyDigest.end() ? nullptr : It->second;
}

const TeamPolicy *TeamDirectory::findByName(const TeamId &Name) const {
  auto It = m_byName.find(Name.value());
  return It == m_byName.end() ? nullptr : It->second;
}

std::string_view apiKeyOf(std::string_view Header) {
  // Schemes are compared without regard to case (RFC 9110).
  if (Header.size() <= BearerScheme.size() ||
      strncasecmp(Header.data(), BearerScheme.data(), BearerScheme.size()) != 0)
    return {};
  std::string_view Key = Header.substr(BearerScheme.size());
  std::size_t First = Key.find_first_not_of(' ');
  if (First == std::string_view::npos)
    return {};
  return Key.substr(First, Key.find_last_not_of(' ') + 1 - First);
}

} // namespace burdockpulley
