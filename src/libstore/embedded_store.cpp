#include "burdockpulley/embedded_store.h"

#include <event2/event.h>

namespace burdockpulley {

EmbeddedStore::EmbeddedStore(event_base *Base, Clock Now)
    : m_base(Base), m_now(std::move(Now)) {}

void EmbeddedStore::later(std::function<void()> Call) {
  struct Pending {
    std::weak_ptr<StoreState> m_store;
    std::function<void()> m_call;
  };
  auto Run = [](int, short, void *Argument) {
    std::unique_ptr<Pending> Due(static_cast<Pending *>(Argument));
    if (!Due->m_store.expired())
      Due->m_call();
  };
  timeval AtOnce{};
  event_base_once(m_base, -1, EV_TIMEOUT, Run,
                  new Pending{m_state, std::move(Call)}, &AtOnce);
}

void EmbeddedStore::read(const StoreQuery &Query,
                         StoreCallback<StoreRange> Done) {
  m_state->expire(m_now());
  later(
      [Range = m_state->read(Query), Done = std::move(Done)] { Done(Range); });
}

void EmbeddedStore::commit(const StoreTransaction &Change,
                           StoreCallback<StoreCommit> Done) {
  m_state->expire(m_now());
  later([Commit = m_state->commit(Change), Done = std::move(Done)] {
    Done(Commit);
  });
}

void EmbeddedStore::grantLease(Duration TimeToLive,
                               StoreCallback<StoreLease> Done) {
  later([Lease = m_state->grantLease(TimeToLive, m_now()),
         Done = std::move(Done)] { Done(Lease); });
}

void EmbeddedStore::keepAlive(StoreLease Lease,
                              StoreCallback<StoreLease> Done) {
  bool Alive = m_state->keepAlive(Lease, m_now());
  later([Alive, Lease, Done = std::move(Done)] {
    if (Alive)
      Done(Lease);
    else
      Done(StoreError::LeaseExpired);
  });
}

} // namespace burdockpulley
