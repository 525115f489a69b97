#include "socket.hpp"

#include <rosemarymill/runtime/link/links.hpp>

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace rosemarymill::runtime {

SocketAddress socketAddress(const Address& address)
{
    SocketAddress it;
    auto& v4 = reinterpret_cast<sockaddr_in&>(it.storage);
    auto& v6 = reinterpret_cast<sockaddr_in6&>(it.storage);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(address.port);
        it.length = sizeof(v6);
        return it;
    }
    inet_pton(AF_INET, address.ip.c_str(), &v4.sin_addr);
    v4.sin_family = AF_INET;
    v4.sin_port = htons(address.port);
    it.length = sizeof(v4);
    return it;
}

std::optional<Address> boundAddress(int socket)
{
    SocketAddress it;
    it.length = sizeof(it.storage);
    if (getsockname(socket, it.get(), &it.length) != 0)
        return std::nullopt;
    std::array<char, INET6_ADDRSTRLEN> ip {};
    const bool isIpv6 = it.storage.ss_family == AF_INET6;
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(it.storage);
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(it.storage);
    const void* binary = isIpv6 ? static_cast<const void*>(&v6.sin6_addr) : &v4.sin_addr;
    if (!inet_ntop(it.storage.ss_family, binary, ip.data(), ip.size()))
        return std::nullopt;
    return Address { ip.data(), ntohs(isIpv6 ? v6.sin6_port : v4.sin_port) };
}

void setLinkOptions(int socket) noexcept
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto timeout = static_cast<unsigned>(std::chrono::milliseconds { linkSendTimeout / 1ms }.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

} // namespace rosemarymill::runtime
