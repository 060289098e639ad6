#include "burdockpulley/keepers.h"
#include "burdockpulley/ownership.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// How long a record is left alone, so that two hosts that think each other
/// lost do not replace each other without end.
constexpr Duration LostKeeperAge{1'000'000};
/// How long a living keeper stays although another host is preferred.
constexpr Duration HandOverAge{10'000'000};

std::vector<HostId> liveHosts(const KeeperView &View, const DomainId *Domain) {
  std::vector<HostId> Live;
  for (const FailureDomain &Each : View.m_declared.m_domains) {
    if (Domain && Each.m_name != *Domain)
      continue;
    for (const FailureDomain::Host &Host : Each.m_hosts)
      if (!View.m_lost.count(Host.m_name))
        Live.push_back(Host.m_name);
  }
  return Live;
}

bool gone(const KeeperView &View, const HostId &Host) {
  if (View.m_lost.count(Host))
    return true;
  std::vector<HostId> Live = liveHosts(View, nullptr);
  return std::find(Live.begin(), Live.end(), Host) == Live.end();
}

bool mayReplace(const KeeperView &View, const UpstreamId &Name,
                const KeeperRecord &Record, Instant Now) {
  // An earlier process of this host: it is not coming back.
  if (Record.m_host == View.m_self)
    return true;
  Duration Age = Now - View.m_keepers.since(Name);
  return Age >= (gone(View, Record.m_host) ? LostKeeperAge : HandOverAge);
}

KeeperRecord takeOver(const KeeperView &View, const KeeperRecord &Old,
                      Duration Hold) {
  return {View.m_self,
          View.m_incarnation,
          KeeperEpoch(Old.m_epoch.value() + 1),
          Hold,
          std::max(Old.m_hold, Old.m_earlierHold),
          Old.m_down};
}

/// The record that should stand in place of \p Old.
KeeperRecord nextRecord(const KeeperView &View, const DomainId &Domain,
                        const UpstreamId &Name, const KeeperRecord &Old,
                        Duration Hold, const std::set<UpstreamId> &Unanswered,
                        Instant Now) {
  if (keptHere(View, Old)) {
    if (Old.m_hold != Hold)
      return takeOver(View, Old, Hold);
    KeeperRecord Same = Old;
    Same.m_down = Unanswered.count(Name) != 0;
    return Same;
  }
  bool Free = Old.m_host.value().empty();
  if (preferredKeeper(View, Domain, Name) != View.m_self)
    return Old;
  if (!Free && !mayReplace(View, Name, Old, Now))
    return Old;
  return takeOver(View, Old, Hold);
}

/// True when another domain has the upstream's record: an upstream that was
/// declared elsewhere keeps its first keepers.
bool recordedElsewhere(const KeeperView &View, const Upstream &Which) {
  return std::any_of(View.m_keepers.domains().begin(),
                     View.m_keepers.domains().end(), [&](const auto &Entry) {
                       return Entry.first != Which.m_domain &&
                              Entry.second.m_records.count(Which.m_name) != 0;
                     });
}

Duration holdOf(const Declarations &Declared, const UpstreamId &Name,
                Duration Otherwise) {
  const Upstream *Which = Declared.findUpstream(Name);
  const Service *Target =
      Which ? Declared.findService(Which->m_service) : nullptr;
  return Target ? Target->m_isolationHold : Otherwise;
}

} // namespace

HostId preferredKeeper(const KeeperView &View, const DomainId &Domain,
                       const UpstreamId &Upstream) {
  std::vector<HostId> Live = liveHosts(View, &Domain);
  if (Live.empty())
    Live = liveHosts(View, nullptr);
  const HostId *Best = chooseKeeper(Upstream, Live);
  return Best ? *Best : HostId();
}

bool keptHere(const KeeperView &View, const KeeperRecord &Record) {
  return Record.m_host == View.m_self &&
         Record.m_incarnation == View.m_incarnation;
}

std::vector<StoreTransaction>
planKeepers(const KeeperView &View, const std::set<UpstreamId> &Unanswered,
            Instant Now) {
  std::map<DomainId, KeeperDomain> Drafts = View.m_keepers.domains();
  for (const Upstream &Which : View.m_declared.m_upstreams) {
    const Service *Target = View.m_declared.findService(Which.m_service);
    if (Target && Target->keyed() && !recordedElsewhere(View, Which))
      Drafts[Which.m_domain].m_records.try_emplace(Which.m_name);
  }
  std::vector<StoreTransaction> Plan;
  for (auto &[Domain, Draft] : Drafts) {
    bool Changed = false;
    for (auto &[Name, Record] : Draft.m_records) {
      Duration Hold = holdOf(View.m_declared, Name, Record.m_hold);
      KeeperRecord Next =
          nextRecord(View, Domain, Name, Record, Hold, Unanswered, Now);
      Changed = Changed || !(Next == Record);
      Record = std::move(Next);
    }
    std::erase_if(Draft.m_records, [](const auto &Entry) {
      return Entry.second.m_host.value().empty();
    });
    std::string Key = keepersKey(Domain);
    if (Changed)
      Plan.push_back(
          {{{Key, Draft.m_version}}, {{Key, encodeKeepers(Draft), false, {}}}});
  }
  return Plan;
}

} // namespace burdockpulley
