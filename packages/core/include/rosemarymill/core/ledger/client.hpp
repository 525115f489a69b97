#pragma once

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/ledger/message.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <variant>
#include <vector>

/// Dispatcher's side of the ledger: reserves a key before a non-idempotent call is dispatched and records its answer.
namespace rosemarymill::ledger {

/// Time without a reply after which another voter is asked.
inline constexpr Duration replyTimeout = 300ms;

/// Time without a decision after which a call that waits for its reservation is refused as not run.
inline constexpr Duration reserveTimeout = 2s;

/// Time between two questions whether the call that holds the key has finished.
inline constexpr Duration waitInterval = 500ms;

/// Longest wait of a resend for the call that holds the key.
inline constexpr Duration waitTimeout = 30s;

/// Time between two attempts to record an answer or to give a reservation back.
inline constexpr Duration settleInterval = 1s;

/// Redirections to a leader that are followed at once. Voters with outdated knowledge may name each other.
inline constexpr std::uint32_t maxRedirects = 3;

/// Bodies held while their answers are being recorded. Beyond it an answer is recorded as lost.
inline constexpr std::size_t unrecordedBodiesBudgetBytes = 4 * 1024 * 1024;

/// Why a call under a key does not run and has no answer.
enum class Denial {
    /// No decision of the home in time. The call was not dispatched.
    HomeUnreachable,
    /// The call that holds the key is still running elsewhere.
    StillRunning,
    /// A call under the key may have run and its answer is not known.
    AnswerUnknown,
    /// The key was used for another request.
    KeyReused
};

/// A non-idempotent call arrived. Its number is unique within the process.
struct Begin {
    Instant now;
    std::uint64_t number { 0 };
    Key key;
    Fingerprint fingerprint;
    DataCentreId home;
};

/// The granted call finished with this answer.
struct Finished {
    Instant now;
    std::uint64_t number { 0 };
    Answer answer;
};

/// The granted call was dispatched and its answer is lost.
struct AnswerLost {
    Instant now;
    std::uint64_t number { 0 };
};

/// The call ended before it was dispatched: it was refused, or its caller has gone.
struct NotDispatched {
    Instant now;
    std::uint64_t number { 0 };
};

/// A message of a voter arrived.
struct HomeMessage {
    Instant now;
    VmId from;
    Message message;
};

/// Periodic timer.
struct ClientTick {
    Instant now;
};

using ClientEvent = std::variant<Begin, Finished, AnswerLost, NotDispatched, HomeMessage, ClientTick>;

/// Sends a request to a voter of a home.
struct SendToHome {
    VmId to;
    Message message;
};

/// The call holds its key and is to be dispatched once.
struct Granted {
    std::uint64_t number { 0 };
};

/// The call is answered with the recorded answer.
struct Recorded {
    std::uint64_t number { 0 };
    Answer answer;
};

/// The call is refused.
struct Denied {
    std::uint64_t number { 0 };
    Denial denial { Denial::HomeUnreachable };
};

using ClientEffect = std::variant<SendToHome, Granted, Recorded, Denied>;
using ClientEffects = EffectList<ClientEffect>;

/// Where a call under a key stands.
enum class Phase : std::uint8_t { Reserving, Waiting, Running, Settling };

/// One call under a key.
struct Entry {
    Key key;
    Fingerprint fingerprint;
    DataCentreId home;
    Phase phase { Phase::Reserving };
    Instant startedAt;
    Instant nextSend;
    /// The last request has had no reply.
    bool unanswered { false };
    /// Redirections followed since the last regular request.
    std::uint32_t redirects { 0 };
    /// Command that settles the reservation; set in the phase Settling.
    Command settlement;
};

/// Voters of one home as the client sees them.
struct HomeVoters {
    std::vector<VmId> voters;
    /// Voter asked first.
    std::size_t preferred { 0 };
};

/// State of the dispatcher's side.
struct ClientState {
    VmId vm;
    BootId boot;
    std::map<DataCentreId, HomeVoters> homes;
    std::map<std::uint64_t, Entry> entries;
    std::size_t unrecordedBytes { 0 };
};

/// Applies one event.
void reduce(ClientState& state, const ClientEvent& event, ClientEffects& effects);

/// Home of a key: the home with the highest rendezvous weight. The homes must not be empty.
[[nodiscard]] const DataCentreId& homeOf(const Key& key, std::span<const DataCentreId> homes);

} // namespace rosemarymill::ledger
