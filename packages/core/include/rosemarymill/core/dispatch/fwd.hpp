#pragma once

/// Forward declarations of the dispatch module.
namespace rosemarymill::dispatch {

class Balancer;
class RetryBudget;
struct CallState;

} // namespace rosemarymill::dispatch
