#include <rosemarymill/runtime/base/log.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/scoped_attribute.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

namespace rosemarymill::runtime {

namespace {

namespace logging = boost::log;

using Backend = logging::sinks::text_ostream_backend;

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

/// Fields of one record.
struct Record {
    explicit Record(const logging::record_view& view)
        : time(boost::posix_time::to_iso_extended_string(
            logging::extract_or_default<boost::posix_time::ptime>("TimeStamp", view, boost::posix_time::ptime {})))
        , level(logging::trivial::to_string(
              logging::extract_or_default<logging::trivial::severity_level>("Severity", view, logging::trivial::info)))
        , part(logging::extract_or_default<std::string>("Part", view, std::string {}))
        , text(logging::extract_or_default<std::string>("Message", view, std::string {}))
    {
    }

    std::string time;
    std::string level;
    std::string part;
    std::string text;
};

void formatText(const logging::record_view& view, logging::formatting_ostream& out)
{
    const Record it(view);
    out << it.time << ' ' << it.level << ' ' << it.part << ": " << it.text;
}

void formatJson(const logging::record_view& view, logging::formatting_ostream& out)
{
    const Record it(view);
    const nlohmann::ordered_json document { { "time", it.time }, { "level", it.level }, { "part", it.part },
        { "text", it.text } };
    out << document.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void setUpLog(node::LogLevel lowest, LogFormat format) { setUpLog(std::clog, lowest, format); }

void setUpLog(std::ostream& out, node::LogLevel lowest, LogFormat format)
{
    const auto core = logging::core::get();
    core->remove_all_sinks();
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock {});
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter {}));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(format == LogFormat::Json ? &formatJson : &formatText);
    core->add_sink(sink);
    core->set_filter(logging::trivial::severity >= severityOf(lowest));
}

void writeLog(node::LogLevel level, std::string_view part, std::string_view text)
{
    BOOST_LOG_SCOPED_LOGGER_ATTR(
        logging::trivial::logger::get(), "Part", logging::attributes::constant<std::string>(std::string(part)));
    BOOST_LOG_STREAM_WITH_PARAMS(logging::trivial::logger::get(), (logging::keywords::severity = severityOf(level)))
        << text;
}

} // namespace rosemarymill::runtime
