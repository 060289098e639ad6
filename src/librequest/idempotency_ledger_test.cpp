#include "burdockpulley/idempotency_ledger.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

using namespace burdockpulley;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t MaxSkewMillis = 2000;
const std::string Scope = "censo/fee/key";

/// Any number of [Min, Max), whatever the size of the case.
std::int64_t pick(std::int64_t Min, std::int64_t Max) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(Min, Max));
}

std::size_t pickIndex(std::size_t Size) {
  return static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(Size)));
}

/// Three ledger hosts and callers that send one key again and again, while
/// messages are lost or late and hosts lose their memory.
class Fleet {
public:
  Fleet() {
    for (std::size_t Host = 0; Host < LedgerCopies; ++Host)
      m_hosts.emplace_back(WallTime(milliseconds(0)));
    m_now = pick(10'000, 20'000);
    m_issued = m_now + pick(-MaxSkewMillis, MaxSkewMillis);
  }

  void step() {
    m_now += pick(0, 30);
    std::int64_t Kind = pick(0, 40);
    if (Kind == 0)
      return restartHost();
    if (Kind < 4)
      return startTry();
    if (Kind < 6)
      return loseVerdict();
    if (Kind < 20)
      return deliverEnd();
    deliverBegin();
  }

  int m_runs = 0;
  int m_answers = 0;

private:
  struct Try {
    LedgerEntry m_entry;
    LedgerRound m_round{LedgerCopies};
    std::set<std::size_t> m_notDelivered{0, 1, 2};
    std::set<std::size_t> m_notHeard{0, 1, 2};
    bool m_over = false;
  };
  struct End {
    std::size_t m_host;
    AttemptId m_attempt;
    LedgerEnd m_how;
  };

  WallTime now() const { return WallTime(milliseconds(m_now)); }

  void restartHost() {
    m_hosts[pickIndex(LedgerCopies)] = IdempotencyLedger(now());
  }

  void startTry() {
    Try Next;
    Next.m_entry = {Scope, WallTime(milliseconds(m_issued)), 7,
                    AttemptId(std::to_string(m_tries.size())),
                    WallTime(milliseconds(m_now + 1000))};
    m_tries.push_back(Next);
  }

  Try *anyTry() {
    if (m_tries.empty())
      return nullptr;
    // Mostly one of the last, so that tries get on.
    std::size_t Newest = std::min<std::size_t>(m_tries.size(), 2);
    std::size_t Range = pick(0, 8) > 0 ? Newest : m_tries.size();
    return &m_tries[m_tries.size() - 1 - pickIndex(Range)];
  }

  void deliverBegin() {
    Try *Each = anyTry();
    if (!Each || Each->m_notDelivered.empty())
      return;
    std::size_t Host = *rc::gen::elementOf(Each->m_notDelivered);
    Each->m_notDelivered.erase(Host);
    LedgerVerdict Verdict = m_hosts[Host].begin(Each->m_entry, now());
    if (pick(0, 5) > 0 && Each->m_notHeard.erase(Host))
      hear(*Each, Verdict);
  }

  void loseVerdict() {
    Try *Each = anyTry();
    if (!Each || Each->m_notHeard.empty())
      return;
    Each->m_notHeard.erase(Each->m_notHeard.begin());
    hear(*Each, LedgerVerdict::Unknown);
  }

  void hear(Try &Each, LedgerVerdict Verdict) {
    if (Each.m_over)
      return;
    switch (Each.m_round.add(Verdict)) {
    case LedgerRound::Result::Waiting:
      return;
    case LedgerRound::Result::Run:
      return run(Each);
    case LedgerRound::Result::Done:
      RC_ASSERT(m_runs == 1);
      ++m_answers;
      return finish(Each, LedgerEnd::NotRun);
    default:
      return finish(Each, LedgerEnd::NotRun);
    }
  }

  void run(Try &Each) {
    bool Runs = pick(0, 3) > 0;
    bool Told = pick(0, 3) > 0;
    m_runs += Runs;
    RC_ASSERT(m_runs <= 1);
    LedgerEnd Known = Runs ? LedgerEnd::Ran : LedgerEnd::NotRun;
    finish(Each, Told ? Known : LedgerEnd::Unknown);
  }

  void finish(Try &Each, LedgerEnd How) {
    Each.m_over = true;
    for (std::size_t Host = 0; Host < LedgerCopies; ++Host)
      m_ends.push_back({Host, Each.m_entry.m_attempt, How});
  }

  void deliverEnd() {
    if (m_ends.empty())
      return;
    std::size_t Index = pickIndex(m_ends.size());
    End Each = m_ends[Index];
    m_ends.erase(m_ends.begin() + static_cast<std::ptrdiff_t>(Index));
    if (pick(0, 5) > 0)
      m_hosts[Each.m_host].end(Scope, Each.m_attempt, Each.m_how, {});
  }

  std::vector<IdempotencyLedger> m_hosts;
  std::vector<Try> m_tries;
  std::vector<End> m_ends;
  std::int64_t m_now;
  std::int64_t m_issued;
};

