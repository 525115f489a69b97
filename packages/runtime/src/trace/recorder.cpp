#include <rosemarymill/runtime/trace/recorder.hpp>

#include <rosemarymill/wire/trace/trace.hpp>

#include <cerrno>
#include <system_error>
#include <utility>

namespace rosemarymill::runtime {

Result<std::unique_ptr<TraceRecorder>> TraceRecorder::open(const std::string& path, const node::Settings& settings)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    if (!file)
        return std::error_code(errno, std::system_category());
    file << wire::trace::formatSettings(settings) << '\n';
    return std::unique_ptr<TraceRecorder>(new TraceRecorder(std::move(file)));
}

void TraceRecorder::record(const node::Event& event, const node::Effects& effects)
{
    m_file << wire::trace::formatEvent(event) << '\n' << wire::trace::formatEffects(effects) << '\n';
    m_file.flush();
}

} // namespace rosemarymill::runtime
