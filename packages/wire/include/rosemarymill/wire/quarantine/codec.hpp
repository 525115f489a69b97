#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the quarantine messages.
namespace rosemarymill::wire::quarantine {

void encode(const rosemarymill::quarantine::Message& message, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<rosemarymill::quarantine::Message> decode(std::span<const std::byte> payload);

} // namespace rosemarymill::wire::quarantine
