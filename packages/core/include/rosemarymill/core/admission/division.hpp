#pragma once

#include <rosemarymill/core/admission/message.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

/// Division of a server's slots between entry VMs so that client accounts get shares by weight over the data centre.
namespace rosemarymill::admission {

/// Slots and tokens for one entry VM.
struct Share {
    std::uint32_t slots { 0 };
    std::uint64_t tokens { 0 };

    friend bool operator==(const Share&, const Share&) = default;
};

/// Demand of all entry VMs for one server.
using DemandTable = std::map<VmId, std::vector<AccountDemand>>;

/// Divides slots and tokens by weighted max-min fairness over accounts, then by demand over the entry VMs of each
/// account. The sum of the shares never exceeds `slots` and `tokens`. A server may have fewer slots than there are
/// accounts; a hash of the server's name and the account decides which accounts are rounded up, so that shares match
/// the weights over all servers. Without a name all accounts are rounded down.
[[nodiscard]] std::map<VmId, Share> divide(const DemandTable& demand, std::uint32_t slots, std::uint64_t tokens,
    const std::function<double(const AccountId&)>& weightOf, std::string_view server = {});

} // namespace rosemarymill::admission
