#pragma once

#include <rosemarymill/core/ledger/message.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the ledger module's messages, and of the commands and snapshots of its logs.
namespace rosemarymill::wire::ledger {

void encode(const rosemarymill::ledger::Message& message, Buffer& buf);
[[nodiscard]] Result<rosemarymill::ledger::Message> decode(std::span<const std::byte> payload);

/// Codec of the ledger log of one home data centre.
struct Codec {
    using Command = rosemarymill::ledger::Command;
    using Snapshot = rosemarymill::ledger::Machine::Snapshot;

    static void encodeCommand(const Command& command, Buffer& buf);
    static void encodeSnapshot(const Snapshot& snapshot, Buffer& buf);
    [[nodiscard]] static Result<Command> decodeCommand(std::span<const std::byte> payload);
    [[nodiscard]] static Result<Snapshot> decodeSnapshot(std::span<const std::byte> payload);
};

} // namespace rosemarymill::wire::ledger
