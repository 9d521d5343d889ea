/// \file
/// Checks of response heads that Beast's parser leaves to its caller.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace bergamotpaddle {

/// First status of a final response; lower ones are interim.
constexpr unsigned kFirstFinalStatus = 200;

/// Returns the error of \p aHead if it is invalid although the parser accepts
/// its syntax: `bad_status` for a status outside 100 to 599 or a switch of
/// protocols, `bad_transfer_encoding` for a coding other than "chunked".
boost::system::error_code
CheckResponseHead(const boost::beast::http::response_header<>& aHead);

} // namespace bergamotpaddle
