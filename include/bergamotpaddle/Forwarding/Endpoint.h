/// \file
/// Addresses as text.
#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace bergamotpaddle {

/// Reads "IP:PORT"; fails on anything else.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aText);

} // namespace bergamotpaddle
