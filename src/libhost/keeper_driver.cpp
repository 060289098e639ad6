#include "keeper_driver.h"

#include "error_answer.h"
#include "hop_tracing.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr const char *RefusedHeader = "X-Burdockpulley-Refused";

constexpr Duration SweepInterval{5'000};

bool isOverloadStatus(int Status) { return Status == 429 || Status == 503; }

wire::ForwardReply refusal(std::int64_t Id, const std::string &Reason) {
  wire::ForwardReply Reply;
  Reply.id = Id;
  Reply.outcome = static_cast<std::int32_t>(Outcome::NotRun);
  Reply.status = 503;
  Reply.reason = Reason;
  return Reply;
}

wire::ForwardReply failure(std::int64_t Id, HttpError Error) {
  if (Error == HttpError::ConnectFailed)
    return refusal(Id, "upstream-unreachable");
  wire::ForwardReply Reply;
  Reply.id = Id;
  Reply.outcome = static_cast<std::int32_t>(Outcome::Unknown);
  Reply.status = Error == HttpError::TimedOut ? 504 : 502;
  Reply.reason = Error == HttpError::TimedOut ? "upstream-timeout"
                                              : "upstream-interrupted";
  return Reply;
}

wire::ForwardReply answer(std::int64_t Id, HttpResponse &&Response) {
  // The upstream confirms that it has not started the request.
  std::string_view Refused = Response.header(RefusedHeader);
  if (!Refused.empty())
    return refusal(Id, std::string(Refused));
  wire::ForwardReply Reply;
  Reply.id = Id;
  Reply.outcome = static_cast<std::int32_t>(Outcome::Answered);
  Reply.status = Response.m_status;
  for (HttpHeader &Header : Response.m_headers) {
    wire::Header Copy;
    Copy.name = std::move(Header.m_name);
    Copy.value = std::move(Header.m_value);
    Reply.headers.push_back(std::move(Copy));
  }
  Reply.body = std::move(Response.m_body);
  return Reply;
}

HttpRequest toUpstream(wire::ForwardRequest &&Request, Duration Left) {
  HttpRequest Message;
  Message.m_method = std::move(Request.method);
  Message.m_target = std::move(Request.target);
  for (wire::Header &Header : Request.headers)
    Message.m_headers.push_back(
        {std::move(Header.name), std::move(Header.value)});
  Message.m_headers.push_back({"X-Request-Id", Request.requestId});
  Message.m_headers.push_back(
      {"X-Burdockpulley-Deadline-Ms", std::to_string(Left.count() / 1000)});
  if (Request.fencingToken > 0) {
    Message.m_headers.push_back(
        {"X-Burdockpulley-Partition", std::to_string(Request.partition)});
    Message.m_headers.push_back(
        {"X-Burdockpulley-Token", std::to_string(Request.fencingToken)});
  }
  Message.m_body = std::move(Request.body);
  return Message;
}

} // namespace

KeeperDriver::Row::Row(const Upstream &Which, Instant Now)
    : m_address(Which.m_address), m_slots(Which.m_slots), m_queue(m_slots),
      m_ramp(m_slots, Which.m_warmUp, Now) {}

KeeperDriver::KeeperDriver(event_base *Base, HostState &State,
                           UpstreamPool &Pool, LoadDriver &Loads)
    : m_state(State), m_pool(Pool), m_loads(Loads),
      m_timer(Base, SweepInterval, [this](Instant Now) { sweep(Now); }) {}

KeeperDriver::Row &KeeperDriver::find(const Upstream &Which, Instant Now) {
  Row &Each = m_rows.try_emplace(Which.m_name, Which, Now).first->second;
  if (Each.m_address != Which.m_address || Each.m_slots != Which.m_slots) {
    Each.m_address = Which.m_address;
    Each.m_slots = Which.m_slots;
    Each.m_queue.setSlots(Which.m_slots);
    Each.m_ramp = ColdStartRamp(Which.m_slots, Which.m_warmUp, Now);
  }
  return Each;
}

void KeeperDriver::serve(const HostId &From, wire::ForwardRequest &&Request,
                         Callback Done, Instant Now) {
  const Declarations &Declared = m_state.declared();
  const Upstream *Target = Declared.findUpstream(UpstreamId(Request.upstream));
  if (!Target)
    return Done(refusal(Request.id, "upstream-not-declared"));
  const Service *Function = Declared.findService(Target->m_service);
  const Team *Caller = Declared.findTeam(TeamId(Request.tenant));
  AdmissionRequest Asked;
  Asked.m_team = TeamId(Request.tenant);
  Asked.m_weight = Caller ? std::max(Caller->m_weight, 1U) : 1;
  Asked.m_bulk = Function && Function->m_bulk;
  Asked.m_deadline = Now + Duration(Request.remainingMicros);
  if (Request.fencingToken > 0)
    m_loads.count(Target->m_name, PartitionIndex(static_cast<std::uint32_t>(
                                      Request.partition)));
  Row &Each = find(*Target, Now);
  AdmissionTicket Ticket(++m_lastTicket);
  Each.m_work[Ticket] = {From, std::move(Request), std::move(Done),
                         Asked.m_deadline};
  refuse(Each, Each.m_queue.offer(Ticket, Asked, Now));
  startWaiting(Target->m_name, Now);
}

