#include "bergamotpaddle/Forwarding/ResponseHead.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <iterator>

namespace bergamotpaddle {

namespace http = boost::beast::http;

namespace {

// The range of valid statuses: RFC 9110, section 15.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

/// Whether \p aHead has no transfer coding, or only "chunked", which every
/// client decodes. An upstream may use another one only if the request's TE
/// field offers it, which routers do not forward.
bool
HasKnownCoding(const http::response_header<>& aHead)
{
  const auto codings = aHead.equal_range(http::field::transfer_encoding);
  return codings.first == codings.second ||
         (std::next(codings.first) == codings.second &&
          boost::beast::iequals(codings.first->value(), "chunked"));
}

} // namespace

boost::system::error_code
CheckResponseHead(const http::response_header<>& aHead)
{
  const unsigned status = aHead.result_int();
  // The bytes after a switch of protocols are not HTTP. No request of a router
  // asks for one: `Upgrade` is hop-by-hop.
  if (status < kMinStatus || status > kMaxStatus ||
      status == kSwitchingProtocols) {
    return http::error::bad_status;
  }
  if (!HasKnownCoding(aHead)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

} // namespace bergamotpaddle
