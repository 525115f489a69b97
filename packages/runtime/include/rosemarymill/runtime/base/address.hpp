#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Addresses of listeners and servers.
namespace rosemarymill::runtime {

/// IP address and port.
struct Address {
    std::string ip;
    std::uint16_t port { 0 };

    friend bool operator==(const Address&, const Address&) = default;
};

/// Reads "ip:port", with the IP address in digits and IPv6 in brackets. Host names are refused.
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

/// Writes "ip:port".
[[nodiscard]] std::string formatAddress(const Address& address);

} // namespace rosemarymill::runtime
