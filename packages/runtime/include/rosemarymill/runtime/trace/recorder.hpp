#pragma once

#include <rosemarymill/core/base/result.hpp>
#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/core/node/state.hpp>

#include <fstream>
#include <memory>
#include <string>

/// Records the events of a process for the replay program.
namespace rosemarymill::runtime {

/// Appends each event and its effects to a file as JSON lines.
class TraceRecorder {
public:
    /// Creates or truncates the file and writes the settings. The error is that of opening the file.
    [[nodiscard]] static Result<std::unique_ptr<TraceRecorder>> open(
        const std::string& path, const node::Settings& settings);

    void record(const node::Event& event, const node::Effects& effects);

private:
    explicit TraceRecorder(std::ofstream file)
        : m_file(std::move(file))
    {
    }

    std::ofstream m_file;
};

} // namespace rosemarymill::runtime
