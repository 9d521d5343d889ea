/// \file
/// Typed identifiers: strings that cannot be mixed up with one another.
#pragma once

#include <compare>
#include <msgpack.hpp>
#include <string>
#include <utility>

namespace bergamotpaddle {

/// A string identifier whose \p Tag makes it a type of its own.
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

/// A client account: who pays.
using AccountId = TypedId<struct AccountTag>;
/// One life of one router: the owner of drawn credit. Never used twice.
using HolderId = TypedId<struct HolderTag>;
/// The configured name of an upstream and of the agent beside it.
using UpstreamId = TypedId<struct UpstreamTag>;
/// One life of one agent: the name and a number that no other life has.
using AgentId = TypedId<struct AgentTag>;
/// Names a request within its client account.
using RequestKey = TypedId<struct RequestKeyTag>;

} // namespace bergamotpaddle