// An upstream that checks its grants refuses by itself.
bool KeeperDriver::granted(const Upstream &Target,
                           const wire::ForwardRequest &Request,
                           Instant Now) const {
  if (Target.m_checksGrants || Request.fencingToken == 0 || !m_state.m_mayServe)
    return true;
  PartitionIndex Partition(static_cast<std::uint32_t>(Request.partition));
  FencingToken Token(static_cast<std::uint64_t>(Request.fencingToken));
  return m_state.m_mayServe(Target.m_name, Partition, Token, Now);
}

void KeeperDriver::startWaiting(const UpstreamId &Name, Instant Now) {
  Row &Each = m_rows.at(Name);
  refuse(Each, Each.m_queue.giveUp(Now));
  while (auto Ticket = Each.m_queue.startNext(Each.m_ramp.allowed(), Now)) {
    auto Found = Each.m_work.find(*Ticket);
    Work Next = std::move(Found->second);
    Each.m_work.erase(Found);
    const Upstream *Target = m_state.declared().findUpstream(Name);
    bool Granted = Target && granted(*Target, Next.m_request, Now);
    if (Granted) {
      send(*Target, Each, std::move(Next), Now);
      continue;
    }
    Each.m_queue.finish(Each.m_queue.serviceTime());
    Next.m_done(refusal(Next.m_request.id,
                        Target ? "not-owner" : "upstream-not-declared"));
  }
}

void KeeperDriver::send(const Upstream &Target, Row &, Work &&Next,
                        Instant Now) {
  std::int64_t Id = Next.m_request.id;
  Duration Left = Next.m_deadline - Now;
  auto Reuse = Next.m_request.idempotent ? HttpClient::Reuse::Any
                                         : HttpClient::Reuse::RecentlyUsed;
  Span Hop;
  if (m_state.m_tracer) {
    Hop = beginSpan(readTrace(Next.m_request.headers), "upstream", Now);
    Hop.m_service = Target.m_service.value();
    writeTrace(Hop.m_context, Next.m_request.headers);
  }
  HttpRequest Message = toUpstream(std::move(Next.m_request), Left);
  m_pool.requests(Target).call(
      std::move(Message), Left,
      [this, Id, Name = Target.m_name, Sent = Now, Hop = std::move(Hop),
       Done = std::move(Next.m_done)](HttpError Error,
                                      HttpResponse &&Response) {
        int Status = Response.m_status;
        traceEnd(Hop, Error, Status);
        Done(Error == HttpError::None ? answer(Id, std::move(Response))
                                      : failure(Id, Error));
        onEnd(Name, Error, Status, Sent, bootClockNow());
      },
      Reuse);
}

void KeeperDriver::traceEnd(Span Hop, HttpError Error, int Status) {
  if (!m_state.m_tracer)
    return;
  Hop.m_failed = Error != HttpError::None || Status >= 500;
  Hop.m_outcome = Error == HttpError::None ? "answered" : "failed";
  m_state.m_tracer->record(std::move(Hop), bootClockNow());
}

void KeeperDriver::onEnd(const UpstreamId &Name, HttpError Error, int Status,
                         Instant Sent, Instant Now) {
  Row &Each = m_rows.at(Name);
  Each.m_queue.finish(Now - Sent);
  switch (Error) {
  case HttpError::None:
    if (isOverloadStatus(Status))
      Each.m_ramp.onFailure(Now);
    else
      Each.m_ramp.onSuccess(Now - Sent, Now);
    break;
  case HttpError::TimedOut:
    Each.m_ramp.onFailure(Now);
    break;
  case HttpError::ConnectFailed:
  case HttpError::Interrupted:
    Each.m_ramp.onRestart(Now);
    break;
  }
  startWaiting(Name, Now);
}

void KeeperDriver::refuse(Row &Each,
                          const std::vector<AdmissionRefusal> &Refused) {
  for (const AdmissionRefusal &Row : Refused)
    end(Each, Row.m_ticket, "overloaded", Row.m_retryAfter);
}

void KeeperDriver::end(Row &Each, AdmissionTicket Ticket,
                       const std::string &Reason, Duration RetryAfter) {
  auto Found = Each.m_work.find(Ticket);
  Work Ended = std::move(Found->second);
  Each.m_work.erase(Found);
  wire::ForwardReply Reply = refusal(Ended.m_request.id, Reason);
  Reply.retryAfterMillis = (RetryAfter.count() + 999) / 1000;
  Ended.m_done(std::move(Reply));
}

void KeeperDriver::cancel(const HostId &From, std::int64_t Id) {
  for (auto &[Name, Each] : m_rows)
    for (auto &[Ticket, Waiting] : Each.m_work)
      if (Waiting.m_from == From && Waiting.m_request.id == Id) {
        Each.m_queue.cancel(Ticket);
        return end(Each, Ticket, "cancelled", Duration());
      }
}

void KeeperDriver::onPeerLost(const HostId &Peer) {
  for (auto &[Name, Each] : m_rows) {
    std::vector<AdmissionTicket> Lost;
    for (auto &[Ticket, Waiting] : Each.m_work)
      if (Waiting.m_from == Peer)
        Lost.push_back(Ticket);
    for (AdmissionTicket Ticket : Lost) {
      Each.m_queue.cancel(Ticket);
      end(Each, Ticket, "cancelled", Duration());
    }
  }
}

std::size_t KeeperDriver::inFlight() const {
  std::size_t Count = 0;
  for (const auto &[Name, Each] : m_rows)
    Count += Each.m_queue.running() + Each.m_queue.waiting();
  return Count;
}

void KeeperDriver::sweep(Instant Now) {
  for (auto &[Name, Each] : m_rows)
    if (Each.m_queue.waiting() > 0)
      startWaiting(Name, Now);
}

} // namespace burdockpulley
