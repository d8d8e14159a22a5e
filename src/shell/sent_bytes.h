#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cstddef>

namespace cornelwind {

/// Computes how much of a message the other side has acknowledged. The kernel buffers up to 4 MB at once and accepts more only when
/// a third of that is acknowledged, so the number of bytes written says little about a slow reader.
///
/// @param socket descriptor of the connection
/// @param written bytes of the message that the kernel has accepted
/// @return bytes that the other side has acknowledged; `written` if the kernel does not tell
inline std::size_t acknowledgedBytes(int socket, std::size_t written)
{
    int queued = 0;
    if (::ioctl(socket, SIOCOUTQ, &queued) != 0 || queued < 0)
        return written;
    return written - std::min(written, static_cast<std::size_t>(queued));
}

} // namespace cornelwind
