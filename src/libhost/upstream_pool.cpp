#include "upstream_pool.h"

namespace burdockpulley {

UpstreamPool::Entry &UpstreamPool::find(const Upstream &Which) {
  Entry &Row = m_entries[Which.m_name];
  bool Current = Row.m_requests && Row.m_address == Which.m_address &&
                 Row.m_slots == Which.m_slots;
  if (Current)
    return Row;
  Row.m_address = Which.m_address;
  Row.m_slots = Which.m_slots;
  Row.m_requests =
      std::make_unique<HttpClient>(m_base, Which.m_address, Which.m_slots);
  Row.m_control = std::make_unique<HttpClient>(m_base, Which.m_address, 1);
  return Row;
}

HttpClient &UpstreamPool::requests(const Upstream &Which) {
  return *find(Which).m_requests;
}

HttpClient &UpstreamPool::control(const Upstream &Which) {
  return *find(Which).m_control;
}

} // namespace burdockpulley
