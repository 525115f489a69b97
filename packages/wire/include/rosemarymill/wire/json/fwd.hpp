#pragma once

/// Forward declarations of the JSON reader types.
namespace rosemarymill::wire {

struct JsonFault;
class ObjectReader;

} // namespace rosemarymill::wire
