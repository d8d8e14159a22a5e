#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cstddef>

namespace cornelwind {

/// Computes how much of a message the other side has taken. The kernel takes up to some MB at once and more only when a third of
/// that is gone, so the bytes written say little of a slow reader.
///
/// @param socket descriptor of the connection
/// @param written bytes of the message that the kernel has taken
/// @return bytes that the other side has acknowledged
inline std::size_t acknowledgedBytes(int socket, std::size_t written)
{
    int queued = 0;
    if (::ioctl(socket, SIOCOUTQ, &queued) != 0 || queued < 0)
        return written;
    return written - std::min(written, static_cast<std::size_t>(queued));
}

} // namespace cornelwind
