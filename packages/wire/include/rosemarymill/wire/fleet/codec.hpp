#pragma once

#include <rosemarymill/core/fleet/machine.hpp>
#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the messages between entry and control VMs, and of the commands and snapshots of the control log.
namespace rosemarymill::wire::fleet {

void encode(const rosemarymill::fleet::Message& message, Buffer& buf);
[[nodiscard]] Result<rosemarymill::fleet::Message> decode(std::span<const std::byte> payload);

/// Codec of the control log.
struct Codec {
    using Command = rosemarymill::fleet::Command;
    using Snapshot = rosemarymill::fleet::Snapshot;

    static void encodeCommand(const Command& command, Buffer& buf);
    static void encodeSnapshot(const Snapshot& snapshot, Buffer& buf);
    [[nodiscard]] static Result<Command> decodeCommand(std::span<const std::byte> payload);
    [[nodiscard]] static Result<Snapshot> decodeSnapshot(std::span<const std::byte> payload);
};

} // namespace rosemarymill::wire::fleet
