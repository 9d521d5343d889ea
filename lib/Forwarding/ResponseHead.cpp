#include "bergamotpaddle/Forwarding/ResponseHead.h"

#include <boost/beast/http/error.hpp>

namespace bergamotpaddle {

namespace http = boost::beast::http;

namespace {

// The range of valid statuses: RFC 9110, section 15.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

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
  return {};
}

} // namespace bergamotpaddle
