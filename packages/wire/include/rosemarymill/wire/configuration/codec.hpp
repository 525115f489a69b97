#pragma once

#include <rosemarymill/core/configuration/machine.hpp>
#include <rosemarymill/core/configuration/message.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the configuration module's messages, and of the commands and snapshots of its log.
namespace rosemarymill::wire::configuration {

void encode(const rosemarymill::configuration::Message& message, Buffer& buf);
[[nodiscard]] Result<rosemarymill::configuration::Message> decode(std::span<const std::byte> payload);

/// Codec of the configuration log.
struct Codec {
    using Command = rosemarymill::configuration::Command;
    using Snapshot = rosemarymill::configuration::Snapshot;

    static void encodeCommand(const Command& command, Buffer& buf);
    static void encodeSnapshot(const Snapshot& snapshot, Buffer& buf);
    [[nodiscard]] static Result<Command> decodeCommand(std::span<const std::byte> payload);
    [[nodiscard]] static Result<Snapshot> decodeSnapshot(std::span<const std::byte> payload);
};

} // namespace rosemarymill::wire::configuration
