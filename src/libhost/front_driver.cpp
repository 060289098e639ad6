#include "front_driver.h"

#include "burdockpulley/hashing.h"
#include "burdockpulley/retry_policy.h"
#include "hop_tracing.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <set>

namespace burdockpulley {

namespace {

constexpr Duration SweepInterval{10'000};
constexpr Duration OwnerRetryAfter{500'000};
constexpr Duration OwnerRetryWait{25'000};
/// A request waits no longer for an owner than this, and half its deadline.
constexpr Duration MaxOwnerWait{1'000'000};
/// The keeper's time ends earlier, so that its reply still comes in time.
constexpr Duration HopMargin{5'000};
/// Callers of requests that take longer are watched for going away.
constexpr Duration WatchAfter{20'000};
constexpr std::size_t MaxBodyBytesInFlight = std::size_t(256) << 20;

/// Header fields that concern one connection, and the caller's credentials.
constexpr std::array<const char *, 12> HopHeaders = {"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Transfer-Encoding",
                                                     "TE",
                                                     "Trailer",
                                                     "Upgrade",
                                                     "Content-Length",
                                                     "Proxy-Authenticate",
                                                     "Host",
                                                     "Authorization",
                                                     "Expect"};

std::string lowered(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Byte) { return std::tolower(Byte); });
  return Text;
}

/// Names of fields that the Connection fields declare as for one hop only.
template <class Headers>
std::set<std::string> connectionOptions(const Headers &All) {
  std::set<std::string> Names;
  for (const HttpHeader &Header : All) {
    if (strcasecmp(Header.m_name.c_str(), "Connection") != 0)
      continue;
    std::string Name;
    for (char Byte : Header.m_value + ",") {
      if (Byte == ',')
        Names.insert(std::exchange(Name, ""));
      else if (Byte != ' ' && Byte != '\t')
        Name += static_cast<char>(std::tolower(Byte));
    }
  }
  return Names;
}

bool forwarded(const std::string &Name) {
  if (strncasecmp(Name.c_str(), "X-Burdockpulley-", 16) == 0 ||
      strcasecmp(Name.c_str(), "X-Request-Id") == 0)
    return false;
  return std::none_of(
      HopHeaders.begin(), HopHeaders.end(),
      [&](const char *Hop) { return strcasecmp(Hop, Name.c_str()) == 0; });
}

wire::Header wireHeader(std::string Name, std::string Value) {
  wire::Header Header;
  Header.name = std::move(Name);
  Header.value = std::move(Value);
  return Header;
}

wire::ForwardRequest toForward(HttpRequest &&Request, const RouteMatch &Match) {
  wire::ForwardRequest Forward;
  Forward.serviceName = Match.m_service->m_name.value();
  Forward.tenant = Match.m_team->m_name.value();
  Forward.idempotent = Match.m_idempotent;
  Forward.remainingMicros = Match.m_service->m_deadline.count();
  Forward.method = std::move(Request.m_method);
  Forward.target = std::move(Request.m_target);
  std::set<std::string> Options = connectionOptions(Request.m_headers);
  for (HttpHeader &Header : Request.m_headers)
    if (forwarded(Header.m_name) && !Options.count(lowered(Header.m_name)))
      Forward.headers.push_back(
          wireHeader(std::move(Header.m_name), std::move(Header.m_value)));
  Forward.headers.push_back(
      wireHeader("Forwarded", "for=" + Request.m_caller + ";proto=http"));
  Forward.body = std::move(Request.m_body);
  return Forward;
}

HttpResponse routeErrorAnswer(RouteError Error, const std::string &RequestId) {
  switch (Error) {
  case RouteError::NoCredentials:
    return errorAnswer(401, Outcome::NotRun, "no-credentials", RequestId);
  case RouteError::NoRoute:
    return errorAnswer(404, Outcome::NotRun, "no-route", RequestId);
  case RouteError::NoKey:
    return errorAnswer(400, Outcome::NotRun, "no-key", RequestId);
  case RouteError::BodyTooLarge:
    break;
  }
  return errorAnswer(413, Outcome::NotRun, "body-too-large", RequestId);
}

HttpResponse toCaller(wire::ForwardReply &&Reply, bool Head) {
  HttpResponse Response;
  Response.m_status = Reply.status;
  auto Kept = [&](const std::string &Name) {
    return forwarded(Name) ||
           (Head && strcasecmp(Name.c_str(), "Content-Length") == 0);
  };
  for (wire::Header &Header : Reply.headers)
    if (Kept(Header.name))
      Response.m_headers.push_back(
          {std::move(Header.name), std::move(Header.value)});
  Response.m_body = std::move(Reply.body);
  return Response;
}

bool keeperUnsettled(const std::string &Reason) {
  return Reason == "keeper-unreachable" || Reason == "upstream-not-declared";
}

bool ownerUnsettled(const std::string &Reason) {
  return Reason == "not-owner" || Reason == "no-owner" ||
         Reason == "upstream-unreachable" || keeperUnsettled(Reason);
}

Duration ownerWait(Duration Deadline) {
  return std::min(MaxOwnerWait, Deadline / 2);
}

} // namespace

FrontDriver::FrontDriver(event_base *Base, HostState &State, PeerNetwork &Peers,
                         KeeperDriver &Keeper, LedgerDriver &Ledger)
    : m_state(State), m_peers(Peers), m_keeper(Keeper), m_ledger(Ledger),
      m_selector(State),
      m_timer(Base, SweepInterval, [this](Instant Now) { sweep(Now); }) {}

bool FrontDriver::accept(const HttpRequest &Request, HttpResponder &Responder,
                         const std::string &RequestId) {
  if (!wellFormed(Request)) {
    HttpResponse Refusal =
        errorAnswer(400, Outcome::NotRun, "malformed-request", RequestId);
    // What follows on the connection can not be told from the body.
    Refusal.m_headers.push_back({"Connection", "close"});
    Responder.send(Refusal);
    return false;
  }
  if (m_bytes + Request.m_body.size() <= MaxBodyBytesInFlight)
    return true;
  Responder.send(errorAnswer(503, Outcome::NotRun, "memory-limit", RequestId,
                             OwnerRetryAfter));
  return false;
}

void FrontDriver::onRequest(HttpRequest &&Request,
                            std::shared_ptr<HttpResponder> Responder,
                            Instant Now) {
  std::string RequestId = uniqueUuid();
  if (!accept(Request, *Responder, RequestId))
    return;
  auto Found = findRoute(m_state.declared(), Request);
  if (const auto *Error = std::get_if<RouteError>(&Found))
    return Responder->send(routeErrorAnswer(*Error, RequestId));
  const auto &Match = std::get<RouteMatch>(Found);
  const Service &Target = *Match.m_service;
  std::string Key(Match.m_idempotent ? "" : Request.header("Idempotency-Key"));
  if (!Key.empty() && !issueTime(Key))
    return Responder->send(
        errorAnswer(400, Outcome::NotRun, "bad-idempotency-key", RequestId));
  std::int64_t Id = ++m_lastId;
  Pending &Row = m_pending[Id];
  Row.m_responder = std::move(Responder);
  Row.m_service = Target.m_name;
  Row.m_keyed = Target.keyed();
  if (Row.m_keyed)
    Row.m_partition = partitionOf(Match.m_key, Target.m_partitions);
  Row.m_bytes = Request.m_body.size();
  m_bytes += Row.m_bytes;
  Row.m_started = Now;
  Row.m_deadline = Now + Target.m_deadline;
  Row.m_message.__set_forwardRequest(toForward(std::move(Request), Match));
  Row.m_message.forwardRequest.requestId = RequestId;
  if (m_state.m_tracer) {
    Row.m_span = beginSpan(readTrace(Row.m_message.forwardRequest.headers),
                           "caller", Now);
    Row.m_span.m_service = Target.m_name.value();
  }
  if (Key.empty())
    return attempt(Id, Now);
  askLedger(Id, Key, Now);
}

void FrontDriver::askLedger(std::int64_t Id, const std::string &Key,
                            Instant Now) {
  Pending &Row = m_pending.at(Id);
  const wire::ForwardRequest &Forward = Row.m_message.forwardRequest;
  Row.m_askingLedger = true;
  Row.m_ledgerScope = Forward.tenant + "/" + Forward.serviceName + "/" + Key;
  std::uint64_t Hash = stableHash(
      Forward.body, stableHash(Forward.method + " " + Forward.target));
  auto Done = [this, Id,
               Scope = Row.m_ledgerScope](LedgerDriver::Answer &&Answer) {
    if (m_pending.count(Id))
      return onLedger(Id, std::move(Answer));
    // Its caller has had the final answer, and it has not run.
    if (Answer.m_result == LedgerRound::Result::Run)
      m_ledger.end(Scope, Answer.m_attempt, LedgerEnd::NotRun, {});
  };
  m_ledger.begin(Row.m_ledgerScope, *issueTime(Key), Hash, Row.m_deadline,
                 std::move(Done), Now);
}

void FrontDriver::onLedger(std::int64_t Id, LedgerDriver::Answer &&Answer) {
  using Result = LedgerRound::Result;
  Pending &Row = m_pending.at(Id);
  Row.m_askingLedger = false;
  const std::string &RequestId = Row.m_message.forwardRequest.requestId;
  switch (Answer.m_result) {
  case Result::Run:
    Row.m_ledgerAttempt = Answer.m_attempt;
    return attempt(Id, bootClockNow());
  case Result::Done:
    Answer.m_stored.m_headers.push_back({"X-Burdockpulley-Replayed", "true"});
    return finish(Id, Outcome::Answered, Answer.m_stored);
  case Result::Mismatch:
    return finish(
        Id, Outcome::NotRun,
        errorAnswer(422, Outcome::NotRun, "idempotency-key-reused", RequestId));
  case Result::Busy:
  case Result::Unknown:
  case Result::Waiting:
    break;
  }
  finish(
      Id, Outcome::Unknown,
      errorAnswer(409, Outcome::Unknown, "idempotency-key-unknown", RequestId));
}

void FrontDriver::endInLedger(const Pending &Row, Outcome Value,
                              const HttpResponse &Response) {
  if (Row.m_ledgerAttempt.value().empty())
    return;
  LedgerEnd How = LedgerEnd::Unknown;
  if (Value == Outcome::Answered)
    How = LedgerEnd::Ran;
  else if (Value == Outcome::NotRun)
    How = LedgerEnd::NotRun;
  m_ledger.end(Row.m_ledgerScope, Row.m_ledgerAttempt, How, Response);
}

const Upstream *FrontDriver::target(Pending &Row) {
  const Service *Target = m_state.declared().findService(Row.m_service);
  if (!Target)
    return nullptr;
  if (!Row.m_keyed)
    return m_selector.choose(*Target, Row.m_tried);
  const PartitionOwnership *Owner =
      m_state.m_ownership.find(Row.m_service, Row.m_partition);
  if (!Owner)
    return nullptr;
  wire::ForwardRequest &Forward = Row.m_message.forwardRequest;
  Forward.partition = static_cast<std::int32_t>(Row.m_partition.value());
  Forward.fencingToken = static_cast<std::int64_t>(Owner->m_token.value());
  return m_state.declared().findUpstream(Owner->m_owner);
}

void FrontDriver::attempt(std::int64_t Id, Instant Now) {
  Pending &Row = m_pending.at(Id);
  const Upstream *Target = target(Row);
  if (!Target)
    return onFailed(Id, 503, Outcome::NotRun, "no-owner", OwnerRetryAfter, Now);
  wire::ForwardRequest &Forward = Row.m_message.forwardRequest;
  Forward.id = Id;
  Forward.upstream = Target->m_name.value();
  Forward.remainingMicros = (Row.m_deadline - Now - HopMargin).count();
  Row.m_keeper = m_state.keeperOf(*Target);
  Row.m_upstream = Target->m_name;
  Row.m_sent = Now;
  Row.m_tried.push_back(Target->m_name);
  m_selector.onSent(*Target);
  beginHop(Row, Now);
  if (Row.m_keeper == m_state.m_settings.m_host) {
    auto Done = [this](wire::ForwardReply &&Reply) {
      onReply(std::move(Reply), bootClockNow());
    };
    return m_keeper.serve(Row.m_keeper, wire::ForwardRequest(Forward),
                          std::move(Done), Now);
  }
  if (!m_peers.send(Row.m_keeper, Row.m_message))
    onFailed(Id, 503, Outcome::NotRun, "keeper-unreachable", OwnerRetryAfter,
             Now);
}

void FrontDriver::onReply(wire::ForwardReply &&Reply, Instant Now) {
  auto Found = m_pending.find(Reply.id);
  if (Found == m_pending.end()) {
    ++m_lateReplies;
    return;
  }
  auto Value = static_cast<Outcome>(Reply.outcome);
  if (Value != Outcome::Answered)
    return onFailed(Reply.id, Reply.status, Value, Reply.reason,
                    std::chrono::milliseconds(Reply.retryAfterMillis), Now);
  endAttempt(Found->second, Value, "", Now);
  bool Head = Found->second.m_message.forwardRequest.method == "HEAD";
  std::int64_t Id = Reply.id;
  finish(Id, Value, toCaller(std::move(Reply), Head));
}

void FrontDriver::beginHop(Pending &Row, Instant Now) {
  if (!m_state.m_tracer)
    return;
  bool Local = Row.m_keeper == m_state.m_settings.m_host;
  Row.m_hop = Local ? Span() : beginSpan(Row.m_span.m_context, "peer", Now);
  Row.m_hop.m_service = Row.m_span.m_service;
  writeTrace(Local ? Row.m_span.m_context : Row.m_hop.m_context,
             Row.m_message.forwardRequest.headers);
}

void FrontDriver::endAttempt(Pending &Row, Outcome Value,
                             const std::string &Reason, Instant Now) {
  if (Row.m_keeper.value().empty())
    return;
  Row.m_keeper = HostId();
  if (m_state.m_tracer && !Row.m_hop.m_name.empty()) {
    Row.m_hop.m_outcome = toString(Value);
    Row.m_hop.m_failed = Value != Outcome::Answered;
    m_state.m_tracer->record(std::move(Row.m_hop), Now);
    Row.m_hop = Span();
  }
  Row.m_mayHaveRun |= Value == Outcome::Unknown;
  bool Failed = Value == Outcome::Unknown || Reason == "upstream-unreachable";
  m_selector.onEnd(Row.m_service, Row.m_upstream, Now - Row.m_sent, Failed,
                   Failed || Value == Outcome::Answered, Now);
}

void FrontDriver::onFailed(std::int64_t Id, int Status, Outcome Value,
                           const std::string &Reason, Duration RetryAfter,
                           Instant Now) {
  auto Found = m_pending.find(Id);
  if (Found == m_pending.end())
    return;
  Pending &Row = Found->second;
  endAttempt(Row, Value, Reason, Now);
  if (!Row.m_callerGone && tryAgain(Found, Status, Value, Reason, Now))
    return;
  // An earlier attempt may have run, whatever became of the last.
  Outcome Final = Row.m_mayHaveRun ? Outcome::Unknown : Value;
  finish(Id, Final,
         errorAnswer(Status, Final, Reason,
                     Row.m_message.forwardRequest.requestId, RetryAfter));
}

bool FrontDriver::tryAgain(Table::iterator Found, int Status, Outcome Value,
                           const std::string &Reason, Instant Now) {
  Pending &Row = Found->second;
  FailedAttempt Attempt;
  Attempt.m_notRun = Value == Outcome::NotRun;
  Attempt.m_timedOut = Status == 504;
  Attempt.m_overloaded = Reason == "overloaded";
  Attempt.m_ownerUnsettled = ownerUnsettled(Reason);
  Attempt.m_keeperUnsettled = keeperUnsettled(Reason);
  Attempt.m_idempotent = Row.m_message.forwardRequest.idempotent;
  Attempt.m_keyed = Row.m_keyed;
  Attempt.m_otherUpstream =
      !Row.m_keyed && m_selector.hasOther(Row.m_service, Row.m_tried);
  Attempt.m_mayWaitForOwner =
      Now - Row.m_started < ownerWait(Row.m_deadline - Row.m_started);
  Attempt.m_left = Row.m_deadline - Now - HopMargin;
  RetryVerdict Verdict = decideRetry(Attempt, m_selector.budget(Row.m_service));
  if (Verdict == RetryVerdict::Final)
    return false;
  auto Node = m_pending.extract(Found);
  Node.key() = ++m_lastId;
  std::int64_t Id = Node.key();
  Node.mapped().m_retryAt = Now + OwnerRetryWait;
  m_pending.insert(std::move(Node));
  if (Verdict == RetryVerdict::AtOnce)
    attempt(Id, Now);
  return true;
}

void FrontDriver::onPeerLost(const HostId &Peer, Instant Now) {
  std::vector<std::int64_t> Lost;
  for (const auto &[Id, Row] : m_pending)
    if (Row.m_keeper == Peer)
      Lost.push_back(Id);
  for (std::int64_t Id : Lost)
    onFailed(Id, 502, Outcome::Unknown, "keeper-lost", Duration(), Now);
}

void FrontDriver::sweep(Instant Now) {
  m_selector.judge(Now);
  std::vector<std::int64_t> Late;
  std::vector<std::int64_t> Again;
  for (auto &[Id, Row] : m_pending) {
    bool Idle = Row.m_keeper.value().empty() && !Row.m_askingLedger;
    if (Row.m_deadline <= Now)
      Late.push_back(Id);
    else if (Idle && Row.m_retryAt <= Now)
      Again.push_back(Id);
    else if (!Row.m_watched && Now - Row.m_started > WatchAfter)
      watch(Id, Row);
  }
  for (std::int64_t Id : Late)
    expire(Id, Now);
  for (std::int64_t Id : Again)
    attempt(Id, Now);
}

void FrontDriver::expire(std::int64_t Id, Instant Now) {
  auto Found = m_pending.find(Id);
  if (Found == m_pending.end())
    return;
  Pending &Row = Found->second;
  bool Sent = !Row.m_keeper.value().empty();
  cancel(Row, Id);
  // A request that was still waiting here has been ended by that.
  if (!m_pending.count(Id))
    return;
  endAttempt(Row, Sent ? Outcome::Unknown : Outcome::NotRun, "deadline", Now);
  // While the ledger is asked, an earlier try may have run.
  bool Unsure = Row.m_mayHaveRun || Row.m_askingLedger;
  Outcome Final = Unsure ? Outcome::Unknown : Outcome::NotRun;
  finish(Id, Final,
         errorAnswer(504, Final, "deadline",
                     Row.m_message.forwardRequest.requestId));
}

// The caller may have closed only its sending side, so it is answered still.
void FrontDriver::watch(std::int64_t Id, Pending &Row) {
  Row.m_watched = true;
  HttpResponder *Watched = Row.m_responder.get();
  Row.m_responder->watchCaller([this, Id, Watched] {
    auto Found = m_pending.lower_bound(Id);
    while (Found != m_pending.end() &&
           Found->second.m_responder.get() != Watched)
      ++Found;
    if (Found == m_pending.end())
      return;
    Found->second.m_callerGone = true;
    cancel(Found->second, Found->first);
  });
}

void FrontDriver::cancel(const Pending &Row, std::int64_t Id) {
  HostId Keeper = Row.m_keeper;
  if (Keeper.value().empty())
    return;
  if (Keeper == m_state.m_settings.m_host)
    return m_keeper.cancel(Keeper, Id);
  wire::ForwardCancel Order;
  Order.id = Id;
  wire::Message Message;
  Message.__set_forwardCancel(Order);
  m_peers.send(Keeper, Message);
}

void FrontDriver::finish(std::int64_t Id, Outcome Value,
                         const HttpResponse &Response) {
  auto Found = m_pending.find(Id);
  if (Found == m_pending.end())
    return;
  std::shared_ptr<HttpResponder> Responder =
      std::move(Found->second.m_responder);
  if (m_state.m_observer)
    m_state.m_observer->onRequestEnded(Found->second.m_service, toString(Value),
                                       bootClockNow() -
                                           Found->second.m_started);
  if (m_state.m_tracer) {
    Span &Whole = Found->second.m_span;
    Whole.m_outcome = toString(Value);
    Whole.m_failed = Value != Outcome::Answered || Response.m_status >= 500;
    m_state.m_tracer->record(std::move(Whole), bootClockNow());
  }
  m_bytes -= Found->second.m_bytes;
  endInLedger(Found->second, Value, Response);
  m_pending.erase(Found);
  Responder->send(Response);
}

} // namespace burdockpulley
