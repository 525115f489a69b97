#pragma once

#include <rosemarymill/core/placement/message.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the placement module's messages.
namespace rosemarymill::wire::placement {

void encode(const rosemarymill::placement::Message& message, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<rosemarymill::placement::Message> decode(std::span<const std::byte> payload);

} // namespace rosemarymill::wire::placement
