#pragma once

#include <rosemarymill/core/agreement/message.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

#include <boost/outcome/try.hpp>

#include <concepts>
#include <optional>
#include <type_traits>
#include <utility>

/// Codec of the messages and records of the replicated logs. Commands and snapshots are opaque bytes here; the module
/// that owns a log supplies their codec (see LogCodec).
namespace rosemarymill::wire::agreement {

using rosemarymill::agreement::LogId;
using RawEntry = rosemarymill::agreement::Entry<Buffer>;
using RawSnapshot = rosemarymill::agreement::LogSnapshot<Buffer>;
using RawRecord = rosemarymill::agreement::Record<Buffer, Buffer>;
using RawPersistedState = rosemarymill::agreement::PersistedState<Buffer, Buffer>;
using RawMessage = rosemarymill::agreement::Message<Buffer, Buffer>;

/// Message with the log it belongs to.
struct LogMessage {
    LogId log;
    RawMessage message;

    friend bool operator==(const LogMessage&, const LogMessage&) = default;
};

void encode(const LogMessage& message, Buffer& buf);
[[nodiscard]] Result<LogMessage> decode(std::span<const std::byte> payload);

/// Encodes a record of the write-ahead log or of the snapshot file.
void encode(const RawRecord& record, Buffer& buf);
[[nodiscard]] Result<RawRecord> decodeRecord(std::span<const std::byte> payload);

/// Codec of one log's commands and snapshots.
template <typename T>
concept LogCodec = requires(const typename T::Command& command, const typename T::Snapshot& snapshot, Buffer& buf,
    std::span<const std::byte> payload)
{
    T::encodeCommand(command, buf);
    T::encodeSnapshot(snapshot, buf);
    {
        T::decodeCommand(payload)
        } -> std::same_as<Result<typename T::Command>>;
    {
        T::decodeSnapshot(payload)
        } -> std::same_as<Result<typename T::Snapshot>>;
};

template <LogCodec Codec> RawEntry toRaw(const rosemarymill::agreement::Entry<typename Codec::Command>& entry)
{
    RawEntry raw { entry.index, entry.term, std::nullopt, entry.voters };
    if (entry.command)
        Codec::encodeCommand(*entry.command, raw.command.emplace());
    return raw;
}

template <LogCodec Codec>
RawSnapshot toRaw(const rosemarymill::agreement::LogSnapshot<typename Codec::Snapshot>& snapshot)
{
    RawSnapshot raw { snapshot.index, snapshot.term, {}, snapshot.voters };
    Codec::encodeSnapshot(snapshot.state, raw.state);
    return raw;
}

template <LogCodec Codec>
RawRecord toRaw(const rosemarymill::agreement::Record<typename Codec::Command, typename Codec::Snapshot>& record)
{
    RawRecord raw { record.hard, std::nullopt, record.truncateFrom, {} };
    if (record.snapshot)
        raw.snapshot = toRaw<Codec>(*record.snapshot);
    for (const auto& entry : record.entries)
        raw.entries.push_back(toRaw<Codec>(entry));
    return raw;
}

template <LogCodec Codec>
RawMessage toRaw(const rosemarymill::agreement::Message<typename Codec::Command, typename Codec::Snapshot>& message)
{
    namespace core = rosemarymill::agreement;
    return std::visit(
        [&](const auto& it) -> RawMessage {
            using Body = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<Body, core::Append<typename Codec::Command>>) {
                core::Append<Buffer> raw { it.term, it.previousIndex, it.previousTerm, it.commit,
                    it.receiverIncarnation, {} };
                for (const auto& entry : it.entries)
                    raw.entries.push_back(toRaw<Codec>(entry));
                return { message.incarnation, std::move(raw) };
            } else if constexpr (std::is_same_v<Body, core::InstallSnapshot<typename Codec::Snapshot>>) {
                return { message.incarnation, core::InstallSnapshot<Buffer> { it.term, toRaw<Codec>(it.snapshot) } };
            } else {
                return { message.incarnation, it };
            }
        },
        message.body);
}

template <LogCodec Codec> Result<rosemarymill::agreement::Entry<typename Codec::Command>> fromRaw(const RawEntry& raw)
{
    rosemarymill::agreement::Entry<typename Codec::Command> entry { raw.index, raw.term, std::nullopt, raw.voters };
    if (raw.command) {
        BOOST_OUTCOME_TRY(command, Codec::decodeCommand(*raw.command));
        entry.command = std::move(command);
    }
    return entry;
}

template <LogCodec Codec>
Result<std::vector<rosemarymill::agreement::Entry<typename Codec::Command>>> fromRaw(const std::vector<RawEntry>& raw)
{
    std::vector<rosemarymill::agreement::Entry<typename Codec::Command>> entries;
    for (const auto& it : raw) {
        BOOST_OUTCOME_TRY(entry, fromRaw<Codec>(it));
        entries.push_back(std::move(entry));
    }
    return entries;
}

template <LogCodec Codec>
Result<rosemarymill::agreement::LogSnapshot<typename Codec::Snapshot>> fromRaw(const RawSnapshot& raw)
{
    BOOST_OUTCOME_TRY(state, Codec::decodeSnapshot(raw.state));
    return rosemarymill::agreement::LogSnapshot<typename Codec::Snapshot> { raw.index, raw.term, std::move(state),
        raw.voters };
}

template <LogCodec Codec>
Result<rosemarymill::agreement::PersistedState<typename Codec::Command, typename Codec::Snapshot>> fromRaw(
    const RawPersistedState& raw)
{
    rosemarymill::agreement::PersistedState<typename Codec::Command, typename Codec::Snapshot> persistedState;
    persistedState.hard = raw.hard;
    persistedState.damaged = raw.damaged;
    if (raw.snapshot) {
        BOOST_OUTCOME_TRY(snapshot, fromRaw<Codec>(*raw.snapshot));
        persistedState.snapshot = std::move(snapshot);
    }
    BOOST_OUTCOME_TRY(entries, fromRaw<Codec>(raw.entries));
    persistedState.entries = std::move(entries);
    return persistedState;
}

template <LogCodec Codec>
Result<rosemarymill::agreement::Message<typename Codec::Command, typename Codec::Snapshot>> fromRaw(
    const RawMessage& raw)
{
    namespace core = rosemarymill::agreement;
    using Message = core::Message<typename Codec::Command, typename Codec::Snapshot>;
    return std::visit(
        [&](const auto& it) -> Result<Message> {
            using Body = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<Body, core::Append<Buffer>>) {
                BOOST_OUTCOME_TRY(entries, fromRaw<Codec>(it.entries));
                return Message { raw.incarnation,
                    core::Append<typename Codec::Command> { it.term, it.previousIndex, it.previousTerm, it.commit,
                        it.receiverIncarnation, std::move(entries) } };
            } else if constexpr (std::is_same_v<Body, core::InstallSnapshot<Buffer>>) {
                BOOST_OUTCOME_TRY(snapshot, fromRaw<Codec>(it.snapshot));
                return Message { raw.incarnation,
                    core::InstallSnapshot<typename Codec::Snapshot> { it.term, std::move(snapshot) } };
            } else {
                return Message { raw.incarnation, it };
            }
        },
        raw.body);
}

} // namespace rosemarymill::wire::agreement
