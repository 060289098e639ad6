#include "timeline.h"

#include "burdockpulley/testkit.h"

#include <algorithm>
#include <fstream>

namespace burdockpulley::bench {

namespace {

constexpr Duration Step{100'000};
constexpr const char *Gnuplot = "/usr/bin/gnuplot";

struct Moment {
  int m_answered = 0;
  int m_failed = 0;
  Duration m_slowest{};
};

std::map<std::int64_t, Moment> moments(const LoadResult &Result) {
  std::map<std::int64_t, Moment> Rows;
  for (const Sample &Each : Result.m_samples) {
    Moment &Row = Rows[Each.m_scheduled / Step];
    bool Answered = Each.m_outcome == "answered";
    ++(Answered ? Row.m_answered : Row.m_failed);
    Row.m_slowest = std::max(Row.m_slowest, Each.m_latency);
  }
  return Rows;
}

void writeScript(const std::string &Prefix, const std::string &Title) {
  std::ofstream(Prefix + ".gnuplot")
      << "set terminal svg size 900,420\n"
      << "set output '" << Prefix << ".svg'\n"
      << "set title \"" << Title << "\" noenhanced\n"
      << "set xlabel 'seconds'\nset ylabel 'requests in 100 ms'\n"
      << "set y2label 'slowest, ms'\nset y2tics\nset ytics nomirror\n"
      << "set logscale y2\nset key outside bottom center horizontal\n"
      << "plot '" << Prefix << ".dat' using 1:2 with lines title 'answered', "
      << "'' using 1:3 with boxes title 'not answered', "
      << "'' using 1:4 axes x1y2 with points pt 7 ps 0.3 title 'slowest'\n";
}

} // namespace

bool plotTimeline(const std::string &Prefix, const std::string &Title,
                  const LoadResult &Result) {
  {
    std::ofstream Data(Prefix + ".dat");
    for (const auto &[Number, Row] : moments(Result))
      Data << double(Number * Step.count()) / 1e6 << " " << Row.m_answered
           << " " << Row.m_failed << " " << double(Row.m_slowest.count()) / 1000
           << "\n";
  }
  writeScript(Prefix, Title);
  return ChildProcess(Gnuplot, {Prefix + ".gnuplot"}, Prefix + ".log").wait() ==
         0;
}

} // namespace burdockpulley::bench
