#pragma once

/// Forward declarations of the operator listener's types.
namespace rosemarymill::runtime {

struct Page;
struct Readiness;
class OperatorListener;

} // namespace rosemarymill::runtime
