#ifndef BURDOCKPULLEY_STANDINS_STANDIN_H
#define BURDOCKPULLEY_STANDINS_STANDIN_H

#include "burdockpulley/clock.h"

#include <cstdio>
#include <fstream>
#include <initializer_list>
#include <string>

namespace burdockpulley {

/// Writes the bound ports where the starter of the process looks for them.
inline void writePortFile(const std::string &Path,
                          std::initializer_list<std::uint16_t> Ports) {
  if (Path.empty())
    return;
  std::string Draft = Path + ".draft";
  std::ofstream Output(Draft);
  for (std::uint16_t Port : Ports)
    Output << Port << "\n";
  Output.close();
  std::rename(Draft.c_str(), Path.c_str());
}

} // namespace burdockpulley

#endif
