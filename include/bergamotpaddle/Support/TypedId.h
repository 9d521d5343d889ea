/// \file
/// Typed identifiers: string wrappers that do not convert to one another.
#pragma once

#include <compare>
#include <msgpack.hpp>
#include <string>
#include <utility>

namespace bergamotpaddle {

/// A string identifier. Each \p Tag yields a distinct type.
template<typename Tag>
class TypedId
{
public:
  TypedId() = default;
  explicit TypedId(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  const std::string& Str() const { return m_value; }
  bool Empty() const { return m_value.empty(); }
  auto operator<=>(const TypedId&) const = default;

  MSGPACK_DEFINE(m_value)

private:
  std::string m_value;
};

/// Identifies a client account, which pays for its requests.
using AccountId = TypedId<struct AccountTag>;
/// Identifies one incarnation of a router, which holds drawn credit. Never
/// reused.
using HolderId = TypedId<struct HolderTag>;
/// The configured name of an upstream and of its agent.
using UpstreamId = TypedId<struct UpstreamTag>;
/// Identifies one incarnation of an agent: its name and a number unique to the
/// incarnation.
using AgentId = TypedId<struct AgentTag>;
/// Identifies a request within its client account.
using RequestKey = TypedId<struct RequestKeyTag>;

} // namespace bergamotpaddle
