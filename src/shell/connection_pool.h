#pragma once

#include "cornelwind/types.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwind {

/// Idle client connections that can carry another request, by server address.
///
/// No response is due on an idle connection, so it is closed as soon as the server sends or closes.
class ConnectionPool {
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// @return an open connection to the address on which nothing has arrived, or nothing if there is none
    std::optional<Socket> acquire(const Endpoint& address);

    /// Adds a connection. It is closed at once if there are enough for the address.
    ///
    /// @param idleTime time after which it is no longer used
    void release(const Endpoint& address, Socket socket, Duration idleTime);

    /// Removes the connections that are closed or whose idle time has passed.
    void closeExpired();

private:
    struct IdleConnection {
        Socket socket;
        Time until;
    };
    using IdleConnectionPtr = std::shared_ptr<IdleConnection>;

    static void closeWhenReadable(const IdleConnectionPtr& connection);

    std::map<std::string, std::vector<IdleConnectionPtr>> m_idle;
};

/// @param keepAlive value of the Keep-Alive header of a response; may be empty
/// @return how long to pool its connection: the stated timeout less a margin, at most 20 s, which also apply if
///     none is stated
Duration idleTimeOf(std::string_view keepAlive);

} // namespace cornelwind
