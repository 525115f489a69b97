#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// Strongly typed identifiers.
namespace rosemarymill {

/// Textual identifier assigned outside the process. Names with different tags do not convert into each other.
template <typename Tag> class Name {
public:
    Name() = default;
    explicit Name(std::string value) noexcept
        : m_value(std::move(value))
    {
    }
    explicit Name(std::string_view value)
        : m_value(value)
    {
    }
    explicit Name(const char* value)
        : m_value(value)
    {
    }

    [[nodiscard]] const std::string& text() const noexcept { return m_value; }
    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

    friend auto operator<=>(const Name&, const Name&) = default;
    friend bool operator==(const Name&, const Name&) = default;

private:
    std::string m_value;
};

/// Identifier or counter with a numeric value. Zero means "none".
template <typename Tag> struct Number {
    std::uint64_t value { 0 };

    [[nodiscard]] constexpr explicit operator bool() const noexcept { return value != 0; }
    [[nodiscard]] constexpr Number next() const noexcept { return Number { value + 1 }; }

    friend constexpr auto operator<=>(const Number&, const Number&) = default;
    friend constexpr bool operator==(const Number&, const Number&) = default;
};

namespace detail {
struct VmTag;
struct DataCentreTag;
struct ServerTag;
struct FabricDomainTag;
struct AccountTag;
struct ModelTag;
struct ServiceTag;
struct BootTag;
struct GroupTag;
struct CallTag;
struct AttemptTag;
struct FencingTag;
struct RevisionTag;
struct RequestTag;
} // namespace detail

using VmId = Name<detail::VmTag>;
using DataCentreId = Name<detail::DataCentreTag>;
using ServerId = Name<detail::ServerTag>;
using FabricDomainId = Name<detail::FabricDomainTag>;
using AccountId = Name<detail::AccountTag>;
using ModelName = Name<detail::ModelTag>;
using ServiceName = Name<detail::ServiceTag>;
/// Random identifier that a process generates at each start.
using BootId = Name<detail::BootTag>;

using GroupId = Number<detail::GroupTag>;
/// Call of a caller, unique within one process.
using CallId = Number<detail::CallTag>;
/// One dispatch of a call to a backend server, unique within one process.
using AttemptId = Number<detail::AttemptTag>;
/// Fencing number of a placement leader's term. An order with a lower number than one already accepted is refused.
using FencingNumber = Number<detail::FencingTag>;
/// Revision of the accepted configuration.
using Revision = Number<detail::RevisionTag>;
/// Announcement or operator request that awaits its reply, unique within one process.
using RequestId = Number<detail::RequestTag>;

} // namespace rosemarymill

template <typename Tag> struct std::hash<rosemarymill::Name<Tag>> {
    std::size_t operator()(const rosemarymill::Name<Tag>& name) const noexcept
    {
        return std::hash<std::string> {}(name.text());
    }
};

template <typename Tag> struct std::hash<rosemarymill::Number<Tag>> {
    std::size_t operator()(const rosemarymill::Number<Tag>& number) const noexcept
    {
        return std::hash<std::uint64_t> {}(number.value);
    }
};
