#include "metered_store.h"

#include "burdockpulley/repeating_timer.h"

namespace burdockpulley {

template <class Answer>
StoreCallback<Answer> MeteredStore::counted(const char *Call,
                                            StoreCallback<Answer> Done) {
  return [this, Call, Done = std::move(Done)](const StoreReply<Answer> &Reply) {
    const auto *Error = std::get_if<StoreError>(&Reply);
    m_metrics.onStoreCall(Call, Error ? toString(*Error) : "answered");
    if (!Error)
      m_lastAnswer = bootClockNow();
    Done(Reply);
  };
}

void MeteredStore::read(const StoreQuery &Query,
                        StoreCallback<StoreRange> Done) {
  m_inner->read(Query, counted("read", std::move(Done)));
}

void MeteredStore::commit(const StoreTransaction &Change,
                          StoreCallback<StoreCommit> Done) {
  m_inner->commit(Change, counted("commit", std::move(Done)));
}

void MeteredStore::grantLease(Duration TimeToLive,
                              StoreCallback<StoreLease> Done) {
  m_inner->grantLease(TimeToLive, counted("grant-lease", std::move(Done)));
}

void MeteredStore::keepAlive(StoreLease Lease, StoreCallback<StoreLease> Done) {
  m_inner->keepAlive(Lease, counted("keep-alive", std::move(Done)));
}

std::optional<Duration> MeteredStore::contactAge(Instant Now) const {
  if (!m_lastAnswer)
    return std::nullopt;
  return Now - *m_lastAnswer;
}

} // namespace burdockpulley
