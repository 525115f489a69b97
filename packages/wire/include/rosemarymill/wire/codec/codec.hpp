#pragma once

#include <rosemarymill/core/base/result.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <flatbuffers/flatbuffers.h>

/// Shared parts of the modules' codecs. Each module has a schema `schema/<module>.fbs` and a codec
/// `<module>/codec.hpp` with `encode(const Message&, Buffer&)` and `decode(std::span<const std::byte>)`.
namespace rosemarymill::wire {

/// Encoded bytes.
using Buffer = std::vector<std::byte>;

/// Errors of decoding a payload. A link that receives such a payload is closed.
enum class DecodeError { Malformed = 1, UnexpectedKind };

[[nodiscard]] std::error_code make_error_code(DecodeError error) noexcept; // NOLINT(readability-identifier-naming)

/// Appends a builder's finished table to a buffer.
inline void appendTable(const flatbuffers::FlatBufferBuilder& builder, Buffer& buf)
{
    const auto* data = reinterpret_cast<const std::byte*>(builder.GetBufferPointer());
    buf.insert(buf.end(), data, data + builder.GetSize());
}

/// Maximum number of FlatBuffers tables in a payload that fits into one frame.
inline constexpr flatbuffers::uoffset_t maxFrameTables = 100'000;

/// Verifies a payload and returns its root table, or null if it is malformed. Nesting depth and table count are limited
/// to bound the cost of forged payloads.
template <typename Table>
[[nodiscard]] const Table* verifiedTable(
    std::span<const std::byte> payload, flatbuffers::uoffset_t maxTables = maxFrameTables) noexcept
{
    constexpr flatbuffers::uoffset_t maxDepth = 16;
    const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(data, payload.size(), maxDepth, maxTables);
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

/// Encodes an object of the FlatBuffers object API and appends it to a buffer.
template <typename Packed> void packTable(const Packed& packed, Buffer& buf)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Packed::TableType::Pack(builder, &packed));
    appendTable(builder, buf);
}

/// Decodes a payload into an object of the FlatBuffers object API. The error is DecodeError::Malformed.
template <typename Packed>
[[nodiscard]] Result<Packed> unpackTable(
    std::span<const std::byte> payload, flatbuffers::uoffset_t maxTables = maxFrameTables)
{
    const auto* table = verifiedTable<typename Packed::TableType>(payload, maxTables);
    if (!table)
        return make_error_code(DecodeError::Malformed);
    Packed packed;
    table->UnPackTo(&packed);
    return packed;
}

/// Value of a string field; empty if the field is absent.
[[nodiscard]] inline std::string textOf(const flatbuffers::String* field)
{
    return field ? field->str() : std::string {};
}

} // namespace rosemarymill::wire

template <> struct std::is_error_code_enum<rosemarymill::wire::DecodeError> : std::true_type {
};
