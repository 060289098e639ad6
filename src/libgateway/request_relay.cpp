#include "request_relay.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/hashing.h"
#include "local_response.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace burdockpulley {

namespace {

constexpr int StatusMisdirected = 421;
constexpr int FirstServerError = 500;
/// First guess at a route's service time: its latency goal over this.
constexpr int GoalOverWork = 3;
/// Pause before a keyed request asks for its owner again.
constexpr Duration OwnerPause{20'000};
/// When a caller is told to come back if nothing better is known.
constexpr Duration DefaultRetryAfter{250'000};
constexpr Duration NoConfigurationRetryAfter{300'000};
/// The same when the owner of a key is lost: half of the time for which it may
/// hold the key. Callers try only a few times.
constexpr Duration LostOwnerRetryAfter{1'750'000};
/// Answers are about this large when nothing is known.
constexpr std::size_t UsualAnswerBytes = 5000;
/// Callers' deadlines are at most this far away.
constexpr std::int64_t MaxDeadlineMillis = 3'600'000;
/// Sends of one request, with those that no upstream ran.
constexpr std::uint32_t MaxSends = 4;
/// How long a request waits for a key that is on its way to another owner.
constexpr Duration OwnerPatience{500'000};
/// A leaving owner may serve its keys for this share of the drain time.
constexpr double OwnerDrainShare = 0.3;

template <class Number> bool parseNumber(std::string_view Text, Number &Value) {
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size() &&
         !Text.empty();
}

/// True when a comma-separated header value has an element.
bool lists(std::string_view Value, std::string_view Element) {
  while (!Value.empty()) {
    std::size_t Comma = std::min(Value.find(','), Value.size());
    std::string_view Each = Value.substr(0, Comma);
    Value.remove_prefix(std::min(Comma + 1, Value.size()));
    std::size_t First = Each.find_first_not_of(" \t");
    std::size_t Last = Each.find_last_not_of(" \t");
    if (First != std::string_view::npos &&
        sameHeader(Each.substr(First, Last - First + 1), Element))
      return true;
  }
  return false;
}

std::int64_t millis(Duration Time) { return Time.count() / 1000; }

Fingerprint fingerprintOf(const HttpRequest &Request) {
  std::string_view Body(Request.m_body);
  return Fingerprint(stableHash(
      Request.m_target, stableHash(Body, stableHash(Request.m_method))));
}

} // namespace

RequestRelay::RequestRelay(GatewayState &State)
    : m_state(State), m_links(State), m_random(std::random_device()()) {}

void RequestRelay::onRequest(std::shared_ptr<Exchange> From, Instant Now) {
  std::unique_ptr<Job> Made = makeJob(From, Now);
  if (!Made)
    return;
  Job &Each = *Made;
  m_jobs[Each.m_number] = std::move(Made);
  From->onCallerGone([this, Number = Each.m_number] { onCallerGone(Number); });
  if (Each.m_key)
    ++m_keyUse.m_counts[Each.m_service->m_name][Each.m_key->value()];
  budget(Each.m_service->m_name).onRequest(Now);
  if (m_suspects.blocked(Each.m_fingerprint, Now))
    return refuse(Each, "crashes-upstreams", {}, Now);
  if (!place(Each, Now))
    wait(Each, Now);
}

std::unique_ptr<RequestRelay::Job>
RequestRelay::makeJob(const std::shared_ptr<Exchange> &From, Instant Now) {
  const HttpRequest &Request = From->request();
  const HeaderNames &Names = m_state.m_codec.headers();
  auto Made = std::make_unique<Job>();
  Made->m_number = RequestNumber(++m_nextNumber);
  Made->m_from = From;
  Made->m_id = Request.header(Names.m_requestId);
  Made->m_arrived = Now;
  Made->m_configuration = m_state.m_routes.current();
  auto Reject = [&](LocalStatus Status, const char *Reason,
                    Duration RetryAfter) {
    logEvent(Severity::Warning, "request_rejected",
             {{"request", Made->m_id},
              {"reason", Reason},
              {"status", static_cast<int>(Status)},
              {"revision", Made->m_configuration
                               ? Made->m_configuration->m_revision.value()
                               : 0}});
    m_state.m_metrics.onRequestEnded("none", Reason, Duration());
    HttpResponse Answer = localResponse(Status, RetryAfter);
    if (!Made->m_id.empty())
      Answer.m_headers.push_back({Names.m_requestId, Made->m_id});
    From->answer(Answer);
    return nullptr;
  };
  if (!Made->m_configuration)
    return Reject(LocalStatus::Unavailable, "no-configuration",
                  NoConfigurationRetryAfter);
  Made->m_route =
      m_state.m_routes.find(Request.header("Host"), Request.m_target);
  if (!Made->m_route || Made->m_route->m_targets.empty())
    return Reject(LocalStatus::NotFound, "no-route", {});
  const RouteTarget &Target = m_splitter.next(*Made->m_route);
  auto Service = Made->m_configuration->m_services.find(Target.m_service);
  if (Service == Made->m_configuration->m_services.end())
    return Reject(LocalStatus::Unavailable, "no-service", DefaultRetryAfter);
  Made->m_service = &Service->second;
  if (!readDeadline(*Made, Now))
    return Reject(LocalStatus::BadRequest, "bad-deadline", {});
  if (Made->m_service->m_keyed && !readKey(*Made))
    return Reject(LocalStatus::BadRequest, "bad-key", {});
  Made->m_goal = Now + Made->m_route->m_latencyGoal;
  Made->m_workTime = m_times.expected(
      Made->m_route->m_name, Made->m_route->m_latencyGoal / GoalOverWork);
  Made->m_fingerprint = fingerprintOf(Request);
  return Made;
}

bool RequestRelay::readDeadline(Job &Made, Instant Now) {
  std::string_view Text =
      Made.m_from->request().header(m_state.m_codec.headers().m_deadline);
  Made.m_deadline = Now + Made.m_route->m_timeout;
  if (Text.empty())
    return true;
  std::int64_t Left = 0;
  if (!parseNumber(Text, Left) || Left < 0 || Left > MaxDeadlineMillis)
    return false;
  Made.m_deadline =
      std::min(Made.m_deadline, Now + std::chrono::milliseconds(Left));
  return true;
}

bool RequestRelay::readKey(Job &Made) {
  std::string_view Text =
      Made.m_from->request().header(m_state.m_codec.headers().m_shardKey);
  std::uint32_t Value = 0;
  if (!parseNumber(Text, Value) || Value >= ShardKeyCount)
    return false;
  Made.m_key = ShardKey(Value);
  return true;
}

SharedRetryBudget &RequestRelay::budget(const ServiceId &Service) {
  auto Found = m_budgets.find(Service);
  if (Found == m_budgets.end()) {
    const GatewaySettings &Settings = m_state.m_settings;
    Found =
        m_budgets
            .emplace(Service, SharedRetryBudget({Settings.m_retryRatio,
                                                 Settings.m_retryWindow,
                                                 Settings.m_retryAllowance}))
            .first;
  }
  return Found->second;
}

bool RequestRelay::mayBeCold(const UpstreamState &Row, const Job &Each,
                             Instant Now) {
  if (!Row.cold(Now) || Each.m_service->m_coldRate <= 0)
    return true;
  std::uniform_real_distribution<double> Phase(0, 1);
  auto Limiter =
      m_coldStartLimiters.try_emplace(Row.m_record.m_id, Phase(m_random)).first;
  return Limiter->second.available(Each.m_service->m_coldRate, m_state.hosts(),
                                   Now);
}

RequestRelay::Owner RequestRelay::ownerOf(const Job &Each, Instant Now) {
  UpstreamState *Row = m_state.m_registry.find(
      m_state.m_owners.owner(Each.m_service->m_name, *Each.m_key));
  if (!Row)
    return {nullptr, false};
  if (Row->m_unreachable)
    return {nullptr, true};
  Duration Allowed(static_cast<std::int64_t>(
      static_cast<double>(m_state.m_settings.m_drain.count()) *
      OwnerDrainShare));
  bool Left = Row->leaving() && Now - Row->m_leftAt > Allowed;
  if (Left || m_state.m_registry.domainOut(Row->m_record.m_domain))
    return {nullptr, false};
  return {Row, false};
}

UpstreamState *RequestRelay::chooseRow(const Job &Each, bool &MayWait,
                                       Instant Now) {
  if (Each.m_key) {
    Owner Known = ownerOf(Each, Now);
    // A lost owner is replaced in seconds, one on its way in a moment.
    bool Patient = Now - Each.m_arrived <= OwnerPatience;
    MayWait = Known.m_row || (!Known.m_lost && Patient);
    UpstreamState *Row = Known.m_row;
    bool Turn =
        Row && m_ownerThrottles[Row->m_record.m_id].available(
                   *Row, Each.m_workTime,
                   statusInterval(m_state.m_peerLoads.hosts()), m_random, Now);
    return Turn && mayBeCold(*Row, Each, Now) ? Row : nullptr;
  }
  std::vector<UpstreamState *> Rows =
      m_state.m_registry.ofService(Each.m_service->m_name);
  std::erase_if(Rows, [&](const UpstreamState *Row) {
    return !mayBeCold(*Row, Each, Now);
  });
  SelectionRequest Request;
  Request.m_workTime = Each.m_workTime;
  Request.m_bytes = Each.m_from->request().m_body.size() + UsualAnswerBytes;
  Request.m_domain = m_state.m_settings.m_domain;
  Request.m_tried = &Each.m_tried;
  Request.m_jitter =
      jitterFor(statusInterval(m_state.m_peerLoads.hosts()), Each.m_workTime);
  Request.m_random = &m_random;
  Selection Chosen = selectUpstream(m_state.m_registry, Rows, Request, Now);
  MayWait = Chosen.m_anyUsable;
  return Chosen.m_upstream;
}

bool RequestRelay::place(Job &Each, Instant Now) {
  if (Now < Each.m_notBefore)
    return false;
  bool MayWait = false;
  UpstreamState *Row = chooseRow(Each, MayWait, Now);
  if (!Row && !MayWait) {
    refuse(Each, "no-upstream",
           Each.m_key ? LostOwnerRetryAfter : refusalPause(Each, Now), Now);
    return true;
  }
  if (!Row)
    return false;
  if (Each.m_repeat &&
      !budget(Each.m_service->m_name).take(m_state.hosts(), Now)) {
    if (Each.m_mayHaveRun)
      reportUnknown(Each, AttemptOutcome::Unknown, Now);
    else
      refuse(Each, "retry-budget", refusalPause(Each, Now), Now);
    return true;
  }
  send(Each, *Row, Now);
  return true;
}

Duration RequestRelay::refusalPause(const Job &Each, Instant Now) const {
  Duration Left = std::max(Duration(), Each.m_deadline - Now);
  return std::min(DefaultRetryAfter, std::max(Left / 4, Duration(1000)));
}

ServiceCapacity RequestRelay::capacityFor(const Job &Each, Instant Now) {
  ServiceCapacity Capacity;
  if (Each.m_key) {
    const UpstreamState *Row = ownerOf(Each, Now).m_row;
    // Until the owner is known, nothing speaks against waiting for it.
    Capacity.m_slots = Row ? Row->m_record.m_slots / slownessFactor(*Row, Now)
                           : std::numeric_limits<double>::max();
    // Requests that are there already are half done on average.
    if (Row)
      Capacity.m_waiting = Row->m_peerWaiting +
                           (Row->m_outstanding + Row->m_peerOutstanding) / 2;
    return Capacity;
  }
  for (const UpstreamState *Row :
       m_state.m_registry.ofService(Each.m_service->m_name))
    if (m_state.m_registry.usable(*Row))
      Capacity.m_slots += Row->m_record.m_slots / slownessFactor(*Row, Now);
  Capacity.m_waiting = m_state.m_peerLoads.waiting(Each.m_service->m_name);
  return Capacity;
}

void RequestRelay::wait(Job &Each, Instant Now) {
  UpstreamId Owner =
      Each.m_key ? m_state.m_owners.owner(Each.m_service->m_name, *Each.m_key)
                 : UpstreamId();
  QueueKey Key{Each.m_service->m_name, Owner};
  WaitQueue &Queue = m_queues[Key];
  WaitingRequest Request{Each.m_number, Each.m_route->m_priority,
                         Each.m_workTime, Each.m_goal, Each.m_deadline};
  auto Refused = Queue.offer(Request, capacityFor(Each, Now), Now);
  if (Refused)
    return refuse(Each, "no-room-in-time", Refused->m_retryAfter, Now);
  Each.m_queue = Key;
  countWaiting(Owner);
}

void RequestRelay::countWaiting(const UpstreamId &Owner) {
  UpstreamState *Row = m_state.m_registry.find(Owner);
  if (!Row)
    return;
  Row->m_waiting = 0;
  for (const auto &[Key, Queue] : m_queues)
    if (Key.second == Owner)
      Row->m_waiting += static_cast<std::uint32_t>(Queue.size());
}

void RequestRelay::removeFromQueue(Job &Each) {
  if (!Each.m_queue)
    return;
  auto Found = m_queues.find(*Each.m_queue);
  UpstreamId Owner = Each.m_queue->second;
  Each.m_queue.reset();
  if (Found == m_queues.end())
    return;
  Found->second.remove(Each.m_number);
  countWaiting(Owner);
}

void RequestRelay::dispatchWaiting(Instant Now) {
  std::vector<RequestNumber> Lost;
  std::vector<std::vector<RequestNumber>> Orders;
  for (auto &[Key, Queue] : m_queues) {
    if (Queue.size() == 0)
      continue;
    auto First = m_jobs.find(Queue.order(Now).front());
    if (First == m_jobs.end())
      continue;
    ServiceCapacity Capacity = capacityFor(*First->second, Now);
    for (RequestNumber Number : Queue.giveUp(Capacity, Now))
      Lost.push_back(Number);
    Orders.push_back(Queue.order(Now));
  }
  for (RequestNumber Number : Lost)
    giveUp(Number, Now);
  for (const auto &Order : Orders)
    for (RequestNumber Number : Order) {
      auto Found = m_jobs.find(Number);
      if (Found == m_jobs.end())
        continue;
      Job &Each = *Found->second;
      bool Paused = Now < Each.m_notBefore;
      bool Keyed = Each.m_key.has_value();
      // Without a key, one that finds no room shows that none is left.
      if (!place(Each, Now) && !Keyed && !Paused)
        break;
    }
}

void RequestRelay::giveUp(RequestNumber Number, Instant Now) {
  auto Found = m_jobs.find(Number);
  if (Found == m_jobs.end())
    return;
  Job &Each = *Found->second;
  if (Each.m_mayHaveRun)
    reportUnknown(Each, AttemptOutcome::TimedOut, Now);
  else
    refuse(Each, "deadline-near", refusalPause(Each, Now), Now);
}

void RequestRelay::send(Job &Each, UpstreamState &Row, Instant Now) {
  removeFromQueue(Each);
  if (Row.cold(Now) && Each.m_service->m_coldRate > 0)
    m_coldStartLimiters[Row.m_record.m_id].take();
  if (Each.m_key)
    m_ownerThrottles[Row.m_record.m_id].take();
  Each.m_upstream = Row.m_record.m_id;
  Each.m_tried.insert(Row.m_record.m_id);
  Each.m_sent = true;
  ++Row.m_outstanding;
  HttpRequest Request = encode(Each, Row, Now);
  auto Reuse = Each.m_route->m_idempotent ? ChannelPool::Reuse::Any
                                          : ChannelPool::Reuse::RecentlyUsed;
  Duration Left = std::max(Duration(1000), Each.m_deadline - Now);
  Each.m_call = m_links.pool(Row).call(
      Request, Each.m_id, Left, Reuse,
      [this, Number = Each.m_number](ChannelResult &&Result) {
        onResult(Number, std::move(Result));
      });
}

HttpRequest RequestRelay::encode(const Job &Each, const UpstreamState &Row,
                                 Instant Now) const {
  const HeaderNames &Names = m_state.m_codec.headers();
  const HttpRequest &From = Each.m_from->request();
  HttpRequest Request;
  Request.m_method = From.m_method;
  Request.m_target = From.m_target;
  Request.m_body = From.m_body;
  std::string_view Connection = From.header("Connection");
  for (const HttpHeader &Header : From.m_headers) {
    bool Own = sameHeader(Header.m_name, Names.m_deadline) ||
               sameHeader(Header.m_name, Names.m_expectedUpstream);
    bool Needed = sameHeader(Header.m_name, Names.m_requestId) ||
                  sameHeader(Header.m_name, Names.m_shardKey) ||
                  sameHeader(Header.m_name, "Host");
    bool Nominated = !Needed && lists(Connection, Header.m_name);
    if (!Own && !Nominated && !isConnectionHeader(Header.m_name))
      Request.m_headers.push_back(Header);
  }
  std::int64_t Left = std::max<std::int64_t>(1, millis(Each.m_deadline - Now));
  Request.m_headers.push_back({Names.m_deadline, std::to_string(Left)});
  Request.m_headers.push_back(
      {Names.m_expectedUpstream, Row.m_record.m_id.value()});
  return Request;
}

AttemptOutcome RequestRelay::classify(const Job &Each,
                                      const ChannelResult &Result) const {
  switch (Result.m_error) {
  case ChannelError::ConnectFailed:
    return AttemptOutcome::NotSent;
  case ChannelError::Interrupted:
  case ChannelError::BadAnswer:
    return AttemptOutcome::Unknown;
  case ChannelError::TimedOut:
    return AttemptOutcome::TimedOut;
  case ChannelError::None:
    break;
  }
  const HttpResponse &Response = Result.m_response;
  bool NotRun = !Response.header(m_state.m_codec.headers().m_notRun).empty() ||
                Response.m_status == StatusMisdirected;
  if (NotRun)
    return Each.m_key && Response.m_status == StatusMisdirected
               ? AttemptOutcome::WrongOwner
               : AttemptOutcome::NotRun;
  return Response.m_status >= FirstServerError ? AttemptOutcome::ServerError
                                               : AttemptOutcome::Answered;
}

void RequestRelay::learn(Job &Each, const ChannelResult &Result,
                         AttemptOutcome End, Instant Now) {
  m_state.m_metrics.onAttempt(Each.m_service->m_name, toString(End));
  UpstreamState *Row = m_state.m_registry.find(Each.m_upstream);
  if (!Row)
    return;
  Row->m_outstanding -= std::min(Row->m_outstanding, 1U);
  if (End == AttemptOutcome::Answered) {
    double Factor = slownessFactor(*Row, Now);
    observeServiceTime(*Row, Result.m_spent, Each.m_workTime, Now);
    m_times.onAnswer(Each.m_route->m_name, Result.m_spent, Factor);
    m_state.m_workTimes[Each.m_service->m_name] =
        m_times.expected(Each.m_route->m_name, Each.m_workTime);
  } else if (End == AttemptOutcome::ServerError ||
             End == AttemptOutcome::NotRun) {
    observeFailure(*Row, Now);
  }
  if (Result.m_error == ChannelError::None) {
    auto Report = m_state.m_codec.decodeLoad(
        Result.m_response.header(m_state.m_codec.headers().m_load));
    if (Report) {
      Row->m_report = *Report;
      Row->m_reportAt = Now;
      Row->m_reportIsLocal = true;
    }
  }
  bool Misdirected = Result.m_error == ChannelError::None && !Each.m_key &&
                     Result.m_response.m_status == StatusMisdirected;
  if (Misdirected) // Another upstream has the address now.
    m_state.m_registry.onUnreachable(Each.m_upstream, Now);
  if (Result.m_error == ChannelError::Interrupted && Result.m_sent)
    m_suspects.onInterrupted(Each.m_fingerprint, Each.m_upstream, Now);
  if (Result.m_error != ChannelError::ConnectFailed)
    return;
  bool News = !Row->m_unreachable;
  m_state.m_registry.onUnreachable(Each.m_upstream, Now);
  if (!News)
    return;
  logEvent(Severity::Warning, "upstream_unreachable",
           {{"upstream", Each.m_upstream.value()},
            {"refused", Result.m_refused},
            {"request", Each.m_id}});
  if (Result.m_refused)
    onUpstreamDown(Each.m_upstream, Now);
}

void RequestRelay::onUpstreamDown(const UpstreamId &Which, Instant Now) {
  for (Fingerprint Each : m_suspects.onUpstreamDown(Which, Now)) {
    logEvent(Severity::Warning, "request_suspected",
             {{"fingerprint", Each.value()}, {"upstream", Which.value()}});
    if (m_onSuspicion)
      m_onSuspicion(Each, Which);
  }
}

void RequestRelay::onResult(RequestNumber Number, ChannelResult &&Result) {
  auto Found = m_jobs.find(Number);
  if (Found == m_jobs.end())
    return;
  Job &Each = *Found->second;
  Instant Now = bootClockNow();
  Each.m_sent = false;
  AttemptOutcome End = classify(Each, Result);
  learn(Each, Result, End, Now);
  if (End != AttemptOutcome::NotSent)
    ++Each.m_attempts;
  proceed(Each, End, std::move(Result.m_response), Now);
  dispatchWaiting(Now);
}

void RequestRelay::proceed(Job &Each, AttemptOutcome End,
                           HttpResponse &&Response, Instant Now) {
  AttemptFacts Facts;
  Facts.m_outcome = End;
  Facts.m_idempotent = Each.m_route->m_idempotent;
  Facts.m_keyed = Each.m_key.has_value();
  Facts.m_mayHaveRun = Each.m_mayHaveRun;
  Facts.m_sent = Each.m_attempts;
  Facts.m_maxAttempts = std::min(Each.m_route->m_maxAttempts, MaxSends);
  Facts.m_left = Each.m_deadline - Now;
  Facts.m_workTime = Each.m_workTime;
  for (const UpstreamState *Row :
       m_state.m_registry.ofService(Each.m_service->m_name))
    Facts.m_otherUpstream |= m_state.m_registry.usable(*Row) &&
                             !Each.m_tried.count(Row->m_record.m_id);
  bool MayRun = End == AttemptOutcome::Unknown ||
                End == AttemptOutcome::TimedOut ||
                End == AttemptOutcome::ServerError;
  Each.m_mayHaveRun |= MayRun;
  AttemptAction Step = decideNextAction(Facts);
  if (Step != AttemptAction::Deliver)
    logEvent(Severity::Info, "attempt_ended",
             {{"request", Each.m_id},
              {"upstream", Each.m_upstream.value()},
              {"end", toString(End)},
              {"status", Response.m_status},
              {"attempts", Each.m_attempts},
              {"left_ms", millis(Facts.m_left)},
              {"other_upstream", Facts.m_otherUpstream}});
  switch (Step) {
  case AttemptAction::Deliver:
    return deliver(Each, std::move(Response), Now);
  case AttemptAction::RefuseNotRun:
    return refuse(Each, toString(End), refusalPause(Each, Now), Now);
  case AttemptAction::ReportUnknown:
    return reportUnknown(Each, End, Now);
  case AttemptAction::RetryFree:
    return retry(Each, {}, Now);
  case AttemptAction::Retry:
    Each.m_repeat = true;
    return retry(Each, {}, Now);
  case AttemptAction::AwaitOwner:
    Each.m_repeat = End != AttemptOutcome::NotSent;
    return retry(Each, OwnerPause, Now);
  }
}

void RequestRelay::retry(Job &Each, Duration Pause, Instant Now) {
  Each.m_notBefore = Now + Pause;
  if (!place(Each, Now))
    wait(Each, Now);
}

void RequestRelay::onCallerGone(RequestNumber Number) {
  auto Found = m_jobs.find(Number);
  if (Found == m_jobs.end())
    return;
  Job &Each = *Found->second;
  Instant Now = bootClockNow();
  if (Each.m_sent) {
    UpstreamState *Row = m_state.m_registry.find(Each.m_upstream);
    if (Row) {
      m_links.pool(*Row).cancel(Each.m_call);
      Row->m_outstanding -= std::min(Row->m_outstanding, 1U);
    }
  }
  removeFromQueue(Each);
  logEvent(Severity::Info, "caller_left",
           {{"request", Each.m_id},
            {"upstream", Each.m_upstream.value()},
            {"sent", Each.m_sent},
            {"spent_ms", millis(Now - Each.m_arrived)}});
  m_state.m_metrics.onRequestEnded(Each.m_route->m_name, "caller-left",
                                   Now - Each.m_arrived);
  m_jobs.erase(Found);
}

void RequestRelay::deliver(Job &Each, HttpResponse &&Response, Instant Now) {
  const HeaderNames &Names = m_state.m_codec.headers();
  std::erase_if(Response.m_headers, [&Names](const HttpHeader &Header) {
    return isConnectionHeader(Header.m_name) ||
           sameHeader(Header.m_name, Names.m_load) ||
           sameHeader(Header.m_name, Names.m_upstreamName);
  });
  finish(Each, Response, "answered", "", Now);
}

void RequestRelay::refuse(Job &Each, const char *Reason, Duration RetryAfter,
                          Instant Now) {
  finish(Each, localResponse(LocalStatus::Unavailable, RetryAfter), "not-run",
         Reason, Now);
}

void RequestRelay::reportUnknown(Job &Each, AttemptOutcome End, Instant Now) {
  LocalStatus Status = End == AttemptOutcome::TimedOut
                           ? LocalStatus::GatewayTimeout
                           : LocalStatus::BadGateway;
  finish(Each, localResponse(Status), "unknown", toString(End), Now);
}

void RequestRelay::finish(Job &Each, const HttpResponse &Response,
                          const char *Outcome, const char *Reason,
                          Instant Now) {
  removeFromQueue(Each);
  Duration Spent = Now - Each.m_arrived;
  bool Good = Response.m_status < 400;
  logEvent(Good ? Severity::Info : Severity::Warning, "request_ended",
           {{"request", Each.m_id},
            {"route", Each.m_route->m_name},
            {"service", Each.m_service->m_name.value()},
            {"outcome", Outcome},
            {"reason", Reason},
            {"status", Response.m_status},
            {"upstream", Each.m_upstream.value()},
            {"attempts", Each.m_attempts},
            {"spent_ms", millis(Spent)},
            {"left_ms", millis(Each.m_deadline - Now)},
            {"revision", Each.m_configuration->m_revision.value()}});
  m_state.m_metrics.onRequestEnded(Each.m_route->m_name, Outcome, Spent);
  std::shared_ptr<Exchange> From = Each.m_from;
  bool OwnAnswer =
      Response.header(m_state.m_codec.headers().m_requestId).empty();
  m_jobs.erase(Each.m_number);
  if (!OwnAnswer)
    return From->answer(Response);
  HttpResponse WithId = Response;
  std::string_view Id =
      From->request().header(m_state.m_codec.headers().m_requestId);
  if (!Id.empty())
    WithId.m_headers.push_back(
        {m_state.m_codec.headers().m_requestId, std::string(Id)});
  From->answer(WithId);
}

void RequestRelay::sweep(Instant Now) {
  m_links.sweep(Now);
  m_suspects.sweep(Now);
  auto Forgotten = [this](const auto &Each) {
    return !m_state.m_registry.find(Each.first);
  };
  std::erase_if(m_coldStartLimiters, Forgotten);
  std::erase_if(m_queues, [Now](const auto &Each) {
    return Each.second.discardable(Now);
  });
  std::erase_if(m_ownerThrottles, Forgotten);
}

std::size_t RequestRelay::waiting() const {
  std::size_t Count = 0;
  for (const auto &[Key, Queue] : m_queues)
    Count += Queue.size();
  return Count;
}

std::map<ServiceId, std::uint32_t> RequestRelay::waitingByService() const {
  std::map<ServiceId, std::uint32_t> Counts;
  for (const auto &[Key, Queue] : m_queues)
    if (Queue.size() > 0)
      Counts[Key.first] += static_cast<std::uint32_t>(Queue.size());
  return Counts;
}

} // namespace burdockpulley
