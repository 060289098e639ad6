#include "table_spread.h"

#include "burdockpulley/event_log.h"
#include "burdockpulley/hashing.h"
#include "peer_types.h"

namespace burdockpulley {

namespace {
constexpr Duration SeedInterval{300'000};
constexpr Duration PullInterval{300'000};
} // namespace

TableSpread::TableSpread(event_base *Base, HostState &State, PeerNetwork &Peers,
                         std::function<void()> Changed)
    : m_state(State), m_peers(Peers), m_changed(std::move(Changed)),
      m_timer(Base, SeedInterval, [this](Instant) { askSeeds(); }) {}

std::vector<StoreEntry> TableSpread::entries(bool WithValues) const {
  std::vector<StoreEntry> Entries;
  for (const Service &Each : m_state.declared().m_services) {
    std::uint32_t Index = 0;
    for (const OwnershipChunk &Chunk :
         m_state.m_ownership.chunks(Each.m_name)) {
      std::string Value = WithValues ? encodeChunk(Chunk) : "";
      Entries.push_back({ownershipKey(Each.m_name, Index++), std::move(Value),
                         Chunk.m_version});
    }
  }
  for (const auto &[Domain, Row] : m_state.m_keepers.domains())
    Entries.push_back({keepersKey(Domain), WithValues ? encodeKeepers(Row) : "",
                       Row.m_version});
  return Entries;
}

void TableSpread::onTablesChanged() {
  m_tableVersion = 0;
  m_tableDigest = 0;
  for (const StoreEntry &Each : entries(false)) {
    std::int64_t Version = Each.m_modified.value();
    m_tableVersion = std::max(m_tableVersion, Version);
    m_tableDigest ^= static_cast<std::int64_t>(
        stableHash(Each.m_key, static_cast<std::uint64_t>(Version)));
  }
}

void TableSpread::addVersions(wire::MemberMessage &Message) const {
  Message.revision =
      static_cast<std::int64_t>(m_state.m_set->m_root.m_revision.value());
  Message.tableVersion = m_tableVersion;
  Message.tableDigest = m_tableDigest;
}

void TableSpread::askSeeds() {
  if (m_state.m_set->m_root.m_revision.value() > 0)
    return;
  wire::Message Message;
  Message.__set_configPull({});
  for (const Endpoint &Seed : m_state.m_settings.m_seeds)
    m_peers.postToSeed(Seed, Message);
}

void TableSpread::onVersions(const HostId &From,
                             const wire::MemberMessage &Theirs, Instant Now) {
  auto Revision =
      static_cast<std::int64_t>(m_state.m_set->m_root.m_revision.value());
  if (Theirs.revision > Revision && Now >= m_nextConfigPull) {
    m_nextConfigPull = Now + PullInterval;
    wire::ConfigPull Pull;
    Pull.revision = Revision;
    wire::Message Message;
    Message.__set_configPull(Pull);
    m_peers.post(From, Message);
  }
  bool Behind = Theirs.tableVersion > m_tableVersion ||
                (Theirs.tableVersion == m_tableVersion &&
                 Theirs.tableDigest != m_tableDigest);
  if (!Behind || Now < m_nextTablePull)
    return;
  m_nextTablePull = Now + PullInterval;
  wire::TablePull Pull;
  for (StoreEntry &Each : entries(false)) {
    wire::TableEntry Known;
    Known.key = std::move(Each.m_key);
    Known.version = Each.m_modified.value();
    Pull.known.push_back(std::move(Known));
  }
  wire::Message Message;
  Message.__set_tablePull(Pull);
  m_peers.post(From, Message);
}

void TableSpread::onPull(const HostId &From, const wire::ConfigPull &Asked) {
  const PublishedSet &Set = *m_state.m_set;
  if (static_cast<std::int64_t>(Set.m_root.m_revision.value()) <=
      Asked.revision)
    return;
  wire::ConfigPush Push;
  Push.root = encodeRoot(Set.m_root);
  Push.rootVersion = Set.m_rootVersion.value();
  Push.text = Set.m_text;
  wire::Message Message;
  Message.__set_configPush(Push);
  m_peers.post(From, Message);
}

void TableSpread::onPush(wire::ConfigPush &&Newer) {
  ConfigRoot Root;
  if (!decodeRoot(Newer.root, Root))
    return logEvent(Severity::Warning, "peer-config-unreadable", {});
  if (Root.m_revision <= m_state.m_set->m_root.m_revision)
    return;
  auto Result =
      assembleSet(Root, StoreVersion(Newer.rootVersion), std::move(Newer.text));
  if (std::holds_alternative<StoreError>(Result))
    return logEvent(Severity::Warning, "peer-config-unreadable",
                    {{"revision", Root.m_revision.value()}});
  m_state.m_set = std::get<0>(Result);
  logEvent(Severity::Info, "config-in-force",
           {{"revision", Root.m_revision.value()},
            {"publication", Root.m_publication},
            {"from", "peer"}});
  m_changed();
}

void TableSpread::onPull(const HostId &From, const wire::TablePull &Asked) {
  std::map<std::string, std::int64_t> Known;
  for (const wire::TableEntry &Each : Asked.known)
    Known[Each.key] = Each.version;
  wire::TablePush Push;
  for (StoreEntry &Each : entries(true)) {
    if (Each.m_modified.value() <= Known[Each.m_key])
      continue;
    wire::TableEntry Entry;
    Entry.key = std::move(Each.m_key);
    Entry.value = std::move(Each.m_value);
    Entry.version = Each.m_modified.value();
    Push.entries.push_back(std::move(Entry));
  }
  if (Push.entries.empty())
    return;
  wire::Message Message;
  Message.__set_tablePush(Push);
  m_peers.post(From, Message);
}

void TableSpread::onPush(const wire::TablePush &Newer) {
  bool Changed = false;
  for (const wire::TableEntry &Each : Newer.entries) {
    StoreEntry Entry{Each.key, Each.value, StoreVersion(Each.version)};
    Changed |= m_state.m_ownership.apply(Entry) ||
               m_state.m_keepers.apply(Entry, bootClockNow());
  }
  if (Changed)
    m_changed();
}

} // namespace burdockpulley
