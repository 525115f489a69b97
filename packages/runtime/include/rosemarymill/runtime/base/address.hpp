#pragma once

#include <rosemarymill/core/base/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

#include <sys/socket.h>

/// Addresses of sockets.
namespace rosemarymill::runtime {

/// IP address and port, ready for the socket calls.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length { 0 };

    [[nodiscard]] const sockaddr* get() const noexcept { return reinterpret_cast<const sockaddr*>(&storage); }
    [[nodiscard]] sockaddr* get() noexcept { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Parses "ip:port", for IPv6 "[ip]:port". Host names are not resolved. The error is std::errc::invalid_argument.
[[nodiscard]] Result<SocketAddress> parseAddress(const std::string& text);

/// The address as "ip:port".
[[nodiscard]] std::string formatAddress(const SocketAddress& address);

/// The IP address alone, without brackets.
[[nodiscard]] std::string formatIp(const SocketAddress& address);

/// The port in host order.
[[nodiscard]] std::uint16_t portOf(const SocketAddress& address) noexcept;

/// Local address of a bound socket.
[[nodiscard]] Result<SocketAddress> localAddress(int socket);

} // namespace rosemarymill::runtime
