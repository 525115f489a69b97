#pragma once

#include <rosemarymill/core/configuration/machine.hpp>
#include <rosemarymill/wire/generated/configuration_generated.hpp>

#include <memory>
#include <vector>

/// Conversions between the configuration's types and the generated types of the FlatBuffers object API.
namespace rosemarymill::wire::configuration::detail {

namespace core = rosemarymill::configuration;
namespace fb = generated::configuration;

[[nodiscard]] fb::ModelT pack(const core::ModelSpec& it);
[[nodiscard]] fb::AccountT pack(const core::ClientAccount& it);
[[nodiscard]] fb::ServiceT pack(const core::ServiceSpec& it);
[[nodiscard]] fb::GeneralT pack(const core::General& it);
[[nodiscard]] fb::TakeOutIdT pack(const core::TakeOutId& it);
[[nodiscard]] fb::TakeOutT pack(const core::TakeOut& it);
[[nodiscard]] fb::EntryT pack(const core::VersionedEntry& it);
[[nodiscard]] fb::CommandT pack(const core::Command& it);
[[nodiscard]] fb::SubmissionT pack(const core::AcceptedSubmission& it);

[[nodiscard]] core::ModelSpec unpack(const fb::ModelT& it);
[[nodiscard]] core::ClientAccount unpack(const fb::AccountT& it);
[[nodiscard]] core::ServiceSpec unpack(const fb::ServiceT& it);
[[nodiscard]] core::General unpack(const fb::GeneralT& it);
[[nodiscard]] core::TakeOutId unpack(const fb::TakeOutIdT& it);
[[nodiscard]] core::TakeOut unpack(const fb::TakeOutT& it);
[[nodiscard]] core::VersionedEntry unpack(const fb::EntryT& it);
/// Returns nothing for a command of an unknown type.
[[nodiscard]] std::optional<core::Command> unpack(const fb::CommandT& it);
[[nodiscard]] core::AcceptedSubmission unpack(const fb::SubmissionT& it);

template <typename T> auto packAll(const std::vector<T>& values)
{
    std::vector<std::unique_ptr<decltype(pack(values.front()))>> packed;
    packed.reserve(values.size());
    for (const auto& it : values)
        packed.push_back(std::make_unique<decltype(pack(it))>(pack(it)));
    return packed;
}

template <typename T> auto unpackAll(const std::vector<std::unique_ptr<T>>& packed)
{
    std::vector<decltype(unpack(*packed.front()))> values;
    values.reserve(packed.size());
    for (const auto& it : packed)
        values.push_back(unpack(*it));
    return values;
}

} // namespace rosemarymill::wire::configuration::detail
