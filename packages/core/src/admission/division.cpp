#include <rosemarymill/core/admission/division.hpp>
#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>

namespace rosemarymill::admission {

namespace {

/// Demand of one account at one entry VM, and the slots assigned to it so far.
struct Claim {
    VmId vm;
    std::uint32_t wanted { 0 };
    std::uint32_t assigned { 0 };
    std::uint64_t tokensPerCall { 0 };
};

struct AccountClaims {
    double weight { 1.0 };
    /// Fraction of a slot above which the account's share is rounded up, from 0 to 1.
    double rounding { 1.0 };
    std::uint32_t assigned { 0 };
    std::vector<Claim> claims;
    bool done { false };
};

std::map<AccountId, AccountClaims> collect(
    const DemandTable& demand, const std::function<double(const AccountId&)>& weightOf, std::string_view server)
{
    constexpr double hashRange = 18446744073709551616.0;
    std::map<AccountId, AccountClaims> accounts;
    for (const auto& [vm, entries] : demand) {
        for (const auto& it : entries) {
            auto& account = accounts[it.account];
            account.weight = std::max(weightOf(it.account), 1e-3);
            if (!server.empty())
                account.rounding = static_cast<double>(rendezvousWeight(server, it.account.text())) / hashRange;
            account.claims.push_back({ vm, it.inUse + it.waiting, 0, it.tokensPerCall });
        }
    }
    return accounts;
}

/// Returns the claim that gets the account's next slot: the one with the smallest satisfied fraction of its demand.
/// Null if no claim wants a slot that the remaining tokens allow.
Claim* nextClaim(AccountClaims& account, std::uint64_t tokens)
{
    Claim* best = nullptr;
    for (auto& it : account.claims) {
        if (it.assigned >= it.wanted || it.tokensPerCall > tokens)
            continue;
        if (!best || std::uint64_t { it.assigned } * best->wanted < std::uint64_t { best->assigned } * it.wanted)
            best = &it;
    }
    return best;
}

AccountClaims* nextAccount(std::map<AccountId, AccountClaims>& accounts)
{
    AccountClaims* best = nullptr;
    double lowest = 0.0;
    for (auto& [id, account] : accounts) {
        if (account.done)
            continue;
        const double level = (account.assigned + account.rounding) / account.weight;
        if (!best || level < lowest) {
            best = &account;
            lowest = level;
        }
    }
    return best;
}

} // namespace

std::map<VmId, Share> divide(const DemandTable& demand, std::uint32_t slots, std::uint64_t tokens,
    const std::function<double(const AccountId&)>& weightOf, std::string_view server)
{
    auto accounts = collect(demand, weightOf, server);
    std::map<VmId, Share> shares;
    for (const auto& [vm, entries] : demand)
        shares[vm] = {};
    while (slots > 0) {
        auto* account = nextAccount(accounts);
        if (!account)
            break;
        auto* claim = nextClaim(*account, tokens);
        if (!claim) {
            account->done = true;
            continue;
        }
        ++claim->assigned;
        ++account->assigned;
        --slots;
        tokens -= claim->tokensPerCall;
        auto& share = shares[claim->vm];
        ++share.slots;
        share.tokens += claim->tokensPerCall;
    }
    return shares;
}

} // namespace rosemarymill::admission
