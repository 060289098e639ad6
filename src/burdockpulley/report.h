#ifndef BURDOCKPULLEY_REPORT_H
#define BURDOCKPULLEY_REPORT_H

#include "burdockpulley/difference.h"
#include "command.h"
#include "store_session.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace burdockpulley {

/// Prints a result on standard output: \p Object with --output json, else
/// \p Text.
void printResult(const CommandLine &Line, const nlohmann::json &Object,
                 const std::string &Text);

/// Prints why a command has failed, as JSON on standard output or as text on
/// standard error, and returns \p Code.
ExitCode printFailure(const CommandLine &Line, ExitCode Code,
                      const std::string &Problem);

/// Prints faults of declarations.
ExitCode printFaults(const CommandLine &Line,
                     const std::vector<DeclarationFault> &Faults);

/// Prints that the store can not be read.
ExitCode printStoreError(const CommandLine &Line, StoreError Error);

nlohmann::json toJson(const std::vector<ObjectChange> &Changes);
std::string toText(const std::vector<ObjectChange> &Changes);

/// Reads and checks the declarations of a path. Prints the faults and gives
/// nothing when there are any.
std::optional<Declarations> loadSet(const CommandLine &Line,
                                    const std::string &Path);

/// Checks a set that was put together from parts. Prints the faults; false
/// when there are any.
bool checkSet(const CommandLine &Line, const Declarations &Set);

/// Publishes a set over \p Base and prints what has come of it.
ExitCode publishSet(const CommandLine &Line, StoreSession &Session,
                    const Declarations &Set, const PublishedSet &Base);

/// Prints what has come of publishing \p Set over \p Base.
ExitCode printPublished(const CommandLine &Line, StoreSession &Session,
                        const Publisher::Result &Result,
                        const Declarations &Set, const PublishedSet &Base);

} // namespace burdockpulley

#endif
