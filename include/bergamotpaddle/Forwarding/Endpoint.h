/// \file
/// Addresses as text, and listening on them.
#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace bergamotpaddle {

/// Reads "IP:PORT"; fails on anything else.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aText);

/// Opens \p aAcceptor on "IP:PORT"; port 0 takes a free one. Fails if the
/// address cannot be had.
absl::Status
ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
         const std::string& aAddress);

} // namespace bergamotpaddle
