#include "burdockpulley/keepers.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

using nlohmann::json;

std::string keepersKey(const DomainId &Domain) {
  return KeepersPrefix + Domain.value();
}

std::string encodeKeepers(const KeeperDomain &Domain) {
  json Records = json::object();
  for (const auto &[Name, Record] : Domain.m_records)
    Records[Name.value()] = {{"host", Record.m_host.value()},
                             {"incarnation", Record.m_incarnation},
                             {"epoch", Record.m_epoch.value()},
                             {"holdUs", Record.m_hold.count()},
                             {"earlierHoldUs", Record.m_earlierHold.count()},
                             {"down", Record.m_down}};
  return Records.dump();
}

bool decodeKeepers(std::string_view Text, KeeperDomain &Domain) {
  json Records = json::parse(Text, nullptr, false);
  if (!Records.is_object())
    return false;
  try {
    Domain.m_records.clear();
    for (const auto &[Name, Object] : Records.items()) {
      KeeperRecord &Record = Domain.m_records[UpstreamId(Name)];
      Record.m_host = HostId(Object.at("host").get<std::string>());
      Record.m_incarnation = Object.at("incarnation").get<std::string>();
      Record.m_epoch = KeeperEpoch(Object.at("epoch").get<std::uint64_t>());
      Record.m_hold = Duration(Object.at("holdUs").get<std::int64_t>());
      Record.m_earlierHold =
          Duration(Object.at("earlierHoldUs").get<std::int64_t>());
      Record.m_down = Object.at("down").get<bool>();
    }
  } catch (const json::exception &) {
    return false;
  }
  return true;
}

bool KeeperTable::apply(const StoreEntry &Entry, Instant Now) {
  std::string_view Prefix = KeepersPrefix;
  if (!std::string_view(Entry.m_key).starts_with(Prefix))
    return false;
  KeeperDomain Fresh;
  Fresh.m_version = Entry.m_modified;
  if (!decodeKeepers(Entry.m_value, Fresh))
    return false;
  KeeperDomain &Known = m_domains[DomainId(Entry.m_key.substr(Prefix.size()))];
  if (Known.m_version >= Fresh.m_version)
    return false;
  for (const auto &[Name, Record] : Fresh.m_records) {
    auto Old = Known.m_records.find(Name);
    if (Old == Known.m_records.end() || Old->second.m_epoch != Record.m_epoch)
      m_since[Name] = Now;
  }
  Known = std::move(Fresh);
  return true;
}

std::vector<StoreEntry> KeeperTable::entriesSince(StoreVersion Version) const {
  std::vector<StoreEntry> Entries;
  for (const auto &[Name, Domain] : m_domains)
    if (Domain.m_version > Version)
      Entries.push_back(
          {keepersKey(Name), encodeKeepers(Domain), Domain.m_version});
  return Entries;
}

const KeeperDomain &KeeperTable::domain(const DomainId &Name) const {
  static const KeeperDomain Empty;
  auto Found = m_domains.find(Name);
  return Found == m_domains.end() ? Empty : Found->second;
}

const KeeperRecord *KeeperTable::find(const DomainId &Domain,
                                      const UpstreamId &Upstream) const {
  const auto &Records = domain(Domain).m_records;
  auto Found = Records.find(Upstream);
  return Found == Records.end() ? nullptr : &Found->second;
}

Instant KeeperTable::since(const UpstreamId &Upstream) const {
  return m_since.at(Upstream);
}

std::set<UpstreamId> KeeperTable::down() const {
  std::set<UpstreamId> Down;
  for (const auto &[Domain, Row] : m_domains)
    for (const auto &[Name, Record] : Row.m_records)
      if (Record.m_down)
        Down.insert(Name);
  return Down;
}

} // namespace burdockpulley
