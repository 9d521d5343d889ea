/// \file
/// Cuts a stream of server-sent events into the data of each event.
#pragma once

#include <functional>
#include <string>

namespace bergamotpaddle {

/// Takes bytes as they come and hands on each whole `data:` field.
class SseParser
{
public:
  using DataHook = std::function<void(const std::string&)>;

  explicit SseParser(DataHook aHook);

  /// Takes more bytes; a line longer than the bound ends the stream's use.
  void Feed(const std::string& aBytes);

private:
  void TakeLine(const std::string& aLine);

  DataHook m_hook;
  std::string m_partial;
};

} // namespace bergamotpaddle
