#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace cornelwind {

/// Detects that a file was replaced or written, by its modification time and size.
class FileWatch {
public:
    /// Records the current state of the file.
    explicit FileWatch(std::string path);

    /// Compares the file with its last recorded state and records the new state.
    ///
    /// @return whether the file changed; false if it is missing, unreadable or not a regular file
    bool changed();

private:
    struct FileState {
        std::filesystem::file_time_type modified;
        std::uintmax_t size = 0;

        friend bool operator==(const FileState&, const FileState&) = default;
    };

    /// @return the current state, or nothing if the file is missing, unreadable or not a regular file
    std::optional<FileState> read() const;

    std::string m_path;
    std::optional<FileState> m_lastState;
};

} // namespace cornelwind
