#include "burdockpulley/idempotency_ledger.h"

#include "burdockpulley/hashing.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr std::chrono::milliseconds Window = std::chrono::minutes(10);
/// Largest difference of two clocks of the fleet and its callers.
constexpr std::chrono::milliseconds MaxClockSkew = std::chrono::seconds(2);
/// A published set is in force at every host after that.
constexpr std::chrono::milliseconds SettleTime = std::chrono::seconds(5);
constexpr std::size_t UuidSize = 36;
constexpr std::size_t VersionPosition = 14;

WallTime operator+(WallTime Time, std::chrono::milliseconds Span) {
  return WallTime(Time.value() + Span);
}

int hexDigit(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  char Lower = static_cast<char>(Digit | 0x20);
  return Lower >= 'a' && Lower <= 'f' ? Lower - 'a' + 10 : -1;
}

bool isDash(std::size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

} // namespace

std::optional<WallTime> issueTime(std::string_view Uuid) {
  constexpr std::size_t TimeEnd = 13;
  if (Uuid.size() != UuidSize || Uuid[VersionPosition] != '7')
    return std::nullopt;
  std::int64_t Millis = 0;
  for (std::size_t I = 0; I < UuidSize; ++I) {
    int Digit = hexDigit(Uuid[I]);
    if (isDash(I) ? Uuid[I] != '-' : Digit < 0)
      return std::nullopt;
    if (!isDash(I) && I < TimeEnd)
      Millis = Millis * 16 + Digit;
  }
  return WallTime(std::chrono::milliseconds(Millis));
}

bool IdempotencyLedger::known(WallTime Issued, WallTime Now) const {
  bool AfterStart = Issued >= m_start + MaxClockSkew;
  bool InWindow = Now < Issued + Window;
  bool InPast = Issued <= Now + MaxClockSkew;
  return AfterStart && InWindow && InPast;
}

LedgerVerdict IdempotencyLedger::begin(const LedgerEntry &Try, WallTime Now) {
  auto Found = m_rows.find(Try.m_scope);
  if (Found == m_rows.end()) {
    if (!known(Try.m_issued, Now))
      return LedgerVerdict::Unknown;
    m_rows[Try.m_scope].m_entry = Try;
    m_byIssue.emplace(Try.m_issued, Try.m_scope);
    return LedgerVerdict::Granted;
  }
  Row &Each = Found->second;
  if (Each.m_entry.m_bodyHash != Try.m_bodyHash)
    return LedgerVerdict::Mismatch;
  bool Overdue = Now >= Each.m_entry.m_deadline + MaxClockSkew;
  switch (Each.m_state) {
  case State::Free:
    if (!known(Try.m_issued, Now))
      return LedgerVerdict::Unknown;
    Each.m_state = State::InFlight;
    Each.m_entry = Try;
    return LedgerVerdict::Granted;
  case State::InFlight:
    return Overdue ? LedgerVerdict::Unknown : LedgerVerdict::InFlight;
  case State::Done:
    return LedgerVerdict::Done;
  case State::Unknown:
    break;
  }
  return LedgerVerdict::Unknown;
}

void IdempotencyLedger::end(const std::string &Scope, const AttemptId &Attempt,
                            LedgerEnd How, HttpResponse &&Answer) {
  auto Found = m_rows.find(Scope);
  if (Found == m_rows.end() || Found->second.m_entry.m_attempt != Attempt ||
      Found->second.m_state != State::InFlight)
    return;
  Row &Each = Found->second;
  switch (How) {
  case LedgerEnd::NotRun:
    Each.m_state = State::Free;
    break;
  case LedgerEnd::Ran:
    Each.m_state = State::Done;
    Each.m_answer = std::move(Answer);
    break;
  case LedgerEnd::Unknown:
    Each.m_state = State::Unknown;
    break;
  }
}

const HttpResponse *IdempotencyLedger::answer(const std::string &Scope) const {
  auto Found = m_rows.find(Scope);
  bool Done = Found != m_rows.end() && Found->second.m_state == State::Done;
  return Done ? &Found->second.m_answer : nullptr;
}

void IdempotencyLedger::expire(WallTime Now) {
  while (!m_byIssue.empty() && Now >= m_byIssue.begin()->first + Window) {
    m_rows.erase(m_byIssue.begin()->second);
    m_byIssue.erase(m_byIssue.begin());
  }
}

std::vector<HostId> ledgerHosts(std::span<const LedgerHost> All,
                                const std::string &Scope) {
  struct Ranked {
    std::uint64_t m_score;
    const LedgerHost *m_host;
  };
  std::vector<Ranked> Order;
  Order.reserve(All.size());
  for (const LedgerHost &Each : All)
    Order.push_back({rendezvousScore(Scope, Each.m_host.value()), &Each});
  std::sort(Order.begin(), Order.end(), [](const Ranked &A, const Ranked &B) {
    return A.m_score != B.m_score ? A.m_score > B.m_score
                                  : A.m_host->m_host < B.m_host->m_host;
  });
  std::vector<HostId> Chosen;
  std::vector<DomainId> Domains;
  // Once over new domains only, then over what is left.
  for (bool AnyDomain : {false, true})
    for (const Ranked &Each : Order) {
      const LedgerHost &Host = *Each.m_host;
      bool Taken = std::count(Chosen.begin(), Chosen.end(), Host.m_host) > 0;
      bool Same = std::count(Domains.begin(), Domains.end(), Host.m_domain) > 0;
      if (Chosen.size() == LedgerCopies || Taken || (Same && !AnyDomain))
        continue;
      Chosen.push_back(Host.m_host);
      Domains.push_back(Host.m_domain);
    }
  return Chosen;
}

void LedgerHostHistory::update(std::vector<LedgerHost> Hosts, WallTime Now) {
  if (Hosts == m_hosts)
    return;
  std::erase_if(m_past, [&](const Past &Each) {
    return Each.m_until + Window + SettleTime < Now;
  });
  // A host that has just started knew of no set before; its start counts.
  if (!m_hosts.empty())
    m_past.push_back({std::move(m_hosts), Now});
  m_hosts = std::move(Hosts);
}

bool LedgerHostHistory::responsible(const HostId &Self,
                                    const std::string &Scope,
                                    WallTime Issued) const {
  for (const Past &Each : m_past) {
    if (Issued >= Each.m_until + SettleTime + MaxClockSkew)
      continue;
    std::vector<HostId> Chosen = ledgerHosts(Each.m_hosts, Scope);
    if (std::find(Chosen.begin(), Chosen.end(), Self) == Chosen.end())
      return false;
  }
  return true;
}

LedgerRound::Result LedgerRound::add(LedgerVerdict Verdict) {
  ++m_heard;
  switch (Verdict) {
  case LedgerVerdict::Done:
    return Result::Done;
  case LedgerVerdict::Mismatch:
    return Result::Mismatch;
  case LedgerVerdict::Granted:
    ++m_granted;
    break;
  case LedgerVerdict::InFlight:
    ++m_inFlight;
    break;
  case LedgerVerdict::Unknown:
    break;
  }
  if (m_granted >= std::min(LedgerQuorum, m_asked))
    return Result::Run;
  if (m_heard < m_asked)
    return Result::Waiting;
  return m_inFlight > 0 ? Result::Busy : Result::Unknown;
}

} // namespace burdockpulley
