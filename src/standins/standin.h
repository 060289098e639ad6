#ifndef BURDOCKPULLEY_STANDINS_STANDIN_H
#define BURDOCKPULLEY_STANDINS_STANDIN_H

#include "burdockpulley/types.h"

#include <cstdio>
#include <fstream>
#include <string>

namespace burdockpulley {

inline Instant standinNow() {
  auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(SinceBoot));
}

/// Writes the bound port where the starter of the process looks for it.
inline void writePortFile(const std::string &Path, std::uint16_t Port) {
  if (Path.empty())
    return;
  std::string Draft = Path + ".draft";
  std::ofstream(Draft) << Port << "\n";
  std::rename(Draft.c_str(), Path.c_str());
}

} // namespace burdockpulley

#endif
