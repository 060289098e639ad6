#ifndef BURDOCKPULLEY_ETCD_STORE_H
#define BURDOCKPULLEY_ETCD_STORE_H

#include "burdockpulley/store.h"

#include <memory>
#include <string_view>

struct event_base;

namespace burdockpulley {

class HttpClient;

/// The platform's store over the JSON form of the etcd version 3 protocol.
///
/// Thread safety: none; it belongs to the loop's thread.
class EtcdStore : public Store {
public:
  /// Precondition: \p Base outlives the store.
  EtcdStore(event_base *Base, const Endpoint &Server, Duration CallTimeout);
  ~EtcdStore() override;

  void read(const StoreQuery &Query, StoreCallback<StoreRange> Done) override;
  void commit(const StoreTransaction &Change,
              StoreCallback<StoreCommit> Done) override;
  void grantLease(Duration TimeToLive, StoreCallback<StoreLease> Done) override;
  void keepAlive(StoreLease Lease, StoreCallback<StoreLease> Done) override;

private:
  std::unique_ptr<HttpClient> m_client;
  Duration m_callTimeout;
};

/// Answers one call of the protocol from a state; the server side for
/// stand-ins. Returns the HTTP status and puts the answer in \p Answer.
/// Thread safety: none.
class StoreState;
int answerEtcdCall(StoreState &State, std::string_view Path,
                   std::string_view Body, Instant Now, std::string &Answer);

} // namespace burdockpulley

#endif
