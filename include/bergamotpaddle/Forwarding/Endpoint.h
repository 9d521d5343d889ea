/// \file
/// Parses IP:PORT addresses and opens listening sockets; bounds the read buffer
/// of a connection.
#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace bergamotpaddle {

/// Largest read buffer of a connection, in bytes. A message head, chunk
/// extensions and trailers have to fit; without a bound a sender could make
/// them arbitrarily long.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

/// Parses \p aText as "IP:PORT". Returns `InvalidArgument` for anything else.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aText);

/// Like ParseEndpoint, but also rejects endpoints to which no connection can be
/// opened: port 0, and addresses that are unspecified, multicast or broadcast.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseRemoteEndpoint(const std::string& aText);

/// Opens \p aAcceptor on \p aAddress, an "IP:PORT"; port 0 selects a free port.
/// Returns `Unavailable` if the address cannot be bound.
absl::Status
ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
         const std::string& aAddress);

} // namespace bergamotpaddle
