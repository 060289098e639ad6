#include "keeper_driver.h"

#include "error_answer.h"
#include "peer_types.h"

namespace burdockpulley {

namespace {

constexpr const char *RefusedHeader = "X-Burdockpulley-Refused";

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

HttpRequest toUpstream(wire::ForwardRequest &&Request) {
  HttpRequest Message;
  Message.m_method = std::move(Request.method);
  Message.m_target = std::move(Request.target);
  for (wire::Header &Header : Request.headers)
    Message.m_headers.push_back(
        {std::move(Header.name), std::move(Header.value)});
  Message.m_headers.push_back({"X-Request-Id", Request.requestId});
  Message.m_headers.push_back({"X-Burdockpulley-Deadline-Ms",
                               std::to_string(Request.remainingMicros / 1000)});
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

void KeeperDriver::serve(wire::ForwardRequest &&Request, Callback Done) {
  const Upstream *Target =
      m_state.declared().findUpstream(UpstreamId(Request.upstream));
  if (!Target)
    return Done(refusal(Request.id, "upstream-not-declared"));
  std::int64_t Id = Request.id;
  Duration Remaining(Request.remainingMicros);
  m_pool.requests(*Target).call(
      toUpstream(std::move(Request)), Remaining,
      [Id, Done = std::move(Done)](HttpError Error, HttpResponse &&Response) {
        if (Error != HttpError::None)
          return Done(failure(Id, Error));
        Done(answer(Id, std::move(Response)));
      });
}

} // namespace burdockpulley
