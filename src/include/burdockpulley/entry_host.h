#ifndef BURDOCKPULLEY_ENTRY_HOST_H
#define BURDOCKPULLEY_ENTRY_HOST_H

#include "burdockpulley/settings.h"

#include <memory>

struct event_base;

namespace burdockpulley {

/// One entry host: every role of the system on one loop and one thread.
///
/// Thread safety: none; it belongs to the loop's thread.
class EntryHost {
public:
  /// Precondition: \p Base outlives the host.
  EntryHost(event_base *Base, const HostSettings &Settings);
  ~EntryHost();

  /// Binds the addresses and starts to work. False when an address can not be
  /// had; the reason has been logged.
  bool start();

  /// Begins a graceful stop; the loop is left when nothing is in flight.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace burdockpulley

#endif
