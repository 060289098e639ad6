#ifndef BURDOCKPULLEY_IDEMPOTENCY_LEDGER_H
#define BURDOCKPULLEY_IDEMPOTENCY_LEDGER_H

#include "burdockpulley/http.h"
#include "burdockpulley/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdockpulley {

/// A point of the civil clock, since 1970. Unlike an Instant it can be compared
/// between processes, as far as their clocks agree.
using WallTime = Strong<struct WallTimeTag, std::chrono::milliseconds>;

/// Names one try to run a request: no two tries of the fleet have the same.
using AttemptId = Strong<struct AttemptIdTag, std::string>;

/// The time that a version 7 UUID carries; nothing when it is not one.
/// Thread safety: safe.
std::optional<WallTime> issueTime(std::string_view Uuid);

/// What a ledger host answers to a try.
enum class LedgerVerdict {
  Granted,  ///< This try may run, as far as this host knows.
  InFlight, ///< Another try may be running.
  Done,     ///< It has run; the outcome is stored.
  Mismatch, ///< The key was used with another body.
  Unknown,  ///< It may have run: this host can not know.
};

/// A try as a ledger host sees it.
struct LedgerEntry {
  std::string m_scope; ///< Tenant, service and key.
  WallTime m_issued;   ///< From the key.
  std::uint64_t m_bodyHash = 0;
  AttemptId m_attempt;
  WallTime m_deadline; ///< The try has ended by then.
};

/// How a try has ended.
enum class LedgerEnd {
  NotRun,  ///< Proven; the key may be tried again.
  Ran,     ///< The answer is stored.
  Unknown, ///< It may have run.
};

/// One ledger host's memory of the requests with an idempotency key.
///
/// A key is granted to one try at a time, and again only when that try has
/// proven that it did not run. What this host can not know, because the key is
/// older than its memory or newer than its clock, is unknown. Entries are kept
/// for a window after the key's issue; older keys are unknown.
///
/// Thread safety: none.
class IdempotencyLedger {
public:
  /// \p Start is the time from which this host knows of every try that was
  /// sent to it.
  explicit IdempotencyLedger(WallTime Start) : m_start(Start) {}

  /// Answers a try, and notes it when it is granted.
  LedgerVerdict begin(const LedgerEntry &Try, WallTime Now);

  /// Notes how a granted try has ended; others are ignored.
  void end(const std::string &Scope, const AttemptId &Attempt, LedgerEnd How,
           HttpResponse &&Answer);

  /// The stored answer of a key that is done; null when there is none.
  const HttpResponse *answer(const std::string &Scope) const;

  /// Forgets what is older than the window.
  void expire(WallTime Now);

  std::size_t size() const { return m_rows.size(); }

private:
  enum class State { Free, InFlight, Done, Unknown };
  struct Row {
    LedgerEntry m_entry; ///< Of the last try that was granted.
    State m_state = State::InFlight;
    HttpResponse m_answer;
  };

  bool known(WallTime Issued, WallTime Now) const;

  WallTime m_start;
  std::unordered_map<std::string, Row> m_rows;
  std::multimap<WallTime, std::string> m_byIssue;
};

/// A host that may hold ledger entries.
struct LedgerHost {
  HostId m_host;
  DomainId m_domain;

  friend bool operator==(const LedgerHost &, const LedgerHost &) = default;
};

/// Hosts that hold the entry of one key. Two of them have to grant a try, so
/// that any two tries meet at one host at least.
constexpr std::size_t LedgerCopies = 3;
constexpr std::size_t LedgerQuorum = 2;

/// The hosts that hold the entry of a key, by rendezvous hashing, in different
/// failure domains as far as there are as many. The same for every host that
/// has the same declarations.
/// Thread safety: safe.
std::vector<HostId> ledgerHosts(std::span<const LedgerHost> All,
                                const std::string &Scope);

/// The ledger hosts that were declared during the last window.
///
/// A host that a change of the declarations made responsible for a key knows
/// nothing of the tries before; it must not grant keys from that time.
///
/// Thread safety: none.
class LedgerHostHistory {
public:
  /// Takes over what is declared now; nothing happens when it is the same.
  void update(std::vector<LedgerHost> Hosts, WallTime Now);

  const std::vector<LedgerHost> &hosts() const { return m_hosts; }

  /// True when \p Self has been a ledger host of the key in each set that any
  /// host may have used since the key's issue.
  bool responsible(const HostId &Self, const std::string &Scope,
                   WallTime Issued) const;

private:
  struct Past {
    std::vector<LedgerHost> m_hosts;
    WallTime m_until;
  };

  std::vector<LedgerHost> m_hosts;
  std::vector<Past> m_past;
};

/// Collects the verdicts of the ledger hosts for one try.
/// Thread safety: none.
class LedgerRound {
public:
  /// What a round has come to.
  enum class Result {
    Waiting,  ///< More verdicts are needed.
    Run,      ///< The try may run: two hosts have noted it.
    Done,     ///< A host has stored the outcome.
    Mismatch, ///< The key was used with another body.
    Busy,     ///< Another try may be running; ask again later.
    Unknown,  ///< Nobody can tell whether it has run.
  };

  /// \p Hosts is the number of hosts that were asked.
  explicit LedgerRound(std::size_t Hosts) : m_asked(Hosts) {}

  /// Takes one host's verdict, or its silence as Unknown. Precondition: called
  /// at most once for each host.
  Result add(LedgerVerdict Verdict);

private:
  std::size_t m_asked;
  std::size_t m_heard = 0;
  std::size_t m_granted = 0;
  std::size_t m_inFlight = 0;
};

} // namespace burdockpulley

#endif
