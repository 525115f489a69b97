#include <rosemarymill/runtime/base/address.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace rosemarymill::runtime {

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto ip = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    Address address;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error != std::errc {} || end != digits.data() + digits.size())
        return std::nullopt;
    const bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed)
        ip = ip.substr(1, ip.size() - 2);
    address.ip = ip;
    in6_addr binary {};
    if (inet_pton(isBracketed ? AF_INET6 : AF_INET, address.ip.c_str(), &binary) != 1)
        return std::nullopt;
    return address;
}

std::string formatAddress(const Address& address)
{
    const bool isIpv6 = address.ip.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

} // namespace rosemarymill::runtime
