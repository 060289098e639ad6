#ifndef BURDOCKPULLEY_LIBHOST_REQUEST_OBSERVER_H
#define BURDOCKPULLEY_LIBHOST_REQUEST_OBSERVER_H

#include "burdockpulley/types.h"

#include <string_view>

namespace burdockpulley {

/// Is told of every request that has had its final answer.
/// Thread safety: none; it belongs to the loop's thread.
class RequestObserver {
public:
  virtual ~RequestObserver() = default;

  /// \p Outcome is the word that the caller was told.
  virtual void onRequestEnded(const ServiceId &Service,
                              std::string_view Outcome, Duration Time) = 0;
};

} // namespace burdockpulley

#endif
