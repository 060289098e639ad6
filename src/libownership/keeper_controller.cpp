#include "burdockpulley/keeper_controller.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr Duration GrantLease{1'000'000};
/// A grant request whose outcome has not been reported by then has failed.
constexpr Duration GrantRequestTimeout{1'000'000};
constexpr Duration VersionQueryInterval{200'000};
/// The other hosts are queried when the last contact with the store is older.
constexpr Duration LateContactAge{600'000};

std::set<HostId> declaredHosts(const Declarations &Declared) {
  std::set<HostId> Hosts;
  for (const FailureDomain &Domain : Declared.m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts)
      Hosts.insert(Host.m_name);
  return Hosts;
}

} // namespace

KeeperView KeeperController::view(const Tables &Current) const {
  return {Current.m_declared, Current.m_keepers, Current.m_lost, m_self,
          m_incarnation};
}

void KeeperController::onContact(Instant ReadStart, Instant Now) {
  bool FromResponse = m_disabledRule == Mutation::ContactFromResponse;
  m_authority.onContact(FromResponse ? Now : ReadStart);
}

void KeeperController::onVersionResponse(std::uint64_t Round,
                                         const HostId &Host, StoreVersion Seen,
                                         const Tables &Current, Instant Now) {
  m_quorum.onResponse(Round, Host, Seen);
  auto RoundStart = m_quorum.contactStart(declaredHosts(Current.m_declared),
                                          m_self, Current.m_seen);
  if (RoundStart)
    onContact(*RoundStart, Now);
}

void KeeperController::onGrantResponse(const UpstreamId &Upstream,
                                       KeeperEpoch Epoch,
                                       std::uint64_t Sequence,
                                       const GrantResponse &Response,
                                       Instant Now) {
  auto It = m_keptUpstreams.find(Upstream);
  if (It == m_keptUpstreams.end() || It->second.m_lease.epoch() != Epoch ||
      It->second.m_inFlight != Sequence)
    return;
  It->second.m_inFlight.reset();
  It->second.m_lease.onResponse(Sequence, Response, Now);
}

void KeeperController::onGrantFailure(const UpstreamId &Upstream,
                                      KeeperEpoch Epoch,
                                      std::uint64_t Sequence) {
  auto It = m_keptUpstreams.find(Upstream);
  if (It == m_keptUpstreams.end() || It->second.m_lease.epoch() != Epoch ||
      It->second.m_inFlight != Sequence)
    return;
  It->second.m_inFlight.reset();
  It->second.m_lease.onFailure();
}

void KeeperController::onNotApplied(const StoreTransaction &Change,
                                    StoreVersion At) {
  for (const StoreWrite &Write : Change.m_writes) {
    auto It = m_releases.find(Write.m_key);
    if (It != m_releases.end())
      It->second.m_rejectedAt = At;
  }
}

void KeeperController::startKeeping(const Tables &Current,
                                    const DomainId &Domain,
                                    const UpstreamId &Name,
                                    const KeeperRecord &Record) {
  auto It = m_keptUpstreams.find(Name);
  if (It != m_keptUpstreams.end() &&
      It->second.m_lease.epoch() == Record.m_epoch)
    return;
  const Upstream *Declared = Current.m_declared.findUpstream(Name);
  bool ChecksGrants = !Declared || Declared->m_checksGrants;
  KeptUpstream Kept{
      Domain,
      Declared ? Declared->m_service : ServiceId(),
      UpstreamLease(Record.m_epoch, GrantLease, ChecksGrants, m_disabledRule),
      Record,
      Current.m_keepers.domain(Domain).m_version,
      {},
      {}};
  m_keptUpstreams.insert_or_assign(Name, std::move(Kept));
}

void KeeperController::refresh(const Tables &Current, Instant Now) {
  KeeperView View = view(Current);
  std::set<UpstreamId> KeptNames;
  for (const auto &[Domain, Keepers] : Current.m_keepers.domains())
    for (const auto &[Name, Record] : Keepers.m_records)
      if (keptByThisProcess(View, Record)) {
        startKeeping(Current, Domain, Name, Record);
        KeptNames.insert(Name);
      }
  std::erase_if(m_keptUpstreams, [&](const auto &Entry) {
    return !KeptNames.count(Entry.first);
  });
  determineEarlierGrantsEnd(Current, Now);
  eraseSettledReleases(Current);
}

void KeeperController::determineEarlierGrantsEnd(const Tables &Current,
                                                 Instant Now) {
  std::set<HostId> Hosts = declaredHosts(Current.m_declared);
  bool NeedsQuorum = m_disabledRule != Mutation::NoQuorum;
  // Once a majority has seen the new epoch, an earlier keeper can get no new
  // contact without learning of it. From then on it acts for at most its hold
  // time, and the last grant that it sends lasts for one lease.
  for (auto &[Name, Kept] : m_keptUpstreams) {
    if (Kept.m_lease.earlierGrantsEndKnown())
      continue;
    Duration Hold = Kept.m_record.m_earlierHold;
    if (Kept.m_record.m_epoch.value() <= 1)
      Kept.m_lease.setEarlierGrantsEnd(Now);
    else if (!NeedsQuorum ||
             m_quorum.seenByMajority(Hosts, m_self, Current.m_seen,
                                     Kept.m_epochVersion))
      Kept.m_lease.setEarlierGrantsEnd(Now + Hold + driftMargin(Hold) +
                                       GrantLease + driftMargin(GrantLease));
  }
}

void KeeperController::eraseSettledReleases(const Tables &Current) {
  std::erase_if(m_releases, [&](const auto &Entry) {
    ServiceId Service;
    std::uint32_t Number = 0;
    parseOwnershipKey(Entry.first, Service, Number);
    std::span<const OwnershipChunk> Chunks =
        Current.m_ownership.chunks(Service);
    const PendingRelease &Release = Entry.second;
    bool Replaced = Number < Chunks.size() &&
                    Chunks[Number].m_version != Release.m_chunkVersion;
    // When the store has rejected the release and the chunk is still the same,
    // no attempt of this release can be applied any more.
    return Replaced ||
           (Release.m_rejectedAt && Current.m_seen >= *Release.m_rejectedAt);
  });
}

std::optional<VersionQuery>
KeeperController::planVersionQuery(const Tables &Current, Instant Now) {
  bool AwaitsQuorum = std::any_of(
      m_keptUpstreams.begin(), m_keptUpstreams.end(), [](const auto &Entry) {
        return !Entry.second.m_lease.earlierGrantsEndKnown();
      });
  std::optional<Instant> LastContact = m_authority.lastContact();
  bool Late = !m_keptUpstreams.empty() &&
              (!LastContact || Now - *LastContact >= LateContactAge);
  if (!AwaitsQuorum && !Late)
    return std::nullopt;
  if (m_lastQuery && Now - *m_lastQuery < VersionQueryInterval)
    return std::nullopt;
  m_lastQuery = Now;
  return VersionQuery{m_quorum.beginRound(Now), Current.m_seen};
}

std::set<UpstreamId> KeeperController::silentUpstreams(Instant Now) const {
  std::set<UpstreamId> Silent;
  for (const auto &[Name, Kept] : m_keptUpstreams)
    if (Kept.m_lease.silent(Now))
      Silent.insert(Name);
  return Silent;
}

std::vector<StoreTransaction>
KeeperController::planKeeperChanges(const Tables &Current, Instant Now) const {
  return planKeepers(view(Current), silentUpstreams(Now), Now);
}

bool KeeperController::releasePartition(PartitionIndex Partition,
                                        PartitionOwnership &Ownership,
                                        const Tables &Current,
                                        const std::set<UpstreamId> &Down,
                                        Instant Now) const {
  auto It = m_keptUpstreams.find(Ownership.m_owner);
  if (It == m_keptUpstreams.end())
    return false;
  auto Usable = [&](const UpstreamId &Name) {
    return !Down.count(Name) && Current.m_declared.findUpstream(Name);
  };
  bool OwnerUsable = Usable(Ownership.m_owner);
  bool TargetUsable = Ownership.moving() && Usable(Ownership.m_target);
  if (OwnerUsable && !Ownership.moving())
    return false;
  if (OwnerUsable && !TargetUsable) {
    Ownership.m_target = UpstreamId();
    return true;
  }
  if (!It->second.m_lease.grantEnded(Partition, Now))
    return false;
  Ownership.m_owner = TargetUsable ? Ownership.m_target : UpstreamId();
  Ownership.m_token = FencingToken(Ownership.m_token.value() + 1);
  Ownership.m_target = UpstreamId();
  return true;
}

std::optional<StoreTransaction> KeeperController::planChunkRelease(
    const ServiceId &Service, std::uint32_t Number, const Tables &Current,
    const std::set<UpstreamId> &Down, Instant Now) {
  OwnershipChunk Chunk = Current.m_ownership.chunks(Service)[Number];
  std::set<DomainId> Domains;
  std::set<PartitionIndex> Released;
  for (std::uint32_t Offset = 0; Offset < Chunk.m_partitions.size(); ++Offset) {
    PartitionIndex Partition(Number * PartitionsPerChunk + Offset);
    PartitionOwnership &Ownership = Chunk.m_partitions[Offset];
    UpstreamId Owner = Ownership.m_owner;
    if (!releasePartition(Partition, Ownership, Current, Down, Now))
      continue;
    Domains.insert(m_keptUpstreams.at(Owner).m_domain);
    Released.insert(Partition);
  }
  if (Released.empty())
    return std::nullopt;
  std::string Key = ownershipKey(Service, Number);
  StoreTransaction Change{{{Key, Chunk.m_version}},
                          {{Key, encodeChunk(Chunk), false, {}}}};
  // Only the current keeper may declare that a revoked grant has ended.
  for (const DomainId &Domain : Domains)
    Change.m_conditions.push_back(
        {keepersKey(Domain), Current.m_keepers.domain(Domain).m_version});
  PendingRelease &Release = m_releases[Key];
  Release.m_chunkVersion = Chunk.m_version;
  Release.m_partitions.merge(Released);
  Release.m_rejectedAt.reset();
  return Change;
}

std::vector<StoreTransaction>
KeeperController::planReleases(const Tables &Current, Instant Now) {
  refresh(Current, Now);
  std::set<UpstreamId> Down = Current.m_keepers.down();
  std::vector<StoreTransaction> Plan;
  for (const Service &DeclaredService : Current.m_declared.m_services) {
    std::size_t ChunkCount =
        Current.m_ownership.chunks(DeclaredService.m_name).size();
    for (std::uint32_t Number = 0; Number < ChunkCount; ++Number)
      if (auto Change = planChunkRelease(DeclaredService.m_name, Number,
                                         Current, Down, Now))
        Plan.push_back(std::move(*Change));
  }
  return Plan;
}

GrantList KeeperController::wantedGrants(const UpstreamId &Name,
                                         const KeptUpstream &Kept,
                                         const Tables &Current) const {
  GrantList Grants;
  std::uint32_t Number = 0;
  if (!Current.m_declared.findUpstream(Name))
    return Grants;
  for (const OwnershipChunk &Chunk :
       Current.m_ownership.chunks(Kept.m_service)) {
    auto It = m_releases.find(ownershipKey(Kept.m_service, Number));
    bool Releasing = It != m_releases.end() &&
                     m_disabledRule != Mutation::GrantWhileReleasing;
    std::uint32_t NextIndex = Number * PartitionsPerChunk;
    for (const PartitionOwnership &Ownership : Chunk.m_partitions) {
      PartitionIndex Partition(NextIndex++);
      if (Ownership.m_owner != Name || Ownership.moving())
        continue;
      if (!Releasing || !It->second.m_partitions.count(Partition))
        Grants[Partition] = Ownership.m_token;
    }
    ++Number;
  }
  return Grants;
}

std::vector<KeeperController::OutgoingGrant>
KeeperController::planGrantRequests(const Tables &Current, Instant Now) {
  refresh(Current, Now);
  std::vector<OutgoingGrant> Plan;
  for (auto &[Name, Kept] : m_keptUpstreams) {
    if (Kept.m_inFlight && Now - Kept.m_sentAt >= GrantRequestTimeout) {
      Kept.m_inFlight.reset();
      Kept.m_lease.onFailure();
    }
    bool Allowed = m_authority.mayAct(Kept.m_record.m_hold, Now) &&
                   Kept.m_lease.maySend(Now);
    if (!Allowed || Kept.m_inFlight)
      continue;
    GrantRequest Request = Kept.m_lease.prepare(
        m_self.value(), wantedGrants(Name, Kept, Current), Now);
    Kept.m_inFlight = Request.m_sequence;
    Kept.m_sentAt = Now;
    Plan.push_back({Name, std::move(Request)});
  }
  return Plan;
}

bool KeeperController::mayServe(const UpstreamId &Upstream,
                                PartitionIndex Partition, FencingToken Token,
                                Instant Now) const {
  auto It = m_keptUpstreams.find(Upstream);
  return It != m_keptUpstreams.end() &&
         m_authority.mayAct(It->second.m_record.m_hold, Now) &&
         It->second.m_lease.grants(Partition, Token);
}

} // namespace burdockpulley
