#ifndef BURDOCKPULLEY_LIBHOST_ROUTER_H
#define BURDOCKPULLEY_LIBHOST_ROUTER_H

#include "burdockpulley/declarations.h"
#include "burdockpulley/http.h"

#include <string>
#include <variant>

namespace burdockpulley {

/// Why a request has no route.
enum class RouteError { NoCredentials, NoRoute, NoKey, BodyTooLarge };

/// Which service a request is for, and whose it is.
struct RouteMatch {
  const Team *m_team = nullptr;
  const Service *m_service = nullptr;
  std::string m_key; ///< Empty for a service without keys.
  bool m_idempotent = false;
};

/// Finds the service of a request by the caller's credentials and the path.
/// A team only ever reaches its own services.
/// Thread safety: safe while nobody writes the declarations.
std::variant<RouteMatch, RouteError> findRoute(const Declarations &Declared,
                                               const HttpRequest &Request);

} // namespace burdockpulley

#endif
