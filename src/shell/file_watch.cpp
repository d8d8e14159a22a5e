#include "file_watch.h"

#include <system_error>
#include <utility>

namespace cornelwind {

FileWatch::FileWatch(std::string path)
    : m_path(std::move(path))
    , m_lastState(read())
{
}

bool FileWatch::changed()
{
    const auto now = read();
    if (!now || now == m_lastState)
        return false;
    m_lastState = now;
    return true;
}

std::optional<FileWatch::FileState> FileWatch::read() const
{
    std::error_code error;
    if (!std::filesystem::is_regular_file(m_path, error))
        return std::nullopt;
    FileState state { std::filesystem::last_write_time(m_path, error), 0 };
    if (!error)
        state.size = std::filesystem::file_size(m_path, error);
    return error ? std::nullopt : std::optional(state);
}

} // namespace cornelwind
