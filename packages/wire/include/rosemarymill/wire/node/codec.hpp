#pragma once

#include <rosemarymill/core/node/peer_message.hpp>
#include <rosemarymill/wire/codec/codec.hpp>
#include <rosemarymill/wire/frame/frame.hpp>

#include <optional>

/// Maps the modules' messages to frame kinds and payloads.
namespace rosemarymill::wire::node {

/// Appends the payload of a message to a buffer and returns its frame kind, or nothing for an empty message.
[[nodiscard]] std::optional<FrameKind> encode(const rosemarymill::node::PeerMessage& message, Buffer& payload);

/// Decodes the payload of a frame. The errors are those of DecodeError.
[[nodiscard]] Result<rosemarymill::node::PeerMessage> decode(FrameKind kind, std::span<const std::byte> payload);

} // namespace rosemarymill::wire::node
