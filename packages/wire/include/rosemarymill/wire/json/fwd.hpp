#pragma once

/// Forward declarations of the JSON reading types.
namespace rosemarymill::wire {

struct JsonFault;
class ObjectReader;

} // namespace rosemarymill::wire
