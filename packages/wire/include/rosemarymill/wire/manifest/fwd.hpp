#pragma once

/// Forward declarations of the manifest reader's types.
namespace rosemarymill::wire {

struct ParsedManifest;

} // namespace rosemarymill::wire
