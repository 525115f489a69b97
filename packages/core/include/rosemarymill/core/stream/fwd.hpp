#pragma once

/// Forward declarations of the stream types.
namespace rosemarymill::stream {

enum class Phase;
enum class StreamError;
struct Limits;
struct Stream;
struct State;

} // namespace rosemarymill::stream
