#include "report.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>

namespace burdockpulley {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

const char *kindName(ObjectChange::Kind Kind) {
  switch (Kind) {
  case ObjectChange::Kind::Added:
    return "added";
  case ObjectChange::Kind::Removed:
    return "removed";
  case ObjectChange::Kind::Changed:
    break;
  }
  return "changed";
}

json toJson(const DeclarationFault &Fault) {
  return {{"file", Fault.m_file},       {"line", Fault.m_line},
          {"object", Fault.m_object},   {"field", Fault.m_field},
          {"problem", Fault.m_problem}, {"remedy", Fault.m_remedy}};
}

std::string changedMeanwhile(StoreSession &Session, const PublishedSet &Base) {
  SetReader::Result Result = Session.readCurrent();
  if (std::holds_alternative<StoreError>(Result))
    return "";
  const auto &Now = std::get<0>(Result);
  return "Revision " + std::to_string(Now->m_root.m_revision.value()) + " by " +
         Now->m_root.m_author + " is in force now; since revision " +
         std::to_string(Base.m_root.m_revision.value()) + " it has changed:\n" +
         toText(compareSets(Base.m_declarations, Now->m_declarations));
}

ExitCode printPublishError(const CommandLine &Line, StoreSession &Session,
                           PublishError Error, const PublishedSet &Base) {
  switch (Error) {
  case PublishError::Conflict:
    return printFailure(Line, ExitCode::Conflict,
                        "conflict: someone else published meanwhile; nothing "
                        "of yours is in force.\n" +
                            changedMeanwhile(Session, Base));
  case PublishError::Unreachable:
    return printFailure(Line, ExitCode::NoStore,
                        "the store did not take it; nothing has changed");
  case PublishError::Unsettled:
    break;
  }
  return printFailure(Line, ExitCode::Unsettled,
                      "the outcome is not known; look at `burdockpulley "
                      "history` before you publish again");
}

} // namespace

void printResult(const CommandLine &Line, const json &Object,
                 const std::string &Text) {
  std::string Output = Line.m_json ? Object.dump(2) + "\n" : Text;
  std::fputs(Output.c_str(), stdout);
}

ExitCode printFailure(const CommandLine &Line, ExitCode Code,
                      const std::string &Problem) {
  if (Line.m_json)
    printResult(
        Line, {{"exitCode", static_cast<int>(Code)}, {"problem", Problem}}, "");
  else
    std::fprintf(stderr, "%s\n", Problem.c_str());
  return Code;
}

ExitCode printFaults(const CommandLine &Line,
                     const std::vector<DeclarationFault> &Faults) {
  json List = json::array();
  for (const DeclarationFault &Fault : Faults) {
    List.push_back(toJson(Fault));
    if (!Line.m_json)
      std::fprintf(stderr, "%s\n", toString(Fault).c_str());
  }
  printResult(
      Line,
      {{"exitCode", static_cast<int>(ExitCode::Faulty)}, {"faults", List}}, "");
  return ExitCode::Faulty;
}

ExitCode printStoreError(const CommandLine &Line, StoreError Error) {
  return printFailure(Line, ExitCode::NoStore,
                      std::string("the store can not be read: ") +
                          toString(Error));
}

json toJson(const std::vector<ObjectChange> &Changes) {
  json List = json::array();
  for (const ObjectChange &Change : Changes) {
    json Fields = json::object();
    for (const FieldChange &Field : Change.m_fields)
      Fields[Field.m_field] = {
          {"before", json::parse(Field.m_before, nullptr, false)},
          {"after", json::parse(Field.m_after, nullptr, false)}};
    List.push_back({{"change", kindName(Change.m_kind)},
                    {"object", Change.m_object},
                    {"fields", Fields}});
  }
  return List;
}

std::string toText(const std::vector<ObjectChange> &Changes) {
  std::string Text;
  for (const ObjectChange &Change : Changes)
    Text += toString(Change) + "\n";
  return Text;
}

std::optional<Declarations> loadSet(const CommandLine &Line,
                                    const std::string &Path) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Declarations>> {
        BOOST_LEAF_AUTO(Sources, loadSources(Path));
        BOOST_LEAF_AUTO(Set, readDeclarations(Sources));
        return std::optional<Declarations>(std::move(Set));
      },
      [&](const DeclarationFaults &Faults) -> std::optional<Declarations> {
        printFaults(Line, Faults.m_faults);
        return std::nullopt;
      },
      []() -> std::optional<Declarations> { return std::nullopt; });
}

bool checkSet(const CommandLine &Line, const Declarations &Set) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(decodeDeclarations(encodeDeclarations(Set)));
        return true;
      },
      [&](const DeclarationFaults &Faults) {
        printFaults(Line, Faults.m_faults);
        return false;
      },
      [] { return false; });
}

ExitCode publishSet(const CommandLine &Line, StoreSession &Session,
                    const Declarations &Set, const PublishedSet &Base) {
  return printPublished(Line, Session,
                        Session.publish(Set, Base, Line.m_author), Set, Base);
}

ExitCode printPublished(const CommandLine &Line, StoreSession &Session,
                        const Publisher::Result &Result,
                        const Declarations &Set, const PublishedSet &Base) {
  if (const auto *Error = std::get_if<PublishError>(&Result))
    return printPublishError(Line, Session, *Error, Base);
  std::vector<ObjectChange> Changes = compareSets(Base.m_declarations, Set);
  std::uint64_t Number = std::get<Revision>(Result).value();
  printResult(Line, {{"revision", Number}, {"changes", toJson(Changes)}},
              toText(Changes) + "accepted as revision " +
                  std::to_string(Number) + "\n");
  return ExitCode::Good;
}

} // namespace burdockpulley
