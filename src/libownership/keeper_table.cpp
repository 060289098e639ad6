#include "burdockpulley/keepers.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

using nlohmann::json;

std::string keepersKey(const DomainId &Domain) {
  return KeepersPrefix + Domain.value();
}

std::string encodeKeepers(const DomainKeepers &Keepers) {
  json Records = json::object();
  for (const auto &[Name, Record] : Keepers.m_records)
    Records[Name.value()] = {{"host", Record.m_host.value()},
                             {"incarnation", Record.m_incarnation},
                             {"epoch", Record.m_epoch.value()},
                             {"holdUs", Record.m_hold.count()},
                             {"earlierHoldUs", Record.m_earlierHold.count()},
                             {"down", Record.m_down}};
  return Records.dump();
}

bool decodeKeepers(std::string_view Text, DomainKeepers &Keepers) {
  json Records = json::parse(Text, nullptr, false);
  if (!Records.is_object())
    return false;
  try {
    Keepers.m_records.clear();
    for (const auto &[Name, Object] : Records.items()) {
      KeeperRecord &Record = Keepers.m_records[UpstreamId(Name)];
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
  DomainKeepers NewKeepers;
  NewKeepers.m_version = Entry.m_modified;
  if (!decodeKeepers(Entry.m_value, NewKeepers))
    return false;
  DomainKeepers &Current =
      m_domains[DomainId(Entry.m_key.substr(Prefix.size()))];
  if (Current.m_version >= NewKeepers.m_version)
    return false;
  for (const auto &[Name, Record] : NewKeepers.m_records) {
    auto It = Current.m_records.find(Name);
    if (It == Current.m_records.end() || It->second.m_epoch != Record.m_epoch)
      m_epochKnownSince[Name] = Now;
  }
  Current = std::move(NewKeepers);
  return true;
}

std::vector<StoreEntry> KeeperTable::entriesSince(StoreVersion Version) const {
  std::vector<StoreEntry> Entries;
  for (const auto &[Name, Keepers] : m_domains)
    if (Keepers.m_version > Version)
      Entries.push_back(
          {keepersKey(Name), encodeKeepers(Keepers), Keepers.m_version});
  return Entries;
}

const DomainKeepers &KeeperTable::domain(const DomainId &Name) const {
  static const DomainKeepers Empty;
  auto It = m_domains.find(Name);
  return It == m_domains.end() ? Empty : It->second;
}

const KeeperRecord *KeeperTable::find(const DomainId &Domain,
                                      const UpstreamId &Upstream) const {
  const auto &Records = domain(Domain).m_records;
  auto It = Records.find(Upstream);
  return It == Records.end() ? nullptr : &It->second;
}

Instant KeeperTable::epochKnownSince(const UpstreamId &Upstream) const {
  return m_epochKnownSince.at(Upstream);
}

std::set<UpstreamId> KeeperTable::down() const {
  std::set<UpstreamId> Down;
  for (const auto &[Domain, Keepers] : m_domains)
    for (const auto &[Name, Record] : Keepers.m_records)
      if (Record.m_down)
        Down.insert(Name);
  return Down;
}

} // namespace burdockpulley
