#pragma once

#include <rosemarymill/runtime/base/address.hpp>

#include <optional>

#include <sys/socket.h>

/// Socket addresses and options of links.
namespace rosemarymill::runtime {

struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length { 0 };

    [[nodiscard]] const sockaddr* get() const noexcept { return reinterpret_cast<const sockaddr*>(&storage); }
    [[nodiscard]] sockaddr* get() noexcept { return reinterpret_cast<sockaddr*>(&storage); }
};

[[nodiscard]] SocketAddress socketAddress(const Address& address);

/// Address that a socket is bound to.
[[nodiscard]] std::optional<Address> boundAddress(int socket);

/// Sends small frames at once and limits the time for unacknowledged bytes.
void setLinkOptions(int socket) noexcept;

} // namespace rosemarymill::runtime
