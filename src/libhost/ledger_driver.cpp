#include "ledger_driver.h"

#include "burdockpulley/hashing.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr Duration SweepInterval{10'000};
/// A ledger host that has not answered by then counts as unknown.
constexpr Duration RoundTimeout{300'000};
constexpr Duration MinBusyWait{10'000};
constexpr std::uint64_t BusyWaitSpread = 30'000;
/// A larger answer is not stored; repeats of its request hear "unknown".
constexpr std::size_t MaxStoredBytes = std::size_t(64) << 10;

enum Kind : std::int32_t { Begin = 1, Verdict = 2, End = 3 };

WallTime wallClock() {
  auto Since1970 = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(
      std::chrono::duration_cast<std::chrono::milliseconds>(Since1970));
}

void writeAnswer(const HttpResponse &Response, wire::LedgerMessage &Message) {
  Message.status = Response.m_status;
  Message.body = Response.m_body;
  for (const HttpHeader &Header : Response.m_headers) {
    wire::Header Copy;
    Copy.name = Header.m_name;
    Copy.value = Header.m_value;
    Message.headers.push_back(std::move(Copy));
  }
}

HttpResponse readAnswer(const wire::LedgerMessage &Message) {
  HttpResponse Response;
  Response.m_status = Message.status;
  Response.m_body = Message.body;
  for (const wire::Header &Header : Message.headers)
    Response.m_headers.push_back({Header.name, Header.value});
  return Response;
}

} // namespace

// The civil clock is read once: later steps of it do not reach the ledger.
LedgerDriver::LedgerDriver(event_base *Base, const HostState &State,
                           PeerNetwork &Peers)
    : m_state(State), m_peers(Peers), m_startInstant(bootClockNow()),
      m_startWall(wallClock()), m_ledger(m_startWall),
      m_random(stableHash(State.m_settings.m_host.value())),
      m_timer(Base, SweepInterval, [this](Instant Now) { sweep(Now); }) {}

WallTime LedgerDriver::wall(Instant Now) const {
  return WallTime(m_startWall.value() +
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      Now - m_startInstant));
}

void LedgerDriver::refreshHosts(Instant Now) {
  if (m_set == m_state.m_set)
    return;
  m_set = m_state.m_set;
  std::vector<LedgerHost> All;
  for (const FailureDomain &Domain : m_state.declared().m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts)
      All.push_back({Host.m_name, Domain.m_name});
  m_history.update(std::move(All), wall(Now));
}

std::vector<HostId> LedgerDriver::hostsOf(const std::string &Scope) const {
  return ledgerHosts(m_history.hosts(), Scope);
}

void LedgerDriver::begin(const std::string &Scope, WallTime Issued,
                         std::uint64_t BodyHash, Instant Deadline,
                         Callback Done, Instant Now) {
  Question Each;
  Each.m_entry.m_scope = Scope;
  Each.m_entry.m_issued = Issued;
  Each.m_entry.m_bodyHash = BodyHash;
  auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Deadline - Now);
  Each.m_entry.m_deadline = WallTime(wall(Now).value() + Left);
  Each.m_done = std::move(Done);
  Each.m_deadline = Deadline;
  ask(std::move(Each), Now);
}

void LedgerDriver::ask(Question &&Each, Instant Now) {
  refreshHosts(Now);
  std::vector<HostId> Hosts = hostsOf(Each.m_entry.m_scope);
  Each.m_entry.m_attempt = AttemptId(uniqueUuid());
  Each.m_asked = Now;
  Each.m_asking = true;
  Each.m_silent = Hosts;
  Each.m_round = LedgerRound(Hosts.size());
  wire::LedgerMessage Message;
  Message.kind = Begin;
  Message.scope = Each.m_entry.m_scope;
  Message.attempt = Each.m_entry.m_attempt.value();
  Message.issuedMillis = Each.m_entry.m_issued.value().count();
  Message.bodyHash = static_cast<std::int64_t>(Each.m_entry.m_bodyHash);
  Message.deadlineMillis = Each.m_entry.m_deadline.value().count();
  m_questions.emplace(Each.m_entry.m_attempt, std::move(Each));
  wire::LedgerMessage Silence;
  Silence.kind = Verdict;
  Silence.attempt = Message.attempt;
  Silence.verdict = static_cast<std::int32_t>(LedgerVerdict::Unknown);
  wire::Message Envelope;
  Envelope.__set_ledger(Message);
  for (const HostId &Host : Hosts) {
    // A host asked after the round's end would hold the key for nobody.
    auto Found = m_questions.find(AttemptId(Message.attempt));
    if (Found == m_questions.end() || !Found->second.m_asking)
      return;
    if (Host == m_state.m_settings.m_host)
      hear(Host, hold(Message, Now), Now);
    else if (!m_peers.send(Host, Envelope))
      hear(Host, Silence, Now);
  }
}

