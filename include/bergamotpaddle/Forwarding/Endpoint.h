/// \file
/// Addresses as text, listening on them, and what a connection may hold.
#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace bergamotpaddle {

/// Bytes of a message that wait to be parsed. A head, the extension of a chunk
/// and trailers have to fit; without a bound they may come without end.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

/// Reads "IP:PORT"; fails on anything else.
absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aText);

/// Opens \p aAcceptor on "IP:PORT"; port 0 takes a free one. Fails if the
/// address cannot be had.
absl::Status
ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
         const std::string& aAddress);

} // namespace bergamotpaddle
