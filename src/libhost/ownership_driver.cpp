#include "ownership_driver.h"

#include "burdockpulley/event_log.h"
#include "burdockpulley/hashing.h"
#include "peer_types.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr Duration TickInterval{200'000};
constexpr Duration GrantTimeout{400'000};
/// How often the coordinator looks at the whole table.
constexpr Duration PlanInterval{200'000};
/// How long work lies before the next host in rank does it.
constexpr Duration RankDelay{1'000'000};
constexpr std::size_t CoordinatorRanks = 3;

} // namespace

OwnershipDriver::OwnershipDriver(event_base *Base, Store &Target,
                                 HostState &State, UpstreamPool &Pool,
                                 PeerNetwork &Peers,
                                 std::function<void()> Committed)
    : m_store(Target), m_state(State), m_pool(Pool), m_peers(Peers),
      m_committed(std::move(Committed)),
      m_keeping(State.m_settings.m_host, randomUuid()),
      m_timer(Base, TickInterval, [this](Instant Now) { tick(Now); }) {}

KeeperController::Tables OwnershipDriver::tables() {
  m_absentHosts = m_state.m_lostHosts;
  m_absentHosts.insert(m_state.m_leavingHosts.begin(),
                       m_state.m_leavingHosts.end());
  return {m_state.declared(), m_state.m_ownership, m_state.m_keepers,
          m_absentHosts, m_state.m_tablesSeen};
}

void OwnershipDriver::wake() { tick(bootClockNow()); }

void OwnershipDriver::tick(Instant Now) {
  // Nothing is decided before the store has been read once.
  if (m_state.m_tablesSeen.value() == 0)
    return;
  KeeperController::Tables In = tables();
  m_keeping.refresh(In, Now);
  if (m_keeperWrites == 0)
    commitAll(m_keeping.planKeeperChanges(In, Now), m_keeperWrites);
  if (m_releaseWrites == 0)
    commitAll(m_keeping.planReleases(In, Now), m_releaseWrites);
  for (const KeeperController::OutgoingGrant &What :
       m_keeping.planGrantRequests(In, Now))
    send(What);
  if (auto Question = m_keeping.planVersionQuery(In, Now))
    ask(*Question);
  coordinate(Now);
}

void OwnershipDriver::onContact(Instant Began) {
  m_keeping.onContact(Began, bootClockNow());
}

std::size_t OwnershipDriver::coordinatorRank() const {
  std::vector<HostId> Ranks = m_state.plannerRanks();
  auto Own = std::find(Ranks.begin(), Ranks.end(), m_state.m_settings.m_host);
  return Own == Ranks.end() ? CoordinatorRanks
                            : static_cast<std::size_t>(Own - Ranks.begin());
}

// Several hosts may do this at once: only the compare-and-swap counts. The
// next in rank helps out when the first is cut off from the store.
void OwnershipDriver::coordinate(Instant Now) {
  std::size_t Rank = coordinatorRank();
  bool Due = !m_lastPlan || Now - *m_lastPlan >= PlanInterval;
  if (Rank >= CoordinatorRanks || m_coordinatorWrites != 0 || !Due)
    return;
  m_lastPlan = Now;
  std::set<UpstreamId> Down = m_state.m_keepers.down();
  std::vector<StoreTransaction> Plan =
      planFirstOwners(m_state.declared(), m_state.m_ownership, Down);
  if (Plan.empty())
    m_workSince.reset();
  else if (!m_workSince)
    m_workSince = Now;
  if (Plan.empty() && Rank == 0)
    Plan = planMoveIntents(m_placement.plan(m_state.declared(),
                                            m_state.m_ownership,
                                            m_state.m_loads, Down, Now),
                           m_state.m_ownership);
  Duration Waited = m_workSince ? Now - *m_workSince : Duration();
  if (Waited >= RankDelay * Rank)
    commitAll(Plan, m_coordinatorWrites);
}

void OwnershipDriver::commitAll(const std::vector<StoreTransaction> &Plan,
                                std::size_t &Waiting) {
  for (const StoreTransaction &Change : Plan) {
    ++Waiting;
    m_store.commit(
        Change, [this, Change, &Waiting](const StoreReply<StoreCommit> &Reply) {
          --Waiting;
          onCommit(Change, Reply);
        });
  }
}

void OwnershipDriver::onCommit(const StoreTransaction &Change,
                               const StoreReply<StoreCommit> &Reply) {
  if (const auto *Error = std::get_if<StoreError>(&Reply)) {
    logEvent(Severity::Warning, "commit-failed",
             {{"key", Change.m_writes[0].m_key}, {"error", toString(*Error)}});
    return;
  }
  const auto &Answer = std::get<StoreCommit>(Reply);
  if (!Answer.m_applied)
    m_keeping.onNotApplied(Change, Answer.m_version);
  m_committed();
}

void OwnershipDriver::ask(const VersionQuery &Question) {
  wire::VersionRequest Ask;
  Ask.round = static_cast<std::int64_t>(Question.m_round);
  Ask.seen = Question.m_seen.value();
  wire::Message Message;
  Message.__set_versionRequest(Ask);
  for (const FailureDomain &Domain : m_state.declared().m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts)
      if (Host.m_name != m_state.m_settings.m_host)
        m_peers.send(Host.m_name, Message);
}

void OwnershipDriver::onQuestion(const HostId &From,
                                 const wire::VersionRequest &Question) {
  wire::VersionResponse Answer;
  Answer.round = Question.round;
  Answer.seen = m_state.m_tablesSeen.value();
  StoreVersion Since(Question.seen);
  std::vector<StoreEntry> Entries = m_state.m_ownership.entriesSince(Since);
  for (StoreEntry &Entry : m_state.m_keepers.entriesSince(Since))
    Entries.push_back(std::move(Entry));
  for (StoreEntry &Entry : Entries) {
    wire::NewerEntry Copy;
    Copy.key = std::move(Entry.m_key);
    Copy.value = std::move(Entry.m_value);
    Copy.version = Entry.m_modified.value();
    Answer.entries.push_back(std::move(Copy));
  }
  wire::Message Message;
  Message.__set_versionResponse(std::move(Answer));
  m_peers.send(From, Message);
}

void OwnershipDriver::onAnswer(const HostId &From,
                               wire::VersionResponse &&Answer) {
  Instant Now = bootClockNow();
  for (wire::NewerEntry &Each : Answer.entries) {
    StoreEntry Entry{std::move(Each.key), std::move(Each.value),
                     StoreVersion(Each.version)};
    if (!m_state.m_ownership.apply(Entry))
      m_state.m_keepers.apply(Entry, Now);
  }
  StoreVersion Seen(Answer.seen);
  // Complete, because the question said from where on.
  m_state.m_tablesSeen = std::max(m_state.m_tablesSeen, Seen);
  m_keeping.refresh(tables(), Now);
  m_keeping.onVersionResponse(static_cast<std::uint64_t>(Answer.round), From,
                              Seen, tables(), Now);
}

void OwnershipDriver::send(const KeeperController::OutgoingGrant &What) {
  const GrantRequest &Order = What.m_request;
  const Upstream *Which = m_state.declared().findUpstream(What.m_upstream);
  if (!Which)
    return m_keeping.onGrantFailure(What.m_upstream, Order.m_epoch,
                                    Order.m_sequence);
  HttpRequest Request{"POST",
                      "/.burdockpulley/grants",
                      {{"Content-Type", "application/json"}},
                      encodeGrantRequest(Order)};
  bool Checks = Which->m_checksGrants;
  m_pool.control(*Which).call(
      std::move(Request), GrantTimeout,
      [this, What, Checks](HttpError Error, HttpResponse &&Response) {
        onOrderEnd(What.m_upstream, What.m_request, Checks, Error, Response);
      });
}

void OwnershipDriver::onOrderEnd(const UpstreamId &Name,
                                 const GrantRequest &Order, bool Checks,
                                 HttpError Error,
                                 const HttpResponse &Response) {
  GrantResponse Answer;
  bool Answered = Error == HttpError::None &&
                  (Checks ? decodeGrantResponse(Response.m_body, Answer)
                          : Response.m_status / 100 == 2);
  if (!Answered)
    return m_keeping.onGrantFailure(Name, Order.m_epoch, Order.m_sequence);
  m_keeping.onGrantResponse(Name, Order.m_epoch, Order.m_sequence, Answer,
                            bootClockNow());
  // The first order of an epoch only learns the stamp, and a list that was
  // not taken has to follow at once; releases wait for answers as well.
  bool More = Answer.m_refusal != GrantRefusal::None || Order.m_full;
  if (More && Answer.m_refusal != GrantRefusal::OldEpoch)
    wake();
}

} // namespace burdockpulley
