#pragma once

/// Forward declarations of the retry types.
namespace rosemarymill::retry {

class Budget;
class HedgeDelay;
enum class Decision;

} // namespace rosemarymill::retry
