#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/call/request.hpp>
#include <rosemarymill/core/configuration/manifest.hpp>
#include <rosemarymill/core/ledger/record.hpp>
#include <rosemarymill/core/node/peer_message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// Everything that can happen to one process. The runtime produces these events; the top reducer consumes them.
namespace rosemarymill::node {

/// First event of a process.
struct Started {
    Instant now;
};

/// Periodic timer, every 100 ms.
struct Tick {
    Instant now;
};

/// A backend server announced itself and awaits a reply.
struct AnnouncementReceived {
    Instant now;
    RequestId request;
    backend::Announcement announcement;
};

/// A server answered an order, or the order failed: the server did not answer it, or the sender's lease had ended.
struct OrderAnswered {
    Instant now;
    ServerId server;
    std::uint64_t orderId { 0 };
    bool accepted { false };
};

/// A caller's request arrived completely.
struct CallArrived {
    Instant now;
    CallId call;
    call::Request request;
};

/// The caller closed its connection.
struct CallerGone {
    Instant now;
    CallId call;
};

/// The caller's connection accepted tokens or bytes of a stream.
struct CallerBacklogChanged {
    Instant now;
    CallId call;
    /// Index of the first token that was not handed to the connection.
    std::uint64_t firstUnsentToken { 0 };
    /// Bytes still buffered in the process for this caller.
    std::uint64_t bytes { 0 };
};

/// The head of a response arrived from the backend server.
struct ResponseStarted {
    Instant now;
    AttemptId attempt;
    int status { 0 };
    /// Whether the response is a stream of token events.
    bool stream { false };
};

/// One token event of a stream arrived. Its bytes stay in the runtime.
struct TokenReceived {
    Instant now;
    AttemptId attempt;
    std::uint64_t index { 0 };
    std::uint32_t bytes { 0 };
};

/// The response is complete: the end marker of a stream or the last byte of a body.
struct ResponseFinished {
    Instant now;
    AttemptId attempt;
    /// The answer, if the dispatch requested it and its body has at most ledger::maxKeptBodyBytes bytes.
    std::optional<ledger::Answer> answer {};
};

/// Why an attempt ended without a complete response.
enum class AttemptError {
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    /// The response has the id of another request.
    MismatchedResponse,
    MalformedResponse,
    ResponseTooLarge
};

/// An attempt ended without a complete response.
struct AttemptFailed {
    Instant now;
    AttemptId attempt;
    AttemptError error { AttemptError::ConnectFailed };
    /// Whether at least one byte of the request may have reached the server.
    bool requestSent { false };
};

/// An operator submitted a manifest that passed validation.
struct ManifestSubmitted {
    Instant now;
    RequestId request;
    std::optional<Revision> expected;
    std::string submissionId;
    /// Hexadecimal SHA-256 digest of the manifest's text.
    std::string digest;
    configuration::Manifest manifest;
};

/// Kind of unit that an operator takes out of service or brings back.
enum class ServiceUnit { DataCentre, Vm };

/// An operator takes a data centre or VM out of service or brings it back.
struct AvailabilityCommand {
    Instant now;
    RequestId request;
    ServiceUnit unit { ServiceUnit::Vm };
    std::string name;
    bool takeOut { true };
    std::string submissionId;
};

/// A message of another process arrived.
struct PeerMessageReceived {
    Instant now;
    VmId from;
    PeerMessage message;
};

/// All records of the configuration log up to this sequence number are synced.
struct ConfigurationPersisted {
    Instant now;
    std::uint64_t sequence { 0 };
};

/// The data folder became full, or writable again.
struct ConfigurationStorageChanged {
    Instant now;
    bool writable { true };
};

/// The process was asked to shut down gracefully.
struct ShutdownRequested {
    Instant now;
};

/// All records of a ledger home up to this sequence number are synced.
struct LedgerPersisted {
    Instant now;
    DataCentreId home;
    std::uint64_t sequence { 0 };
};

/// The disk with a ledger home's log became full, or writable again.
struct LedgerStorageChanged {
    Instant now;
    DataCentreId home;
    bool writable { true };
};

using Event = std::variant<Started, Tick, AnnouncementReceived, OrderAnswered, CallArrived, CallerGone,
    CallerBacklogChanged, ResponseStarted, TokenReceived, ResponseFinished, AttemptFailed, ManifestSubmitted,
    AvailabilityCommand, PeerMessageReceived, ConfigurationPersisted, ConfigurationStorageChanged, LedgerPersisted,
    LedgerStorageChanged, ShutdownRequested>;

} // namespace rosemarymill::node
