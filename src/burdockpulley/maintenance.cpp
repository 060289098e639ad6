#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace burdockpulley {

namespace {

constexpr int MaxConflicts = 10;

/// Changes the orders of a set; false when they are already as wanted.
using Edit = std::function<bool(Declarations &)>;

bool addOrder(Declarations &Set, const Maintenance &Order) {
  bool Present = std::any_of(Set.m_maintenance.begin(), Set.m_maintenance.end(),
                             [&](const Maintenance &Row) {
                               return Row.m_upstream == Order.m_upstream &&
                                      Row.m_domain == Order.m_domain;
                             });
  if (Present)
    return false;
  Set.m_maintenance.push_back(Order);
  std::sort(Set.m_maintenance.begin(), Set.m_maintenance.end(),
            [](const Maintenance &Left, const Maintenance &Right) {
              return Left.m_name < Right.m_name;
            });
  return true;
}

bool removeOrders(Declarations &Set, const Maintenance &Target) {
  return std::erase_if(Set.m_maintenance, [&](const Maintenance &Row) {
           return Row.m_upstream == Target.m_upstream &&
                  Row.m_domain == Target.m_domain;
         }) != 0;
}

bool declared(const Maintenance &Order, const Declarations &Set) {
  return Order.m_domain.value().empty()
             ? Set.findUpstream(Order.m_upstream) != nullptr
             : Set.findDomain(Order.m_domain) != nullptr;
}

/// Publishes a small edit. It does not clash with what others publish, so a
/// conflict only means that it is made again on the newer revision.
ExitCode publishEdit(const CommandLine &Line, const Maintenance &Order,
                     const Edit &Change) {
  StoreSession Session(Line.m_platform, Line.m_storeTimeout);
  for (int Conflicts = 0; Conflicts < MaxConflicts; ++Conflicts) {
    SetReader::Result Result = Session.readCurrent();
    if (const auto *Error = std::get_if<StoreError>(&Result))
      return printStoreError(Line, *Error);
    const PublishedSet &Current = *std::get<0>(Result);
    Declarations Set = Current.m_declarations;
    if (!declared(Order, Set))
      return printFailure(Line, ExitCode::NotFound,
                          "there is no " + Order.m_name);
    std::uint64_t Number = Current.m_root.m_revision.value();
    if (!Change(Set)) {
      printResult(Line,
                  {{"revision", Number}, {"changes", nlohmann::json::array()}},
                  "already so in revision " + std::to_string(Number) + "\n");
      return ExitCode::Good;
    }
    if (!checkSet(Line, Set))
      return ExitCode::Faulty;
    Publisher::Result Outcome = Session.publish(Set, Current, Line.m_author);
    if (Outcome != Publisher::Result(PublishError::Conflict))
      return printPublished(Line, Session, Outcome, Set, Current);
  }
  return printFailure(Line, ExitCode::Conflict,
                      "others publish all the time; nothing was changed");
}

ExitCode setMaintenance(const CommandLine &Line, const Maintenance &Order,
                        bool Out) {
  return publishEdit(Line, Order, [&](Declarations &Set) {
    return Out ? addOrder(Set, Order) : removeOrders(Set, Order);
  });
}

Maintenance upstreamOrder(const CommandLine &Line) {
  return {
      "upstream-" + Line.m_arguments[0], UpstreamId(Line.m_arguments[0]), {}};
}

} // namespace

ExitCode runDrain(const CommandLine &Line) {
  return setMaintenance(Line, upstreamOrder(Line), true);
}

ExitCode runUndrain(const CommandLine &Line) {
  return setMaintenance(Line, upstreamOrder(Line), false);
}

ExitCode runDomain(const CommandLine &Line) {
  const std::string &Direction = Line.m_arguments[0];
  if (Direction != "out" && Direction != "in")
    return printFailure(Line, ExitCode::Usage, "write domain out or domain in");
  Maintenance Order{
      "domain-" + Line.m_arguments[1], {}, DomainId(Line.m_arguments[1])};
  return setMaintenance(Line, Order, Direction == "out");
}

} // namespace burdockpulley
