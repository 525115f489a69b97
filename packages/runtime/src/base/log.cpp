#include <rosemarymill/runtime/base/log.hpp>

#include <boost/date_time/posix_time/posix_time_io.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace rosemarymill::runtime {

namespace {

namespace logging = boost::log;

logging::trivial::severity_level severityOf(node::LogLevel level) noexcept
{
    switch (level) {
    case node::LogLevel::Debug:
        return logging::trivial::debug;
    case node::LogLevel::Info:
        return logging::trivial::info;
    case node::LogLevel::Warning:
        return logging::trivial::warning;
    case node::LogLevel::Error:
        break;
    }
    return logging::trivial::error;
}

} // namespace

void setUpLog(node::LogLevel lowest)
{
    logging::add_common_attributes();
    logging::add_console_log(std::clog, logging::keywords::auto_flush = true,
        logging::keywords::format = logging::expressions::stream
            << logging::expressions::attr<boost::posix_time::ptime>("TimeStamp") << ' ' << logging::trivial::severity
            << ' ' << logging::expressions::smessage);
    logging::core::get()->set_filter(logging::trivial::severity >= severityOf(lowest));
}

void writeLog(node::LogLevel level, std::string_view part, std::string_view text)
{
    BOOST_LOG_STREAM_WITH_PARAMS(logging::trivial::logger::get(), (logging::keywords::severity = severityOf(level)))
        << part << ": " << text;
}

} // namespace rosemarymill::runtime
