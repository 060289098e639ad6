#ifndef BURDOCKPULLEY_LIBHOST_LEDGER_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_LEDGER_DRIVER_H

#include "burdockpulley/repeating_timer.h"
#include "host_state.h"

#include "burdockpulley/idempotency_ledger.h"
#include "burdockpulley/peer.h"
#include "peer_types.h"

#include <functional>
#include <map>
#include <random>

namespace burdockpulley {

/// Both sides of the idempotency ledger: holds this host's entries, and asks
/// the ledger hosts of a key before a request with that key is run.
///
/// Thread safety: none; it belongs to the loop's thread.
class LedgerDriver {
public:
  /// What the ledger says of a request.
  struct Answer {
    LedgerRound::Result m_result = LedgerRound::Result::Unknown;
    AttemptId m_attempt;   ///< Of a request that may run.
    HttpResponse m_stored; ///< Of a request that is done.
  };
  using Callback = std::function<void(Answer &&)>;

  LedgerDriver(event_base *Base, const HostState &State, PeerNetwork &Peers);

  /// Asks whether a request may run; a try that is under way elsewhere is
  /// waited for until \p Deadline. \p Done is called once, with Run, Done,
  /// Mismatch, Busy or Unknown.
  void begin(const std::string &Scope, WallTime Issued, std::uint64_t BodyHash,
             Instant Deadline, Callback Done, Instant Now);

  /// Tells the ledger hosts how a request that was allowed to run has ended.
  void end(const std::string &Scope, const AttemptId &Attempt, LedgerEnd How,
           const HttpResponse &Response);

  /// Takes a message of another host.
  void onMessage(const HostId &From, const wire::LedgerMessage &Message,
                 Instant Now);

private:
  struct Question {
    LedgerEntry m_entry;
    Callback m_done;
    Instant m_deadline;
    Instant m_asked;
    Instant m_again; ///< When to ask anew, while no round is under way.
    bool m_asking = false;
    std::vector<HostId> m_silent;
    LedgerRound m_round{0};
  };
  using Table = std::map<AttemptId, Question>;

  WallTime wall(Instant Now) const;
  std::vector<HostId> hostsOf(const std::string &Scope) const;
  void refreshHosts(Instant Now);
  void ask(Question &&Each, Instant Now);
  wire::LedgerMessage hold(const wire::LedgerMessage &Begin, Instant Now);
  void hear(const HostId &From, const wire::LedgerMessage &Verdict,
            Instant Now);
  void conclude(Table::iterator Found, LedgerRound::Result Result,
                HttpResponse &&Stored, Instant Now);
  void tell(const std::string &Scope, const wire::LedgerMessage &Message);
  void sweep(Instant Now);

  const HostState &m_state;
  PeerNetwork &m_peers;
  Instant m_startInstant;
  WallTime m_startWall;
  IdempotencyLedger m_ledger;
  LedgerHostHistory m_history;
  std::shared_ptr<const PublishedSet> m_set; ///< In the history.
  Table m_questions;
  std::mt19937_64 m_random;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
