/// \file
/// A message body of Beast whose memory grows with the bytes that arrive.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <new>
#include <stdexcept>
#include <string>

namespace bergamotpaddle {

/// Reads a body into a string. Unlike `http::string_body`, it reserves no
/// memory for the length that the remote endpoint announces, and reports a lack
/// of memory as an error instead of an exception, which would leave the handler
/// of a read and so the event loop.
struct IncrementalBody
{
  // Beast requires these names. NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  static std::uint64_t size(const value_type& aBody) { return aBody.size(); }

  class reader
  {
  public:
    template<bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*aHeader*/,
           value_type& aBody)
      : m_body(&aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& /*aLength*/,
              boost::system::error_code& aError)
    {
      aError = {};
    }

    template<class ConstBuffers>
    std::size_t put(const ConstBuffers& aBuffers,
                    boost::system::error_code& aError)
    {
      std::size_t count = 0;
      try {
        for (const boost::asio::const_buffer buffer :
             boost::beast::buffers_range_ref(aBuffers)) {
          m_body->append(static_cast<const char*>(buffer.data()),
                         buffer.size());
          count += buffer.size();
        }
        aError = {};
      } catch (const std::bad_alloc&) {
        aError = make_error_code(boost::system::errc::not_enough_memory);
      } catch (const std::length_error&) {
        aError = make_error_code(boost::system::errc::not_enough_memory);
      }
      return count;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    value_type* m_body;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace bergamotpaddle
