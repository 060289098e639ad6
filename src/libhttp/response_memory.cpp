#include "burdockpulley/response_memory.h"

#include <algorithm>

namespace burdockpulley {

void ResponseMemory::update(Response &Changed, std::size_t Bytes) {
  std::size_t &Known = m_bytes[&Changed];
  m_charge.resize(m_charge.bytes() + Bytes - Known);
  Known = Bytes;
  if (Bytes == 0)
    m_bytes.erase(&Changed);
  if (m_charge.bytes() <= m_maxBytes)
    return;
  auto Largest = std::max_element(m_bytes.begin(), m_bytes.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.second < Right.second;
                                  });
  Response &GivenUp = *Largest->first;
  m_charge.resize(m_charge.bytes() - Largest->second);
  m_bytes.erase(Largest);
  GivenUp.onMemoryLimit();
}

} // namespace burdockpulley
