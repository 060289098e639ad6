#include "burdockpulley/keepers.h"
#include "burdockpulley/ownership.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A lost keeper is replaced only when its epoch has been known for this long,
/// so that two hosts that consider each other lost do not replace each other
/// endlessly.
constexpr Duration MinLostKeeperAge{1'000'000};
/// The same for a live keeper that the preferred host replaces.
constexpr Duration MinHandOverAge{10'000'000};

/// The live hosts of a domain, or of all domains when \p Domain is null.
std::vector<HostId> liveHosts(const KeeperView &View, const DomainId *Domain) {
  std::vector<HostId> Live;
  for (const FailureDomain &Candidate : View.m_declared.m_domains) {
    if (Domain && Candidate.m_name != *Domain)
      continue;
    for (const FailureDomain::Host &Host : Candidate.m_hosts)
      if (!View.m_lost.count(Host.m_name))
        Live.push_back(Host.m_name);
  }
  return Live;
}

/// True when a host does not respond or is not declared any more.
bool isGone(const KeeperView &View, const HostId &Host) {
  if (View.m_lost.count(Host))
    return true;
  std::vector<HostId> Live = liveHosts(View, nullptr);
  return std::find(Live.begin(), Live.end(), Host) == Live.end();
}

bool mayReplace(const KeeperView &View, const UpstreamId &Name,
                const KeeperRecord &Record, Instant Now) {
  // The keeper was an earlier process of this host, which has ended.
  if (Record.m_host == View.m_self)
    return true;
  Duration Age = Now - View.m_keepers.epochKnownSince(Name);
  return Age >=
         (isGone(View, Record.m_host) ? MinLostKeeperAge : MinHandOverAge);
}

/// The record by which this process becomes the keeper, under the next epoch.
KeeperRecord takeOver(const KeeperView &View, const KeeperRecord &Old,
                      Duration Hold) {
  return {View.m_self,
          View.m_incarnation,
          KeeperEpoch(Old.m_epoch.value() + 1),
          Hold,
          std::max(Old.m_hold, Old.m_earlierHold),
          Old.m_down};
}

/// The record that should replace \p Old; equal to it when nothing changes.
KeeperRecord nextRecord(const KeeperView &View, const DomainId &Domain,
                        const UpstreamId &Name, const KeeperRecord &Old,
                        Duration Hold,
                        const std::set<UpstreamId> &SilentUpstreams,
                        Instant Now) {
  if (keptByThisProcess(View, Old)) {
    if (Old.m_hold != Hold)
      return takeOver(View, Old, Hold);
    KeeperRecord Updated = Old;
    Updated.m_down = SilentUpstreams.count(Name) != 0;
    return Updated;
  }
  bool HasNoKeeper = Old.m_host.value().empty();
  if (preferredKeeper(View, Domain, Name) != View.m_self)
    return Old;
  if (!HasNoKeeper && !mayReplace(View, Name, Old, Now))
    return Old;
  return takeOver(View, Old, Hold);
}

/// True when the record of the upstream is stored with another domain. An
/// upstream whose declared domain has changed stays with the keepers of the
/// domain that it was first declared in.
bool recordedElsewhere(const KeeperView &View, const Upstream &Server) {
  return std::any_of(View.m_keepers.domains().begin(),
                     View.m_keepers.domains().end(), [&](const auto &Entry) {
                       return Entry.first != Server.m_domain &&
                              Entry.second.m_records.count(Server.m_name) != 0;
                     });
}

Duration holdOf(const Declarations &Declared, const UpstreamId &Name,
                Duration Default) {
  const Upstream *Server = Declared.findUpstream(Name);
  const Service *DeclaredService =
      Server ? Declared.findService(Server->m_service) : nullptr;
  return DeclaredService ? DeclaredService->m_isolationHold : Default;
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

bool keptByThisProcess(const KeeperView &View, const KeeperRecord &Record) {
  return Record.m_host == View.m_self &&
         Record.m_incarnation == View.m_incarnation;
}

std::vector<StoreTransaction>
planKeepers(const KeeperView &View, const std::set<UpstreamId> &SilentUpstreams,
            Instant Now) {
  std::map<DomainId, DomainKeepers> Drafts = View.m_keepers.domains();
  for (const Upstream &Server : View.m_declared.m_upstreams) {
    const Service *DeclaredService =
        View.m_declared.findService(Server.m_service);
    if (DeclaredService && DeclaredService->keyed() &&
        !recordedElsewhere(View, Server))
      Drafts[Server.m_domain].m_records.try_emplace(Server.m_name);
  }
  std::vector<StoreTransaction> Plan;
  for (auto &[Domain, Draft] : Drafts) {
    bool Changed = false;
    for (auto &[Name, Record] : Draft.m_records) {
      Duration Hold = holdOf(View.m_declared, Name, Record.m_hold);
      KeeperRecord Next =
          nextRecord(View, Domain, Name, Record, Hold, SilentUpstreams, Now);
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
