#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/config/config.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

#include <cstdint>

/// First message on a link.
namespace rosemarymill::wire::link {

/// Identifies a process to its peer when a link is established.
struct Hello {
    VmId vm;
    DataCentreId dataCentre;
    BootId bootId;
    std::uint16_t version { config::protocolVersion };

    friend bool operator==(const Hello&, const Hello&) = default;
};

void encode(const Hello& hello, Buffer& buf);

/// The error is DecodeError::Malformed, also if a name is empty.
[[nodiscard]] Result<Hello> decode(std::span<const std::byte> payload);

} // namespace rosemarymill::wire::link
