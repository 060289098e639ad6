#include "burdockpulley/http.h"

#include "message_syntax.h"

#include <strings.h>

#include <algorithm>

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

bool isTargetByte(char Byte) {
  auto Code = static_cast<unsigned char>(Byte);
  return Code > 0x20 && Code < 0x7f;
}

bool isNumber(std::string_view Text) {
  constexpr std::size_t MaxDigits = 18;
  return !Text.empty() && Text.size() <= MaxDigits &&
         Text.find_first_not_of("0123456789") == Text.npos;
}

bool hasLegalBytes(const HttpHeader &Header) {
  return !Header.m_name.empty() &&
         std::all_of(Header.m_name.begin(), Header.m_name.end(),
                     detail::isTokenByte) &&
         std::all_of(Header.m_value.begin(), Header.m_value.end(),
                     detail::isValueByte);
}

/// Returns true if evhttp reads a body after a request of this method.
bool mayHaveBody(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

bool hasName(const HttpHeader &Header, const char *Name) {
  return strcasecmp(Header.m_name.c_str(), Name) == 0;
}

} // namespace

bool wellFormed(const HttpRequest &Request) {
  std::size_t ContentLengths = 0;
  std::size_t TransferEncodings = 0;
  bool BodyEmpty = true;
  for (const HttpHeader &Header : Request.m_headers) {
    if (!hasLegalBytes(Header))
      return false;
    if (hasName(Header, "Content-Length")) {
      ++ContentLengths;
      if (!isNumber(Header.m_value))
        return false;
      BodyEmpty = Header.m_value.find_first_not_of('0') == std::string::npos;
    }
    if (hasName(Header, "Transfer-Encoding")) {
      ++TransferEncodings;
      BodyEmpty = false;
      if (strcasecmp(Header.m_value.c_str(), "chunked") != 0)
        return false;
    }
  }
  if (ContentLengths + TransferEncodings > 1 ||
      (!BodyEmpty && !mayHaveBody(Request.m_method)))
    return false;
  return !Request.m_target.empty() &&
         std::all_of(Request.m_target.begin(), Request.m_target.end(),
                     isTargetByte);
}

std::string_view HttpRequest::header(std::string_view Name) const {
  return findHeader(m_headers, Name);
}

std::string_view HttpResponse::header(std::string_view Name) const {
  return findHeader(m_headers, Name);
}

} // namespace burdockpulley
