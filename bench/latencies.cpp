#include "latencies.h"

#include <algorithm>

namespace burdockpulley::bench {

void Latencies::add(Duration Latency) {
  auto Micros = static_cast<double>(Latency.count());
  m_histogram(std::clamp(Micros, MinMicros, MaxMicros - 1));
  ++m_count;
}

double Latencies::percentileMillis(double Share) const {
  double Wanted = Share * static_cast<double>(m_count);
  double Seen = 0;
  for (auto &&Bin : boost::histogram::indexed(m_histogram)) {
    Seen += *Bin;
    if (Seen >= Wanted && Seen > 0)
      return Bin.bin().upper() / 1000;
  }
  return 0;
}

} // namespace burdockpulley::bench
