/// \file
/// Incremental parser of the data in a stream of server-sent events.
#pragma once

#include <functional>
#include <string>

namespace bergamotpaddle {

/// Calls its hook with the value of each complete `data:` line; other lines are
/// ignored.
class SseParser
{
public:
  using DataHook = std::function<void(const std::string&)>;

  explicit SseParser(DataHook aHook);

  /// Parses more bytes. Returns false if an unfinished line exceeds 4 MiB: the
  /// stream is no longer usable, and further bytes are dropped.
  bool Feed(const std::string& aBytes);

private:
  void ParseLine(const std::string& aLine);

  DataHook m_hook;
  std::string m_buffer; ///< Bytes after the last complete line.
  bool m_hasOverflowed = false;
};

} // namespace bergamotpaddle
