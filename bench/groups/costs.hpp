#pragma once

/// Measures messages, CPU time and memory of membership and placement.
namespace rosemarymill::bench {

/// Prints the costs at several sizes and returns the number of missed bounds.
[[nodiscard]] int measureCosts();

} // namespace rosemarymill::bench
