#ifndef BURDOCKPULLEY_LIBHOST_STORE_FOLLOWER_H
#define BURDOCKPULLEY_LIBHOST_STORE_FOLLOWER_H

#include "burdockpulley/repeating_timer.h"
#include "host_state.h"

#include <functional>

namespace burdockpulley {

/// Follows what stands in the store: reads what has changed since the last
/// read, again and again, and takes newer configurations and owners over.
///
/// Thread safety: none; it belongs to the loop's thread.
class StoreFollower {
public:
  /// \p Changed runs after each read that brought something, \p Contact with
  /// the time before the send of each read that was answered.
  StoreFollower(event_base *Base, Store &Source, HostState &State,
                std::function<void()> Changed,
                std::function<void(Instant Began)> Contact);

  /// Reads at once, unless a read is under way.
  void poll();

private:
  void onRange(const StoreRange &Range);
  void onRoot(const StoreEntry &Entry);

  Store &m_store;
  SetReader m_reader;
  HostState &m_state;
  std::function<void()> m_changed;
  std::function<void(Instant)> m_contact;
  StoreVersion m_seen;
  bool m_reading = false;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
