#include "bergamotpaddle/Support/HostTime.h"

#include <chrono>
#include <fstream>

namespace bergamotpaddle {

namespace {

std::string
ReadBootId()
{
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

template<typename Clock>
std::int64_t
Milliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

} // namespace

HostTime
ReadHostTime()
{
  static const std::string boot = ReadBootId();
  const std::int64_t steady = Milliseconds<std::chrono::steady_clock>();
  return { boot, steady, Milliseconds<std::chrono::system_clock>() - steady };
}

} // namespace bergamotpaddle