LedgerEntry entry(const char *Attempt, std::uint64_t Body = 7) {
  return {Scope, WallTime(milliseconds(10'000)), Body, AttemptId(Attempt),
          WallTime(milliseconds(12'000))};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_key_never_runs_twice) {
  int Runs = 0;
  int Answers = 0;
  BOOST_TEST(rc::check([&] {
    Fleet Driven;
    std::int64_t Steps = pick(50, 400);
    for (std::int64_t I = 0; I < Steps; ++I)
      Driven.step();
    Runs += Driven.m_runs;
    Answers += Driven.m_answers;
  }));
  // The property says nothing unless requests do run and repeats are answered.
  BOOST_TEST(Runs > 20);
  BOOST_TEST(Answers > 5);
}

BOOST_AUTO_TEST_CASE(a_ledger_tells_what_it_knows) {
  WallTime Now(milliseconds(10'100));
  IdempotencyLedger Ledger{WallTime(milliseconds(0))};
  BOOST_TEST((Ledger.begin(entry("a"), Now) == LedgerVerdict::Granted));
  BOOST_TEST((Ledger.begin(entry("b"), Now) == LedgerVerdict::InFlight));
  BOOST_TEST((Ledger.begin(entry("b", 8), Now) == LedgerVerdict::Mismatch));
  Ledger.end(Scope, AttemptId("b"), LedgerEnd::NotRun, {});
  BOOST_TEST((Ledger.begin(entry("b"), Now) == LedgerVerdict::InFlight));
  Ledger.end(Scope, AttemptId("a"), LedgerEnd::NotRun, {});
  BOOST_TEST((Ledger.begin(entry("b"), Now) == LedgerVerdict::Granted));
  Ledger.end(Scope, AttemptId("b"), LedgerEnd::Ran, {201, {}, "paid"});
  BOOST_TEST((Ledger.begin(entry("c"), Now) == LedgerVerdict::Done));
  BOOST_REQUIRE(Ledger.answer(Scope));
  BOOST_TEST(Ledger.answer(Scope)->m_body == "paid");
  WallTime Later(milliseconds(10'000 + 600'000));
  Ledger.expire(Later);
  BOOST_TEST(Ledger.size() == 0u);
  BOOST_TEST((Ledger.begin(entry("d"), Later) == LedgerVerdict::Unknown));
}

BOOST_AUTO_TEST_CASE(the_copies_of_a_key_are_in_different_domains) {
  std::vector<LedgerHost> Hosts;
  for (const char *Domain : {"a", "b", "c"})
    for (const char *Number : {"1", "2", "3"})
      Hosts.push_back({HostId(std::string(Domain) + Number), DomainId(Domain)});
  BOOST_TEST(rc::check([&](const std::string &Key) {
    std::vector<HostId> Chosen = ledgerHosts(Hosts, Key);
    std::set<char> Domains;
    for (const HostId &Each : Chosen)
      Domains.insert(Each.value()[0]);
    RC_ASSERT(Chosen.size() == LedgerCopies);
    RC_ASSERT(Domains.size() == LedgerCopies);
  }));
  std::span<const LedgerHost> Few(Hosts);
  BOOST_TEST(ledgerHosts(Few.first(2), "k").size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_host_that_became_responsible_grants_no_earlier_keys) {
  std::vector<LedgerHost> Before;
  for (const char *Name : {"a", "b", "c", "d"})
    Before.push_back({HostId(Name), DomainId(Name)});
  std::vector<LedgerHost> After(Before.begin() + 1, Before.end());
  After.push_back({HostId("e"), DomainId("e")});
  LedgerHostHistory History;
  History.update(Before, WallTime(milliseconds(0)));
  History.update(After, WallTime(milliseconds(100'000)));
  BOOST_TEST(rc::check([&](const std::string &Key) {
    std::vector<HostId> Old = ledgerHosts(Before, Key);
    for (const HostId &Each : ledgerHosts(After, Key)) {
      bool WasOne = std::count(Old.begin(), Old.end(), Each) > 0;
      WallTime Earlier(milliseconds(pick(0, 107'000)));
      WallTime Later(milliseconds(pick(107'000, 500'000)));
      RC_ASSERT(History.responsible(Each, Key, Earlier) == WasOne);
      RC_ASSERT(History.responsible(Each, Key, Later));
    }
  }));
}

BOOST_AUTO_TEST_CASE(the_issue_time_is_read_from_version_7_only) {
  auto Time = issueTime("018f0000-0001-7abc-8def-0123456789ab");
  BOOST_REQUIRE(Time);
  BOOST_TEST(Time->value().count() == 0x018f00000001);
  BOOST_TEST(!issueTime("018f0000-0001-4abc-8def-0123456789ab"));
  BOOST_TEST(!issueTime("018f0000-0001-7abc-8def-0123456789a"));
  BOOST_TEST(!issueTime("018f0000_0001-7abc-8def-0123456789ab"));
}
