#pragma once

/// Forward declarations of the backend server types.
namespace rosemarymill::backend {

enum class Kind;
enum class OrderAction;
struct ModelVersion;
struct Load;
struct GroupMembership;
struct CacheEvents;
struct Announcement;
struct Order;

} // namespace rosemarymill::backend
