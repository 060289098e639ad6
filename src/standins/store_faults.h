#ifndef BURDOCKPULLEY_STANDINS_STORE_FAULTS_H
#define BURDOCKPULLEY_STANDINS_STORE_FAULTS_H

#include "burdockpulley/etcd_store.h"
#include "burdockpulley/http.h"
#include "burdockpulley/store_state.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace burdockpulley {

/// The store stand-in's answers, with faults that a test asks for over the
/// control path, and a count of the calls by path.
///
/// POST /.standin takes {"down": bool, "delayMs": n, "dropAnswers": n,
/// "dropKey": text, "expireLeases": true}; what is left out stays as it is.
/// Down answers 503 without effect. A delay comes before the effect. The
/// answers to the next n calls that change the drop key are never sent.
/// GET /.standin/counts gives the counts, without those of this path.
///
/// Thread safety: none.
class StoreFaults {
public:
  /// Precondition: \p Base outlives the object and what is under way.
  explicit StoreFaults(event_base *Base) : m_base(Base) {}

  void onRequest(HttpRequest &&Request,
                 std::shared_ptr<HttpResponder> Responder);

private:
  struct Delayed;
  HttpResponse control(const HttpRequest &Request);
  void answer(const HttpRequest &Request,
              std::shared_ptr<HttpResponder> Responder);

  event_base *m_base;
  StoreState m_state;
  std::map<std::string, std::uint64_t> m_counts;
  bool m_down = false;
  Duration m_delay{};
  std::uint64_t m_dropAnswers = 0;
  std::string m_dropKey;
  /// Kept open, so that their callers wait for an answer in vain.
  std::vector<std::shared_ptr<HttpResponder>> m_dropped;
};

} // namespace burdockpulley

#endif
