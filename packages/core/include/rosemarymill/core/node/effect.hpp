#pragma once

#include <rosemarymill/core/backend/order.hpp>
#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/call/request.hpp>
#include <rosemarymill/core/ledger/replica.hpp>
#include <rosemarymill/core/node/peer_message.hpp>

#include <cstdint>
#include <string>
#include <variant>

/// Everything that the top reducer asks the runtime to do.
namespace rosemarymill::node {

/// Answers an announcement.
struct ReplyAnnouncement {
    RequestId request;
    bool accepted { false };
    /// Why the announcement was refused; empty when accepted.
    std::string reason;
    /// Time until the next announcement.
    Duration interval { 0 };
    /// Address of the server's home, to which it must announce itself from now on, "ip:port".
    std::string home;
};

/// Sends an order to a backend server.
struct SendOrder {
    ServerId server;
    std::string address;
    backend::Order order;
    /// The order must not be sent at or after this instant: the lease of the sender may have ended.
    Instant notAfter { Instant::max() };
};

/// Sends a call's request to a backend server.
struct Dispatch {
    AttemptId attempt;
    CallId call;
    ServerId server;
    std::string address;
    GroupId group;
    FencingNumber fencing;
    /// Index of the first token to send; above zero when a broken stream is resumed.
    std::uint64_t resumeFrom { 0 };
    /// ResponseFinished must include the answer, because the ledger records it.
    bool captureAnswer { false };
};

/// Sends a call's request to an entry VM of another data centre, which executes it there and streams the answer back.
/// The attempt causes the same events as one started by Dispatch.
struct ForwardCall {
    AttemptId attempt;
    CallId call;
    VmId vm;
    /// Address of the entry VM's peer listener, "ip:port".
    std::string address;
    std::uint64_t resumeFrom { 0 };
    /// As in Dispatch.
    bool captureAnswer { false };
};

/// Ends an attempt: the stream is cancelled at the server and later answers are dropped.
struct CancelAttempt {
    AttemptId attempt;
    /// Whether to close the request at the server as well.
    bool notifyServer { true };
};

/// Starts the caller's response with the head received for this attempt.
struct BeginResponse {
    CallId call;
    AttemptId attempt;
    int status { 0 };
    bool stream { false };
};

/// Forwards the token event just received to the caller.
struct ForwardToken {
    CallId call;
    AttemptId attempt;
};

/// Ends the caller's response. For a response that is not a stream, sends the whole buffered answer.
struct FinishCall {
    CallId call;
    AttemptId attempt;
};

/// Answers a caller with the answer that the ledger recorded for an earlier call under the same key.
struct AnswerCall {
    CallId call;
    int status { 0 };
    std::string contentType;
    std::string body;
};

/// Answers a caller with a refusal. A stream that has already begun ends with an error event instead.
struct RefuseCall {
    CallId call;
    call::Refusal refusal;
};

/// Stops or restarts reading an attempt's response from the server.
struct SetReading {
    AttemptId attempt;
    bool enabled { true };
};

/// Drops a suspended stream's buffered tokens that were not handed to the caller's connection. They are requested again
/// from a server when the caller continues to read.
struct ParkStream {
    CallId call;
};

/// Result of an operator request.
enum class OperatorResult { Accepted, AlreadyAccepted, Conflict, NotAccepted, Invalid };

/// Answers an operator.
struct ReplyOperator {
    RequestId request;
    OperatorResult result { OperatorResult::Invalid };
    Revision revision;
    /// Newest revision, when a later submission has superseded this one; equals `revision` otherwise.
    Revision current;
    std::string detail;
};

/// Sends a message to another process and opens the link on demand. Delivery is not guaranteed.
struct SendPeer {
    VmId to;
    /// Address of the receiver's peer listener, "ip:port".
    std::string address;
    PeerMessage message;
};

/// Writes and syncs a record of the configuration log. Answered by ConfigurationPersisted.
struct PersistConfiguration {
    std::uint64_t sequence { 0 };
    configuration::LogRecord record;
};

/// Writes and syncs a record of a ledger home's log. Answered by LedgerPersisted.
struct PersistLedger {
    DataCentreId home;
    std::uint64_t sequence { 0 };
    ledger::LogRecord record;
};

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// Writes one log line. `part` is its fixed prefix.
struct WriteLog {
    LogLevel level { LogLevel::Info };
    const char* part { "node" };
    std::string text;
};

/// Ends the process. All callers are answered and all slots are returned.
struct Exit { };

using Effect = std::variant<ReplyAnnouncement, SendOrder, Dispatch, ForwardCall, CancelAttempt, BeginResponse,
    ForwardToken, FinishCall, AnswerCall, RefuseCall, SetReading, ParkStream, ReplyOperator, SendPeer,
    PersistConfiguration, PersistLedger, WriteLog, Exit>;

using Effects = EffectList<Effect>;

} // namespace rosemarymill::node