wire::LedgerMessage LedgerDriver::hold(const wire::LedgerMessage &Asked,
                                       Instant Now) {
  using std::chrono::milliseconds;
  LedgerEntry Try;
  Try.m_scope = Asked.scope;
  Try.m_attempt = AttemptId(Asked.attempt);
  Try.m_issued = WallTime(milliseconds(Asked.issuedMillis));
  Try.m_bodyHash = static_cast<std::uint64_t>(Asked.bodyHash);
  Try.m_deadline = WallTime(milliseconds(Asked.deadlineMillis));
  refreshHosts(Now);
  bool Responsible = m_history.responsible(m_state.m_settings.m_host,
                                           Try.m_scope, Try.m_issued);
  LedgerVerdict Result =
      Responsible ? m_ledger.begin(Try, wall(Now)) : LedgerVerdict::Unknown;
  wire::LedgerMessage Reply;
  Reply.kind = Verdict;
  Reply.attempt = Asked.attempt;
  Reply.verdict = static_cast<std::int32_t>(Result);
  if (const HttpResponse *Stored = m_ledger.answer(Asked.scope))
    writeAnswer(*Stored, Reply);
  return Reply;
}

void LedgerDriver::hear(const HostId &From, const wire::LedgerMessage &Reply,
                        Instant Now) {
  auto Found = m_questions.find(AttemptId(Reply.attempt));
  if (Found == m_questions.end() || !Found->second.m_asking)
    return;
  Question &Each = Found->second;
  if (std::erase(Each.m_silent, From) == 0)
    return;
  LedgerRound::Result Result =
      Each.m_round.add(static_cast<LedgerVerdict>(Reply.verdict));
  if (Result != LedgerRound::Result::Waiting)
    conclude(Found, Result, readAnswer(Reply), Now);
}

void LedgerDriver::conclude(Table::iterator Found, LedgerRound::Result Result,
                            HttpResponse &&Stored, Instant Now) {
  Question &Each = Found->second;
  Each.m_asking = false;
  // Hosts that have granted this try are free again.
  if (Result != LedgerRound::Result::Run)
    end(Each.m_entry.m_scope, Each.m_entry.m_attempt, LedgerEnd::NotRun, {});
  if (Result == LedgerRound::Result::Busy) {
    Each.m_again =
        Now + MinBusyWait +
        Duration(static_cast<std::int64_t>(m_random() % BusyWaitSpread));
    if (Each.m_again < Each.m_deadline)
      return;
  }
  Answer Final{Result, Each.m_entry.m_attempt, std::move(Stored)};
  Callback Done = std::move(Each.m_done);
  m_questions.erase(Found);
  Done(std::move(Final));
}

void LedgerDriver::end(const std::string &Scope, const AttemptId &Attempt,
                       LedgerEnd How, const HttpResponse &Response) {
  bool Fits = Response.m_body.size() <= MaxStoredBytes;
  wire::LedgerMessage Message;
  Message.kind = End;
  Message.scope = Scope;
  Message.attempt = Attempt.value();
  Message.ending = static_cast<std::int32_t>(
      How == LedgerEnd::Ran && !Fits ? LedgerEnd::Unknown : How);
  if (How == LedgerEnd::Ran && Fits)
    writeAnswer(Response, Message);
  tell(Scope, Message);
}

void LedgerDriver::tell(const std::string &Scope,
                        const wire::LedgerMessage &Message) {
  wire::Message Envelope;
  Envelope.__set_ledger(Message);
  for (const HostId &Host : hostsOf(Scope))
    if (Host == m_state.m_settings.m_host)
      m_ledger.end(Scope, AttemptId(Message.attempt),
                   static_cast<LedgerEnd>(Message.ending), readAnswer(Message));
    else
      m_peers.send(Host, Envelope);
}

void LedgerDriver::onMessage(const HostId &From,
                             const wire::LedgerMessage &Message, Instant Now) {
  switch (Message.kind) {
  case Begin: {
    wire::Message Envelope;
    Envelope.__set_ledger(hold(Message, Now));
    m_peers.send(From, Envelope);
    return;
  }
  case Verdict:
    return hear(From, Message, Now);
  case End:
    return m_ledger.end(Message.scope, AttemptId(Message.attempt),
                        static_cast<LedgerEnd>(Message.ending),
                        readAnswer(Message));
  default:
    return;
  }
}

void LedgerDriver::sweep(Instant Now) {
  m_ledger.expire(wall(Now));
  std::vector<AttemptId> Due;
  for (const auto &[Attempt, Each] : m_questions)
    if (Each.m_asking ? Now - Each.m_asked >= RoundTimeout
                      : Now >= Each.m_again)
      Due.push_back(Attempt);
  for (const AttemptId &Attempt : Due) {
    auto Found = m_questions.find(Attempt);
    if (Found == m_questions.end())
      continue;
    if (!Found->second.m_asking) {
      auto Node = m_questions.extract(Found);
      ask(std::move(Node.mapped()), Now);
      continue;
    }
    auto Result = LedgerRound::Result::Waiting;
    while (Result == LedgerRound::Result::Waiting)
      Result = Found->second.m_round.add(LedgerVerdict::Unknown);
    conclude(Found, Result, {}, Now);
  }
}

} // namespace burdockpulley
