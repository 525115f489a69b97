#pragma once

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

/// Access to files of the source tree for tests.
namespace rosemarymill::test {

/// Contents of a file below the root of the source tree. Throws when it cannot be read.
inline std::string readSourceFile(const std::string& path)
{
    std::ifstream file(std::string(ROSEMARYMILL_SOURCE_DIR) + "/" + path, std::ios::binary);
    if (!file)
        throw std::runtime_error(path + " cannot be read");
    return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace rosemarymill::test
