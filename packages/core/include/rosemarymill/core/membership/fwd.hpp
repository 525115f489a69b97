#pragma once

#include <cstdint>

/// Forward declarations of the membership types.
namespace rosemarymill::membership {

enum class Status : std::uint8_t;
struct LoadDigest;
struct Facts;
struct Update;
struct DataCentreDigest;
struct Settings;
struct State;

} // namespace rosemarymill::membership
