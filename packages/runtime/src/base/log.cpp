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

#include <chrono>
#include <cstdint>
#include <iostream>
#include <streambuf>
#include <string>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

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
        , fields(logging::extract_or_default<std::string>("Fields", view, std::string {}))
    {
    }

    std::string time;
    std::string level;
    std::string part;
    std::string text;
    /// JSON members without braces.
    std::string fields;
};

void formatText(const logging::record_view& view, logging::formatting_ostream& out)
{
    const Record it(view);
    out << it.time << ' ' << it.level << ' ' << it.part << ": " << it.text;
    if (!it.fields.empty())
        out << ' ' << it.fields;
}

void formatJson(const logging::record_view& view, logging::formatting_ostream& out)
{
    const Record it(view);
    const nlohmann::ordered_json document { { "time", it.time }, { "level", it.level }, { "part", it.part },
        { "text", it.text } };
    auto line = document.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
    if (!it.fields.empty())
        line.insert(line.size() - 1, "," + it.fields);
    out << line;
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

void writeDecision(std::string_view part, std::string_view text, std::initializer_list<LogField> fields)
{
    static unsigned second = 0;
    static unsigned written = 0;
    static unsigned dropped = 0;
    const auto now = static_cast<unsigned>(
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count());
    if (now != second) {
        second = now;
        written = 0;
        if (dropped > 0)
            writeLog(node::LogLevel::Warning, "log",
                std::to_string(std::exchange(dropped, 0)) + " decisions were not logged: limit per second exceeded.");
    }
    if (++written > maxDecisionsPerSecond) {
        ++dropped;
        return;
    }
    nlohmann::ordered_json members;
    for (const auto& [name, value] : fields) {
        if (!value.empty())
            members[std::string(name)] = value;
    }
    auto dumped = members.empty() ? std::string {}
                                  : members.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
    if (!dumped.empty())
        dumped = dumped.substr(1, dumped.size() - 2);
    BOOST_LOG_SCOPED_LOGGER_ATTR(
        logging::trivial::logger::get(), "Fields", logging::attributes::constant<std::string>(std::move(dumped)));
    writeLog(node::LogLevel::Info, part, text);
}

namespace {

/// Stream buffer over a non-blocking descriptor. When its buffer is full, complete lines are dropped.
class NonBlockingOutput : public std::streambuf {
public:
    explicit NonBlockingOutput(int fd)
        : m_fd(fd)
    {
        const auto flags = fcntl(fd, F_GETFL);
        if (flags >= 0)
            static_cast<void>(fcntl(fd, F_SETFL, flags | O_NONBLOCK));
    }

protected:
    int_type overflow(int_type c) override
    {
        if (c != traits_type::eof())
            m_line.push_back(traits_type::to_char_type(c));
        return c;
    }

    std::streamsize xsputn(const char* data, std::streamsize n) override
    {
        m_line.append(data, static_cast<std::size_t>(n));
        return n;
    }

    int sync() override
    {
        if (m_pending.size() + m_line.size() > maxPendingBytes) {
            ++m_dropped;
        } else {
            if (m_dropped > 0)
                m_pending += "{\"part\":\"log\",\"text\":\"" + std::to_string(std::exchange(m_dropped, 0))
                    + " lines were dropped\"}\n";
            m_pending += m_line;
        }
        m_line.clear();
        const auto n = ::write(m_fd, m_pending.data(), m_pending.size());
        if (n > 0)
            m_pending.erase(0, static_cast<std::size_t>(n));
        return 0;
    }

private:
    /// Limit of the bytes buffered for the reader of the output.
    static constexpr std::size_t maxPendingBytes = 64 * 1024;

    int m_fd;
    std::string m_line;
    std::string m_pending;
    std::uint64_t m_dropped { 0 };
};

} // namespace

void setUpStandardOutputLog(node::LogLevel lowest)
{
    static NonBlockingOutput buffer(STDOUT_FILENO);
    static std::ostream stream(&buffer);
    setUpLog(stream, lowest, LogFormat::Json);
}

} // namespace rosemarymill::runtime
