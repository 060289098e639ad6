#include "report.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

namespace {

/// Reads the files and merges the maintenance orders in force into them.
/// Nothing when that set is faulty or refused; the faults are printed.
std::optional<Declarations> prepare(const CommandLine &Line,
                                    const PublishedSet &Base) {
  std::optional<Declarations> Set = loadSet(Line, Line.m_arguments[0]);
  if (!Set)
    return std::nullopt;
  keepMaintenance(Base.m_declarations, *Set);
  if (!checkSet(Line, *Set))
    return std::nullopt;
  auto Faults = checkTransition(Base.m_declarations, *Set);
  if (!Faults.empty() && !Line.m_force) {
    printFaults(Line, Faults);
    return std::nullopt;
  }
  return Set;
}

ExitCode baseConflict(const CommandLine &Line, StoreSession &Session,
                      const PublishedSet &Current) {
  std::string Problem =
      "conflict: revision " +
      std::to_string(Current.m_root.m_revision.value()) + " by " +
      Current.m_root.m_author + " is in force, not " +
      std::to_string(Line.m_base->value()) + "; nothing of yours is in force.";
  SetReader::Result Old = Session.readRevision(*Line.m_base);
  if (std::holds_alternative<StoreError>(Old) || !std::get<0>(Old))
    return printFailure(Line, ExitCode::Conflict, Problem);
  auto Changes =
      compareSets(std::get<0>(Old)->m_declarations, Current.m_declarations);
  return printFailure(Line, ExitCode::Conflict,
                      Problem + "\nIt has changed since:\n" + toText(Changes));
}

} // namespace

ExitCode runDiff(const CommandLine &Line) {
  StoreSession Session(Line.m_platform, Line.m_storeTimeout);
  SetReader::Result Result = Session.readCurrent();
  if (const auto *Error = std::get_if<StoreError>(&Result))
    return printStoreError(Line, *Error);
  const PublishedSet &Current = *std::get<0>(Result);
  std::optional<Declarations> Set = prepare(Line, Current);
  if (!Set)
    return ExitCode::Faulty;
  auto Changes = compareSets(Current.m_declarations, *Set);
  std::uint64_t Number = Current.m_root.m_revision.value();
  printResult(Line, {{"revision", Number}, {"changes", toJson(Changes)}},
              toText(Changes) + std::to_string(Changes.size()) +
                  " changes against revision " + std::to_string(Number) + "\n");
  return Changes.empty() ? ExitCode::Good : ExitCode::Different;
}

ExitCode runPublish(const CommandLine &Line) {
  StoreSession Session(Line.m_platform, Line.m_storeTimeout);
  SetReader::Result Result = Session.readCurrent();
  if (const auto *Error = std::get_if<StoreError>(&Result))
    return printStoreError(Line, *Error);
  const PublishedSet &Current = *std::get<0>(Result);
  if (Line.m_base && *Line.m_base != Current.m_root.m_revision)
    return baseConflict(Line, Session, Current);
  std::optional<Declarations> Set = prepare(Line, Current);
  if (!Set)
    return ExitCode::Faulty;
  return publishSet(Line, Session, *Set, Current);
}

} // namespace burdockpulley
