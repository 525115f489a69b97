#pragma once

/// Forward declarations of the routing table.
namespace rosemarymill::routes {

struct Document;
struct Fault;
struct Limits;
struct Route;
struct Service;
class Table;

} // namespace rosemarymill::routes
