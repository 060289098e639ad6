#ifndef BURDOCKPULLEY_LIBHOST_ERROR_ANSWER_H
#define BURDOCKPULLEY_LIBHOST_ERROR_ANSWER_H

#include "burdockpulley/http.h"

#include <string>

namespace burdockpulley {

/// How a request ended.
enum class Outcome {
  Answered, ///< The upstream's whole answer is here.
  NotRun,   ///< No upstream has run it, and none will.
  Unknown,  ///< An upstream may have run it.
};

/// Name of an outcome as callers see it. Thread safety: safe.
const char *toString(Outcome Value);

/// The JSON answer for a request that has no upstream's answer. It says
/// whether the request ran and whether it may be sent again.
/// Thread safety: safe.
HttpResponse errorAnswer(int Status, Outcome Value, const std::string &Code,
                         const std::string &RequestId,
                         Duration RetryAfter = Duration());

} // namespace burdockpulley

#endif
