#include "burdockpulley/http.h"

#include <strings.h>

namespace burdockpulley {

namespace {

std::string_view findHeader(const std::vector<HttpHeader> &Headers,
                            std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (Header.m_name.size() == Name.size() &&
        strncasecmp(Header.m_name.data(), Name.data(), Name.size()) == 0)
      return Header.m_value;
  return {};
}

} // namespace

std::string_view HttpRequest::header(std::string_view Name) const {
  return findHeader(m_headers, Name);
}

std::string_view HttpResponse::header(std::string_view Name) const {
  return findHeader(m_headers, Name);
}

} // namespace burdockpulley
