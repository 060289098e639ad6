#include "upstream_pool.h"

namespace burdockpulley {

UpstreamPool::Entry &UpstreamPool::find(const Upstream &Which) {
  Entry &Row = m_entries[Which.m_name];
  bool Current = Row.m_requests && Row.m_address == Which.m_address &&
                 Row.m_slots == Which.m_slots;
  if (Current)
    return Row;
  retire(Row);
  Row.m_address = Which.m_address;
  Row.m_slots = Which.m_slots;
  Row.m_requests = std::make_unique<HttpClient>(
      m_base, Which.m_address, Which.m_slots, &m_responseMemory);
  Row.m_control = std::make_unique<HttpClient>(m_base, Which.m_address, 1,
                                               &m_responseMemory);
  return Row;
}

// Requests in flight end with their answers although the upstream has changed.
void UpstreamPool::retire(Entry &Row) {
  std::erase_if(m_retired,
                [](const auto &Client) { return Client->inFlight() == 0; });
  for (auto *Client : {&Row.m_requests, &Row.m_control})
    if (*Client)
      m_retired.push_back(std::move(*Client));
}

HttpClient &UpstreamPool::requests(const Upstream &Which) {
  return *find(Which).m_requests;
}

HttpClient &UpstreamPool::control(const Upstream &Which) {
  return *find(Which).m_control;
}

} // namespace burdockpulley
