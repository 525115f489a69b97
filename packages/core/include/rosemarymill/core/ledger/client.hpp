#pragma once

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/ledger/message.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <variant>
#include <vector>

/// Ledger client of a dispatcher: reserves a key before a non-idempotent call is dispatched and records its answer.
namespace rosemarymill::ledger {

/// Time without a reply after which another voter is asked.
inline constexpr Duration replyTimeout = 300ms;

/// Time without a decision of the home after which a call that waits for its reservation is refused as not run.
inline constexpr Duration reserveTimeout = 2s;

/// Interval at which a resend polls whether the call that holds the key has finished.
inline constexpr Duration waitInterval = 500ms;

/// Longest time that a resend waits for the call that holds the key.
inline constexpr Duration waitTimeout = 30s;

/// Time between two attempts to record an answer or to abort a reservation.
inline constexpr Duration finalizeInterval = 1s;

/// Redirects to a leader that are followed at once. Without a limit, two voters with outdated views of the leader could
/// redirect a request to each other forever.
inline constexpr std::uint32_t maxRedirects = 3;

/// Total size of the bodies that are held while their answers are being recorded. An answer that would exceed it is
/// recorded as lost.
inline constexpr std::size_t unrecordedBodiesBudgetBytes = 4 * 1024 * 1024;

/// Why a call with a key is refused: it does not run and there is no recorded answer.
enum class Denial {
    /// The home sent no decision within `reserveTimeout`. The call was not dispatched.
    HomeUnreachable,
    /// The call that holds the key is still running elsewhere after `waitTimeout`.
    StillRunning,
    /// An earlier call with the key may have run and its answer is not available.
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

/// The call ended before it was dispatched: it was refused, or its caller disconnected.
struct NotDispatched {
    Instant now;
    std::uint64_t number { 0 };
};

/// A message from a voter arrived.
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

/// The call holds the reservation of its key and is to be dispatched once.
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

/// Phase of a call with a key.
enum class Phase : std::uint8_t { Reserving, Waiting, Running, Finalizing };

/// One call with a key.
struct Entry {
    Key key;
    Fingerprint fingerprint;
    DataCentreId home;
    Phase phase { Phase::Reserving };
    Instant startedAt;
    Instant nextSend;
    /// The last request has had no reply.
    bool unanswered { false };
    /// Redirects followed since the last regular request.
    std::uint32_t redirects { 0 };
    /// Command that ends the reservation: Complete, Abort or Lose; set in the phase Finalizing.
    Command finalCommand;
};

/// Voters of one home in the client's view.
struct HomeVoters {
    std::vector<VmId> voters;
    /// Position of the voter that gets the next request, modulo the number of voters.
    std::size_t preferred { 0 };
};

/// State of the ledger client.
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
