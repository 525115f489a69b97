#pragma once

#include <boost/outcome/std_result.hpp>

#include <system_error>

/// Result of an operation that can fail, by Boost.Outcome with std::error_code.
namespace rosemarymill {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Value or error code.
template <typename T> using Result = outcome::std_result<T>;

} // namespace rosemarymill
