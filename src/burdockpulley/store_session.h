#ifndef BURDOCKPULLEY_STORE_SESSION_H
#define BURDOCKPULLEY_STORE_SESSION_H

#include "burdockpulley/configuration.h"
#include "burdockpulley/etcd_store.h"

#include <memory>
#include <string>

struct event_base;

namespace burdockpulley {

/// Calls to the platform's store that wait for their answer, for commands that
/// do one thing after the other.
///
/// Thread safety: none.
class StoreSession {
public:
  StoreSession(const Endpoint &Platform, Duration CallTimeout);

  /// The set in force; see SetReader.
  SetReader::Result readCurrent();
  SetReader::Result readRevision(Revision Number);
  SetReader::HistoryResult readHistory();
  StoreReply<StoreRange> read(const StoreQuery &Query);

  /// Publishes a set; see Publisher.
  Publisher::Result publish(const Declarations &Set, const PublishedSet &Base,
                            const std::string &Author);

private:
  struct FreeBase {
    void operator()(event_base *Base) const;
  };

  template <class Answer, class Start> Answer await(Start Begin);

  std::unique_ptr<event_base, FreeBase> m_base;
  EtcdStore m_store;
  SetReader m_reader;
  Publisher m_publisher;
};

} // namespace burdockpulley

#endif
