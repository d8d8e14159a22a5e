#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace cornelwind {

/// Notices that a file was replaced or written, by its time of modification and its size.
class FileWatch {
public:
    explicit FileWatch(std::string path);

    /// @return whether it differs from how it was found last; a file that is missing or not regular does not
    bool changed();

private:
    struct Stamp {
        std::filesystem::file_time_type modified;
        std::uintmax_t size = 0;

        friend bool operator==(const Stamp&, const Stamp&) = default;
    };

    std::optional<Stamp> read() const;

    std::string m_path;
    std::optional<Stamp> m_last;
};

} // namespace cornelwind
