#include <rosemarymill/runtime/base/address.hpp>

#include <array>
#include <cerrno>
#include <charconv>

#include <arpa/inet.h>
#include <event2/util.h>
#include <netinet/in.h>

namespace rosemarymill::runtime {

Result<SocketAddress> parseAddress(const std::string& text)
{
    const auto invalid = std::make_error_code(std::errc::invalid_argument);
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return invalid;
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return invalid;
    auto host = text.substr(0, colon);
    SocketAddress address;
    if (host.starts_with('[') && host.ends_with(']')) {
        auto& it = reinterpret_cast<sockaddr_in6&>(address.storage);
        it.sin6_family = AF_INET6;
        it.sin6_port = htons(port);
        address.length = sizeof(it);
        host = host.substr(1, host.size() - 2);
        return evutil_inet_pton(AF_INET6, host.c_str(), &it.sin6_addr) == 1 ? Result<SocketAddress>(address) : invalid;
    }
    auto& it = reinterpret_cast<sockaddr_in&>(address.storage);
    it.sin_family = AF_INET;
    it.sin_port = htons(port);
    address.length = sizeof(it);
    return evutil_inet_pton(AF_INET, host.c_str(), &it.sin_addr) == 1 ? Result<SocketAddress>(address) : invalid;
}

std::string formatIp(const SocketAddress& address)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (address.storage.ss_family == AF_INET6)
        inet_ntop(
            AF_INET6, &reinterpret_cast<const sockaddr_in6&>(address.storage).sin6_addr, text.data(), text.size());
    else
        inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in&>(address.storage).sin_addr, text.data(), text.size());
    return text.data();
}

std::uint16_t portOf(const SocketAddress& address) noexcept
{
    return address.storage.ss_family == AF_INET6
        ? ntohs(reinterpret_cast<const sockaddr_in6&>(address.storage).sin6_port)
        : ntohs(reinterpret_cast<const sockaddr_in&>(address.storage).sin_port);
}

std::string formatAddress(const SocketAddress& address)
{
    const auto ip = formatIp(address);
    const bool isIpv6 = address.storage.ss_family == AF_INET6;
    return (isIpv6 ? "[" + ip + "]" : ip) + ":" + std::to_string(portOf(address));
}

Result<SocketAddress> localAddress(int socket)
{
    SocketAddress address;
    address.length = sizeof(address.storage);
    if (getsockname(socket, address.get(), &address.length) != 0)
        return std::error_code(errno, std::system_category());
    return address;
}

} // namespace rosemarymill::runtime
