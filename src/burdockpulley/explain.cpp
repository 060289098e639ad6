#include "burdockpulley/http.h"
#include "report.h"

#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <sstream>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr Duration ExplainTimeout{2'000'000};

struct FreeBase {
  void operator()(event_base *Base) const { event_base_free(Base); }
};

std::string encoded(const std::string &Text) {
  std::unique_ptr<char, decltype(&std::free)> Encoded(
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()), 0),
      &std::free);
  return Encoded ? Encoded.get() : "";
}

std::string queryOf(const CommandLine &Line) {
  const ExplainOptions &Options = Line.m_explain;
  std::string Query = "/explain?host=" + encoded(Line.m_arguments[0]) +
                      "&path=" + encoded(Line.m_arguments[1]);
  if (Options.m_team)
    Query += "&team=" + encoded(*Options.m_team);
  if (Options.m_key)
    Query += "&key=" + std::to_string(*Options.m_key);
  if (Options.m_method)
    Query += "&method=" + encoded(*Options.m_method);
  if (Options.m_deadlineMillis)
    Query += "&deadline=" + std::to_string(*Options.m_deadlineMillis);
  return Query;
}

/// Nothing if the host does not answer.
std::optional<HttpResponse> ask(const Endpoint &Host,
                                const std::string &Target) {
  std::unique_ptr<event_base, FreeBase> Base(event_base_new());
  std::optional<HttpResponse> Answer;
  bool Done = false;
  HttpClient Client(Base.get(), Host, 1);
  Client.call({"GET", Target, {}, "", ""}, ExplainTimeout,
              [&](HttpError Error, HttpResponse &&Response) {
                Done = true;
                if (Error == HttpError::None)
                  Answer = std::move(Response);
              });
  while (!Done)
    event_base_loop(Base.get(), EVLOOP_ONCE);
  return Answer;
}

std::string word(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string routeLines(const json &Told) {
  std::ostringstream Text;
  Text << "host " << word(Told.at("host"));
  if (Told.contains("revision"))
    Text << "  configuration " << Told.at("revision");
  Text << "\n";
  if (Told.contains("route")) {
    const json &Route = Told.at("route");
    Text << "route " << word(Route.at("name")) << "  priority "
         << Route.at("priority") << "  latency goal "
         << Route.at("latencyGoalMs") << " ms  timeout "
         << Route.at("timeoutMs") << " ms\n";
    for (const json &Part : Route.at("split"))
      Text << "  to service " << word(Part.at("service")) << "  weight "
           << Part.at("weight") << "\n";
  }
  if (Told.contains("service"))
    Text << "service " << word(Told.at("service")) << "\n";
  if (Told.contains("team")) {
    const json &Team = Told.at("team");
    Text << "team " << word(Team.at("name")) << "  priority "
         << Team.at("priority");
    if (Team.value("aboveShare", false))
      Text << "  ABOVE ITS SHARE";
    const json &Quota = Team.at("quota");
    if (Quota.is_null())
      Text << "  no quota\n";
    else
      Text << "  quota " << Quota.at("ratePerS") << "/s, " << Quota.at("left")
           << " of " << Quota.at("most") << " left\n";
  }
  if (Told.contains("key"))
    Text << "key " << Told.at("key") << "  owner "
         << (Told.at("owner").is_null() ? "none" : word(Told.at("owner")))
         << "\n";
  return Text.str();
}

std::string candidateLine(const json &Candidate) {
  std::ostringstream Text;
  Text << "  " << word(Candidate.at("upstream")) << "  domain "
       << word(Candidate.at("domain")) << "  slots " << Candidate.at("slots")
       << "  in flight " << Candidate.at("inFlight") << " here, "
       << Candidate.at("inFlightElsewhere") << " elsewhere, at most "
       << Candidate.at("mostInFlight");
  const json &Report = Candidate.at("report");
  if (Report.is_null())
    Text << "  no load report";
  else
    Text << "  reported " << Report.at("running") << " running, "
         << Report.at("waiting") << " waiting, slowness "
         << Report.at("slowness") << ", " << Report.at("ageMs") << " ms ago";
  if (!Candidate.at("obstacle").is_null())
    Text << "  NOT USED: " << word(Candidate.at("obstacle"));
  if (Candidate.at("pauseMs") > 0)
    Text << ", pauses for " << Candidate.at("pauseMs") << " ms";
  return Text.str() + "\n";
}

std::string responseLine(const json &Response) {
  std::string Outcome = word(Response.at("outcome"));
  if (Outcome == "sent")
    return "sent to " + word(Response.at("upstream")) + "\n";
  if (Outcome == "forwarded")
    return "forwarded to host " + word(Response.at("host")) + "\n";
  if (Outcome != "refused")
    return Outcome + "\n";
  std::string Text = "refused: " + Response.at("status").dump() + " " +
                     word(Response.at("reason"));
  if (Response.contains("retryAfterMs"))
    Text += ", retry after " + Response.at("retryAfterMs").dump() + " ms";
  return Text + "\n";
}

std::string textOf(const json &Told) {
  std::string Text = routeLines(Told);
  if (Told.contains("candidates")) {
    Text += Told.at("candidates").empty() ? "no candidates\n" : "candidates\n";
    for (const json &Candidate : Told.at("candidates"))
      Text += candidateLine(Candidate);
  }
  if (Told.contains("queue")) {
    const json &Queue = Told.at("queue");
    Text += "queue: " + Queue.at("ahead").dump() + " ahead here, " +
            Queue.at("aheadElsewhere").dump() + " elsewhere, expected wait " +
            Queue.at("expectedWaitMs").dump() + " ms" +
            (Queue.value("heldForUrgent", false) ? ", held for urgent requests"
                                                 : "") +
            "\n";
  }
  return Text + responseLine(Told.at("response"));
}

ExitCode codeOf(int Status) {
  if (Status == 400)
    return ExitCode::Usage;
  return Status == 404 ? ExitCode::NotFound : ExitCode::Good;
}

} // namespace

ExitCode runExplain(const CommandLine &Line) {
  const std::string &Address = Line.m_explain.m_host;
  Endpoint Host;
  if (!parseEndpoint(Address, Host))
    return printFailure(Line, ExitCode::Usage,
                        "--host is " + (Address.empty() ? "missing" : Address) +
                            "; write IP-ADDRESS:PORT");
  auto Answer = ask(Host, queryOf(Line));
  if (!Answer)
    return printFailure(Line, ExitCode::NoStore,
                        "host " + Address + " was not reached");
  json Told = json::parse(Answer->m_body, nullptr, false);
  ExitCode Code = codeOf(Answer->m_status);
  if (Told.is_object() && Told.contains("error"))
    return printFailure(Line, Code, word(Told["error"]));
  try {
    printResult(Line, Told, textOf(Told));
    return Code;
  } catch (const json::exception &) {
    return printFailure(Line, ExitCode::NoStore,
                        "host " + Address +
                            " does not explain requests; is --host its metrics "
                            "address, and is its version new enough?");
  }
}

} // namespace burdockpulley
