#include "store_session.h"

#include <event2/event.h>

#include <optional>

namespace burdockpulley {

namespace {

Publisher::Delay delayOn(event_base *Base) {
  return [Base](Duration Pause, std::function<void()> Then) {
    auto Run = [](int, short, void *Argument) {
      std::unique_ptr<std::function<void()>> Call(
          static_cast<std::function<void()> *>(Argument));
      (*Call)();
    };
    timeval Time{Pause.count() / 1'000'000, Pause.count() % 1'000'000};
    event_base_once(Base, -1, EV_TIMEOUT, Run,
                    new std::function<void()>(std::move(Then)), &Time);
  };
}

} // namespace

void StoreSession::FreeBase::operator()(event_base *Base) const {
  event_base_free(Base);
}

StoreSession::StoreSession(const Endpoint &Platform, Duration CallTimeout)
    : m_base(event_base_new()), m_store(m_base.get(), Platform, CallTimeout),
      m_reader(m_store), m_publisher(m_store, delayOn(m_base.get())) {}

template <class Answer, class Start> Answer StoreSession::await(Start Begin) {
  std::optional<Answer> Received;
  Begin([&](const Answer &Result) { Received = Result; });
  while (!Received)
    event_base_loop(m_base.get(), EVLOOP_ONCE);
  return std::move(*Received);
}

SetReader::Result StoreSession::readCurrent() {
  return await<SetReader::Result>(
      [&](auto Done) { m_reader.readCurrent(Done); });
}

SetReader::Result StoreSession::readRevision(Revision Number) {
  return await<SetReader::Result>(
      [&](auto Done) { m_reader.readRevision(Number, Done); });
}

SetReader::HistoryResult StoreSession::readHistory() {
  return await<SetReader::HistoryResult>(
      [&](auto Done) { m_reader.readHistory(Done); });
}

StoreReply<StoreRange> StoreSession::read(const StoreQuery &Query) {
  return await<StoreReply<StoreRange>>(
      [&](auto Done) { m_store.read(Query, Done); });
}

Publisher::Result StoreSession::publish(const Declarations &Set,
                                        const PublishedSet &Base,
                                        const std::string &Author) {
  return await<Publisher::Result>(
      [&](auto Done) { m_publisher.publish(Set, Base, Author, Done); });
}

} // namespace burdockpulley
