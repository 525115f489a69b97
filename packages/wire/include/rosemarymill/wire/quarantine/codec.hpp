#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

#include <cstdint>

/// Codec of the quarantine messages.
namespace rosemarymill::wire::quarantine {

void encode(const rosemarymill::quarantine::Message& message, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<rosemarymill::quarantine::Message> decode(std::span<const std::byte> payload);

/// Time in a received report, limited to what a record is kept for, so that no arithmetic with it overflows.
[[nodiscard]] Duration boundedTime(std::int64_t microseconds) noexcept;

} // namespace rosemarymill::wire::quarantine
