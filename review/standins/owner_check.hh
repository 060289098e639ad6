// The rule OWNER, as written, on the logs of the backend stand-ins.
#ifndef REVIEW_OWNER_CHECK_HH
#define REVIEW_OWNER_CHECK_HH

#include "kit.hh"

#include <set>

namespace review {

/// What breaks the rule OWNER, a line each; the first ones only.
///
/// 1. Two backends that are up hold the same keys at the same time, and both
///    begin requests on such keys in that time.
/// 2. A backend takes a key with a token that isn't above all with which other
///    backends had it.
/// 3. Two backends that are up hold the same keys for over half a second.
inline std::vector<std::string>
findOwnerBreaks(const Deployment &System,
                const std::vector<BackendEvent> &Events, const Record &Log) {
  constexpr std::int64_t HalfSecond = 500'000;
  struct Hold {
    std::string m_backend;
    std::uint64_t m_token;
    std::int64_t m_from;
    std::int64_t m_until;
  };
  std::set<unsigned> Cuts;
  for (const BackendEvent &Event : Events)
    if (Event.m_kind == "hold" || Event.m_kind == "release") {
      Cuts.insert(Event.m_first);
      Cuts.insert(Event.m_last + 1);
    }
  std::vector<std::string> Breaks;
  auto Report = [&](const std::string &Text) {
    if (Breaks.size() < 20)
      Breaks.push_back(Text);
  };
  for (auto Cut = Cuts.begin(); Cut != Cuts.end(); ++Cut) {
    auto Next = std::next(Cut);
    if (Next == Cuts.end())
      break;
    unsigned First = *Cut;
    unsigned Last = *Next - 1;
    // By backend: the spans in which it held the keys.
    std::map<std::string, std::vector<Hold>> Spans;
    std::map<std::string, std::uint64_t> Highest;
    std::string Where =
        "keys " + std::to_string(First) + " to " + std::to_string(Last);
    for (const BackendEvent &Event : Events) {
      if (First < Event.m_first || First > Event.m_last)
        continue;
      auto &Own = Spans[Event.m_backend];
      if (Event.m_kind == "release") {
        if (!Own.empty())
          Own.back().m_until = std::min(Own.back().m_until, Event.m_at);
        continue;
      }
      if (Event.m_kind != "hold" || Event.m_until <= Event.m_at)
        continue;
      bool Renews = !Own.empty() && Own.back().m_until >= Event.m_at &&
                    Own.back().m_token == Event.m_token;
      if (!Renews)
        for (const auto &[Other, Token] : Highest)
          if (Other != Event.m_backend && Token >= Event.m_token)
            Report("OWNER (token): " + Where + ": " + Event.m_backend +
                   " took them with token " + std::to_string(Event.m_token) +
                   " at " + std::to_string(Log.seconds(Event.m_at)) + " s; " +
                   Other + " had had them with token " + std::to_string(Token));
      Highest[Event.m_backend] =
          std::max(Highest[Event.m_backend], Event.m_token);
      if (!Own.empty() && Own.back().m_until >= Event.m_at) {
        Own.back().m_until = std::max(Own.back().m_until, Event.m_until);
        Own.back().m_token = Event.m_token;
      } else {
        Own.push_back(
            {Event.m_backend, Event.m_token, Event.m_at, Event.m_until});
      }
    }
    // The end of a process ends what it holds.
    for (auto &[Id, Own] : Spans)
      for (Hold &Each : Own)
        for (std::int64_t End : System.m_backends.at(Id).m_ends)
          if (End >= Each.m_from)
            Each.m_until = std::min(Each.m_until, End);
    for (const auto &[Left, LeftSpans] : Spans)
      for (const auto &[Right, RightSpans] : Spans) {
        if (!(Left < Right))
          continue;
        for (const Hold &One : LeftSpans)
          for (const Hold &Other : RightSpans) {
            std::int64_t From = std::max(One.m_from, Other.m_from);
            std::int64_t Until = std::min(One.m_until, Other.m_until);
            if (Until <= From)
              continue;
            bool LeftRuns = false;
            bool RightRuns = false;
            for (const BackendEvent &Event : Events)
              if (Event.m_kind == "run" && Event.m_first >= First &&
                  Event.m_first <= Last && Event.m_at >= From &&
                  Event.m_at <= Until) {
                LeftRuns |= Event.m_backend == Left;
                RightRuns |= Event.m_backend == Right;
              }
            std::string Both = Where + ": " + Left + " and " + Right +
                               " held them from " +
                               std::to_string(Log.seconds(From)) + " to " +
                               std::to_string(Log.seconds(Until)) + " s";
            if (LeftRuns && RightRuns)
              Report("OWNER (both begin requests): " + Both);
            if (Until - From > HalfSecond)
              Report("OWNER (over half a second): " + Both);
          }
      }
  }
  return Breaks;
}

} // namespace review

#endif
