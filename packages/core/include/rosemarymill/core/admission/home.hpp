#pragma once

#include <rosemarymill/core/admission/limit.hpp>
#include <rosemarymill/core/admission/message.hpp>
#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <vector>

/// Home side of admission: one entry VM divides the slots of each server that announces to it.
namespace rosemarymill::admission {

/// Time from a report for which the slots granted to it stay valid.
inline constexpr Duration leaseTerm = 2s;

/// A home grants only while the server's last announcement is younger than this. It equals the time after which a
/// server that cannot reach its home has switched to another.
inline constexpr Duration authorityTerm = 3s;

/// Time that a new home waits, so that the predecessor's authority and the leases it granted last have ended.
inline constexpr Duration takeoverWait = authorityTerm + leaseTerm;

/// Age that the load in an announcement can have. Slots of an expired lease count until reports include their requests.
inline constexpr Duration reportLag = 3s;

/// Reports from this long before a new home's authority on show what runs under the predecessor's leases: the server
/// left the predecessor two announcements earlier, so those leases have ended by then.
inline constexpr Duration takeoverEvidence = 1s;

/// Time after which all entry VMs have reported a decrease of their use; it exceeds the renewal interval of leases.
inline constexpr Duration useLag = 700ms;

/// Token memory of a server that announces none.
inline constexpr std::uint64_t unlimitedTokens = std::numeric_limits<std::uint64_t>::max() / 4;

/// Lease of one entry VM as its home sees it.
struct HeldLease {
    Instant expiresAt;
    Instant reportSentAt;
    std::uint64_t sequence { 0 };
    std::uint64_t seenGrant { 0 };
    std::uint32_t slots { 0 };
    std::uint64_t tokens { 0 };
    /// Largest grant that the entry VM may still act on, until it reports that it has seen a newer one.
    std::uint32_t countedSlots { 0 };
    std::uint64_t countedTokens { 0 };
    std::uint32_t inUse { 0 };
    std::uint64_t tokensInUse { 0 };
    bool wantsExclusive { false };
    bool exclusive { false };
    /// The entry VM has not been sent the newest grant.
    bool changed { false };
    std::vector<AccountDemand> demand;
};

/// Use of a server at one time: slots and tokens of leases.
struct UseSample {
    Instant at;
    std::uint32_t slots { 0 };
    std::uint64_t tokens { 0 };
};

/// Slots of one server at its home.
struct ServerSlots {
    BootId bootId;
    ServerLimit limit;
    std::uint64_t tokenMemory { unlimitedTokens };
    /// Latest time at which the server is certain to have had this home; it lags when announcements arrive late.
    Instant lastAnnounced;
    Instant lastReceived;
    /// No grant is made before.
    Instant authorityFrom;
    bool leaving { false };
    bool cold { false };
    backend::Load reported;
    std::map<VmId, HeldLease> leases;
    /// Slots of expired leases, each with the time from which reports cover it.
    std::vector<UseSample> expired;
    /// Recent use by active leases, oldest first.
    std::deque<UseSample> history;
    /// Bound on the requests and tokens that run without an active lease. It falls with each report that leaves less
    /// room for them and rises only when a lease expires.
    std::uint64_t orphans { 0 };
    std::uint64_t orphanTokens { 0 };
    /// Reports from then on are evidence for the bound.
    Instant evidenceFrom;
    /// Report that is evaluated once the entry VMs' use at its time is known.
    std::optional<Instant> pendingReport;
};

/// Servers whose home is this process.
struct Home {
    std::map<ServerId, ServerSlots> servers;
};

/// Weight of a client account.
using WeightOf = std::function<double(const AccountId&)>;

/// Takes in an announcement. `alone` states that no other entry VM can have been the server's home.
void handleAnnouncement(Home& home, const backend::Announcement& announcement, Instant now, bool alone);

/// Takes in a report of an entry VM and divides the server's slots anew. Returns false when this process is not the
/// server's home.
bool handleReport(Home& home, const VmId& from, const LeaseReport& report, Instant now, const WeightOf& weightOf);

/// Takes in a report of an entry VM that keeps only the slots in use. Returns false like handleReport().
bool handleReturn(Home& home, const VmId& from, const LeaseReport& report, Instant now, const WeightOf& weightOf);

/// Drops expired leases and servers without authority for a long time, and divides the slots of the others anew.
void advance(Home& home, Instant now, const WeightOf& weightOf);

/// Whether slots of the server can be granted now.
[[nodiscard]] bool hasAuthority(const ServerSlots& slots, Instant now) noexcept;

/// Slots that no lease and no reported request takes.
[[nodiscard]] std::uint32_t freeSlots(const ServerSlots& slots, Instant now) noexcept;

/// Grant that the entry VM is to be sent. Marks it as sent.
[[nodiscard]] Grant issueGrant(ServerSlots& slots, const ServerId& server, const VmId& to, Instant now);

/// Adopts leases that the predecessor handed over; the home may grant at once.
void adopt(
    Home& home, const ServerId& server, const std::map<VmId, HeldLease>& leases, const ServerLimit& limit, Instant now);

} // namespace rosemarymill::admission
