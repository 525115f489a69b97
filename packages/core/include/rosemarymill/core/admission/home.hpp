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

/// Home side of admission: an entry VM is the home of the servers that announce to it and divides their slots.
namespace rosemarymill::admission {

/// Validity of a grant, counted from the sending of the report that it answers.
inline constexpr Duration leaseTerm = 2s;

/// A home grants slots only while the server's last announcement is younger than this. It equals the time after which a
/// server that cannot reach its home has switched to another.
inline constexpr Duration authorityTerm = 3s;

/// Time that a new home waits before it grants slots, so that the predecessor's authority and its last leases have
/// expired.
inline constexpr Duration takeoverWait = authorityTerm + leaseTerm;

/// Maximum age of the load in an announcement. Slots of an expired lease count as in use for this long, until announced
/// loads include their requests.
inline constexpr Duration maxReportAge = 3s;

/// A new home uses announced loads to bound the orphaned requests from this long before its authority starts. The
/// server left the predecessor two announcements earlier, so the predecessor's leases have expired by then.
inline constexpr Duration orphanBoundsLead = 1s;

/// Time within which all entry VMs have reported a decrease of their use; it exceeds the renewal interval of leases.
inline constexpr Duration useReportDelay = 700ms;

/// Token memory assumed for a server that announces none.
inline constexpr std::uint64_t unlimitedTokens = std::numeric_limits<std::uint64_t>::max() / 4;

/// Lease of one entry VM as its home sees it.
struct HomeLease {
    Instant expiresAt;
    Instant reportSentAt;
    std::uint64_t sequence { 0 };
    std::uint64_t seenGrant { 0 };
    std::uint32_t slots { 0 };
    std::uint64_t tokens { 0 };
    /// Largest grant that the entry VM may still use, until it reports that it has applied a newer one.
    std::uint32_t countedSlots { 0 };
    std::uint64_t countedTokens { 0 };
    std::uint32_t inUse { 0 };
    std::uint64_t tokensInUse { 0 };
    bool wantsExclusive { false };
    bool exclusive { false };
    /// The newest grant has not been sent to the entry VM.
    bool changed { false };
    std::vector<AccountDemand> demand;
};

/// Slots and tokens in use on a server at one time.
struct UseSample {
    Instant at;
    std::uint32_t slots { 0 };
    std::uint64_t tokens { 0 };
};

/// State of one server's slots at its home.
struct ServerSlots {
    BootId bootId;
    ServerLimit limit;
    std::uint64_t tokenMemory { unlimitedTokens };
    /// Latest time at which the server certainly had this home. It lags behind `lastReceived` when announcements arrive
    /// late.
    Instant lastAnnounced;
    Instant lastReceived;
    /// No slots are granted before this time.
    Instant authorityFrom;
    bool leaving { false };
    bool cold { false };
    backend::Load reported;
    std::map<VmId, HomeLease> leases;
    /// Slots of expired leases, each with the time from which announced loads include their requests.
    std::vector<UseSample> expired;
    /// Recent use by active leases, oldest first.
    std::deque<UseSample> history;
    /// Upper bounds on the requests without an active lease and on their tokens. They fall when an announced load
    /// leaves less room for such requests and rise only when a lease expires.
    std::uint64_t orphanRequests { 0 };
    std::uint64_t orphanTokens { 0 };
    /// Announced loads received from this time on lower the bounds.
    Instant orphanBoundsFrom;
    /// Time of the announced load in `reported` if it still has to be evaluated, which happens once all entry VMs have
    /// reported their use at that time.
    std::optional<Instant> pendingReportAt;
};

/// Servers whose home is this process.
struct Home {
    std::map<ServerId, ServerSlots> servers;
};

/// Weight of a client account.
using WeightOf = std::function<double(const AccountId&)>;

/// Processes an announcement. `alone` states that no other entry VM can have been the server's home.
void handleAnnouncement(Home& home, const backend::Announcement& announcement, Instant now, bool alone);

/// Processes a report of an entry VM and divides the server's slots again. Returns false if this process is not the
/// server's home.
bool handleReport(Home& home, const VmId& from, const LeaseReport& report, Instant now, const WeightOf& weightOf);

/// Processes a report of an entry VM that keeps only the slots in use. Returns false like handleReport().
bool handleReturn(Home& home, const VmId& from, const LeaseReport& report, Instant now, const WeightOf& weightOf);

/// Removes expired leases and servers that have not announced for a long time, and divides the slots of the others
/// again.
void advance(Home& home, Instant now, const WeightOf& weightOf);

/// Whether this home may grant slots of the server now.
[[nodiscard]] bool hasAuthority(const ServerSlots& slots, Instant now) noexcept;

/// Slots that neither leases nor requests without a lease take up.
[[nodiscard]] std::uint32_t freeSlots(const ServerSlots& slots, Instant now) noexcept;

/// Returns the grant to send to the entry VM and marks it as sent.
[[nodiscard]] Grant issueGrant(ServerSlots& slots, const ServerId& server, const VmId& to, Instant now);

/// Installs leases that the predecessor handed over. The home may grant slots at once. Does nothing for a server that
/// has not announced here.
void installLeases(
    Home& home, const ServerId& server, const std::map<VmId, HomeLease>& leases, const ServerLimit& limit, Instant now);

} // namespace rosemarymill::admission
