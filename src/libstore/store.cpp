#include "burdockpulley/store.h"

namespace burdockpulley {

const char *toString(StoreError Error) {
  switch (Error) {
  case StoreError::Unreachable:
    return "unreachable";
  case StoreError::Unknown:
    return "unknown";
  case StoreError::Refused:
    return "refused";
  case StoreError::BadAnswer:
    return "bad-answer";
  case StoreError::LeaseExpired:
    return "lease-expired";
  case StoreError::Unavailable:
    return "unavailable";
  case StoreError::Compacted:
    return "compacted";
  }
  return "unknown";
}

} // namespace burdockpulley
