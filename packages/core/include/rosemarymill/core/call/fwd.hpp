#pragma once

/// Forward declarations of the call types.
namespace rosemarymill::call {

enum class Target;
enum class Outcome;
enum class RefusalReason;
struct Request;
struct Refusal;

} // namespace rosemarymill::call
