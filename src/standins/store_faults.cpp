#include "store_faults.h"

#include "standin.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr std::string_view ControlPath = "/.standin";

} // namespace

struct StoreFaults::Delayed {
  StoreFaults &m_owner;
  HttpRequest m_request;
  std::shared_ptr<HttpResponder> m_responder;

  static void run(int, short, void *Argument) {
    std::unique_ptr<Delayed> Call(static_cast<Delayed *>(Argument));
    Call->m_owner.answer(Call->m_request, std::move(Call->m_responder));
  }
};

void StoreFaults::onRequest(HttpRequest &&Request,
                            std::shared_ptr<HttpResponder> Responder) {
  if (Request.m_target.starts_with(ControlPath))
    return Responder->send(control(Request));
  ++m_counts[Request.m_target];
  if (m_down)
    return Responder->send({503, {}, R"({"error":"unavailable"})"});
  if (m_delay == Duration())
    return answer(Request, std::move(Responder));
  timeval Time{m_delay.count() / 1'000'000, m_delay.count() % 1'000'000};
  event_base_once(m_base, -1, EV_TIMEOUT, Delayed::run,
                  new Delayed{*this, std::move(Request), std::move(Responder)},
                  &Time);
}

void StoreFaults::answer(const HttpRequest &Request,
                         std::shared_ptr<HttpResponder> Responder) {
  auto DropKeyVersion = [this] {
    StoreRange Range = m_state.read({m_dropKey, false, {}});
    return Range.m_entries.empty() ? StoreVersion()
                                   : Range.m_entries.front().m_modified;
  };
  StoreVersion Before = DropKeyVersion();
  HttpResponse Response;
  Response.m_status = answerEtcdCall(m_state, Request.m_target, Request.m_body,
                                     bootClockNow(), Response.m_body);
  if (m_dropAnswers > 0 && DropKeyVersion() != Before) {
    --m_dropAnswers;
    m_dropped.push_back(std::move(Responder));
    return;
  }
  Responder->send(Response);
}

HttpResponse StoreFaults::control(const HttpRequest &Request) {
  if (Request.m_method == "GET")
    return {200, {}, json(m_counts).dump()};
  json Order = json::parse(Request.m_body, nullptr, false);
  if (!Order.is_object())
    return {400, {}, "not a JSON object\n"};
  m_down = Order.value("down", m_down);
  m_delay =
      std::chrono::milliseconds(Order.value("delayMs", m_delay.count() / 1000));
  m_dropAnswers = Order.value("dropAnswers", m_dropAnswers);
  m_dropKey = Order.value("dropKey", m_dropKey);
  if (Order.value("expireLeases", false))
    m_state.expire(Instant::max());
  return {200, {}, "{}"};
}

} // namespace burdockpulley
