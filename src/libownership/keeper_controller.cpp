#include "burdockpulley/keeper_controller.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr Duration GrantLease{1'000'000};
/// An order whose outcome was not told by then has failed.
constexpr Duration OrderTimeout{1'000'000};
constexpr Duration QuestionInterval{200'000};
/// Contact older than this is asked for among the other hosts.
constexpr Duration LateContact{600'000};

std::set<HostId> declaredHosts(const Declarations &Declared) {
  std::set<HostId> Hosts;
  for (const FailureDomain &Domain : Declared.m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts)
      Hosts.insert(Host.m_name);
  return Hosts;
}

} // namespace

KeeperView KeeperController::view(const Tables &In) const {
  return {In.m_declared, In.m_keepers, In.m_lost, m_self, m_incarnation};
}

void KeeperController::onContact(Instant Began, Instant Now) {
  bool Late = m_rules == Mutation::ContactFromAnswer;
  m_authority.onContact(Late ? Now : Began);
}

void KeeperController::onVersionAnswer(std::uint64_t Round, const HostId &Host,
                                       StoreVersion Seen, const Tables &In,
                                       Instant Now) {
  m_quorum.onAnswer(Round, Host, Seen);
  auto Began =
      m_quorum.contact(declaredHosts(In.m_declared), m_self, In.m_seen);
  if (Began)
    onContact(*Began, Now);
}

void KeeperController::onGrantAnswer(const UpstreamId &Upstream,
                                     KeeperEpoch Epoch, std::uint64_t Sequence,
                                     const GrantResponse &Answer, Instant Now) {
  auto Found = m_kept.find(Upstream);
  if (Found == m_kept.end() || Found->second.m_lease.epoch() != Epoch ||
      Found->second.m_underWay != Sequence)
    return;
  Found->second.m_underWay.reset();
  Found->second.m_lease.onAnswer(Sequence, Answer, Now);
}

void KeeperController::onGrantFailure(const UpstreamId &Upstream,
                                      KeeperEpoch Epoch,
                                      std::uint64_t Sequence) {
  auto Found = m_kept.find(Upstream);
  if (Found == m_kept.end() || Found->second.m_lease.epoch() != Epoch ||
      Found->second.m_underWay != Sequence)
    return;
  Found->second.m_underWay.reset();
  Found->second.m_lease.onFailure();
}

void KeeperController::onNotApplied(const StoreTransaction &Change,
                                    StoreVersion At) {
  for (const StoreWrite &Write : Change.m_writes) {
    auto Found = m_releases.find(Write.m_key);
    if (Found != m_releases.end())
      Found->second.m_refusedAt = At;
  }
}

void KeeperController::keep(const Tables &In, const DomainId &Domain,
                            const UpstreamId &Name,
                            const KeeperRecord &Record) {
  auto Found = m_kept.find(Name);
  if (Found != m_kept.end() && Found->second.m_lease.epoch() == Record.m_epoch)
    return;
  const Upstream *Which = In.m_declared.findUpstream(Name);
  bool Checks = !Which || Which->m_checksGrants;
  Kept Row{Domain,
           Which ? Which->m_service : ServiceId(),
           UpstreamLease(Record.m_epoch, GrantLease, Checks, m_rules),
           Record,
           In.m_keepers.domain(Domain).m_version,
           {},
           {}};
  m_kept.insert_or_assign(Name, std::move(Row));
}

void KeeperController::refresh(const Tables &In, Instant Now) {
  KeeperView View = view(In);
  std::set<UpstreamId> Here;
  for (const auto &[Domain, Row] : In.m_keepers.domains())
    for (const auto &[Name, Record] : Row.m_records)
      if (keptHere(View, Record)) {
        keep(In, Domain, Name, Record);
        Here.insert(Name);
      }
  std::erase_if(m_kept,
                [&](const auto &Entry) { return !Here.count(Entry.first); });
  settleEarlier(In, Now);
  forgetSettledReleases(In);
}

void KeeperController::settleEarlier(const Tables &In, Instant Now) {
  std::set<HostId> Hosts = declaredHosts(In.m_declared);
  bool Quorum = m_rules != Mutation::NoQuorum;
  for (auto &[Name, Row] : m_kept) {
    if (Row.m_lease.earlierOverKnown())
      continue;
    Duration Hold = Row.m_record.m_earlierHold;
    if (Row.m_record.m_epoch.value() <= 1)
      Row.m_lease.setEarlierOver(Now);
    else if (!Quorum ||
             m_quorum.seenByMajority(Hosts, m_self, In.m_seen, Row.m_since))
      Row.m_lease.setEarlierOver(Now + Hold + driftMargin(Hold) + GrantLease +
                                 driftMargin(GrantLease));
  }
}

void KeeperController::forgetSettledReleases(const Tables &In) {
  std::erase_if(m_releases, [&](const auto &Entry) {
    ServiceId Service;
    std::uint32_t Number = 0;
    parseOwnershipKey(Entry.first, Service, Number);
    std::span<const OwnershipChunk> Chunks = In.m_ownership.chunks(Service);
    const Release &Row = Entry.second;
    bool Replaced = Number < Chunks.size() &&
                    Chunks[Number].m_version != Row.m_chunkVersion;
    // Refused and still the same chunk: no attempt can apply any more.
    return Replaced || (Row.m_refusedAt && In.m_seen >= *Row.m_refusedAt);
  });
}

std::optional<VersionQuery> KeeperController::planVersionQuery(const Tables &In,
                                                               Instant Now) {
  bool Unsettled =
      std::any_of(m_kept.begin(), m_kept.end(), [](const auto &Entry) {
        return !Entry.second.m_lease.earlierOverKnown();
      });
  std::optional<Instant> Contact = m_authority.lastContact();
  bool Late = !m_kept.empty() && (!Contact || Now - *Contact >= LateContact);
  if (!Unsettled && !Late)
    return std::nullopt;
  if (m_lastQuestion && Now - *m_lastQuestion < QuestionInterval)
    return std::nullopt;
  m_lastQuestion = Now;
  return VersionQuery{m_quorum.begin(Now), In.m_seen};
}

std::set<UpstreamId> KeeperController::silentUpstreams(Instant Now) const {
  std::set<UpstreamId> Silent;
  for (const auto &[Name, Row] : m_kept)
    if (Row.m_lease.silent(Now))
      Silent.insert(Name);
  return Silent;
}

std::vector<StoreTransaction>
KeeperController::planKeeperChanges(const Tables &In, Instant Now) const {
  return planKeepers(view(In), silentUpstreams(Now), Now);
}

bool KeeperController::releaseRow(PartitionIndex Partition, PartitionRow &Row,
                                  const Tables &In,
                                  const std::set<UpstreamId> &Down,
                                  Instant Now) const {
  auto Kept = m_kept.find(Row.m_owner);
  if (Kept == m_kept.end())
    return false;
  auto Usable = [&](const UpstreamId &Name) {
    return !Down.count(Name) && In.m_declared.findUpstream(Name);
  };
  bool OwnerUsable = Usable(Row.m_owner);
  bool TargetUsable = Row.moving() && Usable(Row.m_target);
  if (OwnerUsable && !Row.moving())
    return false;
  if (OwnerUsable && !TargetUsable) {
    Row.m_target = UpstreamId();
    return true;
  }
  if (!Kept->second.m_lease.over(Partition, Now))
    return false;
  Row.m_owner = TargetUsable ? Row.m_target : UpstreamId();
  Row.m_token = FencingToken(Row.m_token.value() + 1);
  Row.m_target = UpstreamId();
  return true;
}

std::optional<StoreTransaction>
KeeperController::planChunk(const ServiceId &Service, std::uint32_t Number,
                            const Tables &In, const std::set<UpstreamId> &Down,
                            Instant Now) {
  OwnershipChunk Chunk = In.m_ownership.chunks(Service)[Number];
  std::set<DomainId> Domains;
  std::set<PartitionIndex> Released;
  for (std::uint32_t Offset = 0; Offset < Chunk.m_rows.size(); ++Offset) {
    PartitionIndex Partition(Number * PartitionsPerChunk + Offset);
    PartitionRow &Row = Chunk.m_rows[Offset];
    UpstreamId Owner = Row.m_owner;
    if (!releaseRow(Partition, Row, In, Down, Now))
      continue;
    Domains.insert(m_kept.at(Owner).m_domain);
    Released.insert(Partition);
  }
  if (Released.empty())
    return std::nullopt;
  std::string Key = ownershipKey(Service, Number);
  StoreTransaction Change{{{Key, Chunk.m_version}},
                          {{Key, encodeChunk(Chunk), false, {}}}};
  // Only the keeper of the moment may say that a revocation is over.
  for (const DomainId &Domain : Domains)
    Change.m_conditions.push_back(
        {keepersKey(Domain), In.m_keepers.domain(Domain).m_version});
  Release &Row = m_releases[Key];
  Row.m_chunkVersion = Chunk.m_version;
  Row.m_partitions.merge(Released);
  Row.m_refusedAt.reset();
  return Change;
}

std::vector<StoreTransaction> KeeperController::planReleases(const Tables &In,
                                                             Instant Now) {
  refresh(In, Now);
  std::set<UpstreamId> Down = In.m_keepers.down();
  std::vector<StoreTransaction> Plan;
  for (const Service &Target : In.m_declared.m_services) {
    std::size_t Count = In.m_ownership.chunks(Target.m_name).size();
    for (std::uint32_t Number = 0; Number < Count; ++Number)
      if (auto Change = planChunk(Target.m_name, Number, In, Down, Now))
        Plan.push_back(std::move(*Change));
  }
  return Plan;
}

GrantList KeeperController::wanted(const UpstreamId &Name, const Kept &Row,
                                   const Tables &In) const {
  GrantList Grants;
  std::uint32_t Number = 0;
  if (!In.m_declared.findUpstream(Name))
    return Grants;
  for (const OwnershipChunk &Chunk : In.m_ownership.chunks(Row.m_service)) {
    auto Found = m_releases.find(ownershipKey(Row.m_service, Number));
    bool Releasing =
        Found != m_releases.end() && m_rules != Mutation::GrantWhileReleasing;
    std::uint32_t Partition = Number * PartitionsPerChunk;
    for (const PartitionRow &Each : Chunk.m_rows) {
      PartitionIndex Index(Partition++);
      if (Each.m_owner != Name || Each.moving())
        continue;
      if (!Releasing || !Found->second.m_partitions.count(Index))
        Grants[Index] = Each.m_token;
    }
    ++Number;
  }
  return Grants;
}

std::vector<KeeperController::OutgoingGrant>
KeeperController::planOrders(const Tables &In, Instant Now) {
  refresh(In, Now);
  std::vector<OutgoingGrant> Plan;
  for (auto &[Name, Row] : m_kept) {
    if (Row.m_underWay && Now - Row.m_sent >= OrderTimeout) {
      Row.m_underWay.reset();
      Row.m_lease.onFailure();
    }
    bool Allowed =
        m_authority.holds(Row.m_record.m_hold, Now) && Row.m_lease.maySend(Now);
    if (!Allowed || Row.m_underWay)
      continue;
    GrantRequest Order =
        Row.m_lease.prepare(m_self.value(), wanted(Name, Row, In), Now);
    Row.m_underWay = Order.m_sequence;
    Row.m_sent = Now;
    Plan.push_back({Name, std::move(Order)});
  }
  return Plan;
}

bool KeeperController::mayServe(const UpstreamId &Upstream,
                                PartitionIndex Partition, FencingToken Token,
                                Instant Now) const {
  auto Found = m_kept.find(Upstream);
  return Found != m_kept.end() &&
         m_authority.holds(Found->second.m_record.m_hold, Now) &&
         Found->second.m_lease.grants(Partition, Token);
}

} // namespace burdockpulley
