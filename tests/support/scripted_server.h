#pragma once

#include "net.h"

#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace cornelwind::test {

/// A backend server in the process of the test, which plays a script on each connection. It can send any bytes at any moment of
/// a request, and end the connection in any way.
class ScriptedServer {
public:
    /// Called for each connection, on a thread of its own. The connection is closed when it returns.
    using Script = std::function<void(Socket& connection)>;

    explicit ScriptedServer(Script script);
    /// Ends all connections and waits until their scripts have returned.
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    /// @return `host:port`
    std::string address() const { return "127.0.0.1:" + std::to_string(portOf(m_listener)); }

private:
    struct Connection {
        Socket socket;
        std::thread thread;
    };

    void accept();

    Script m_script;
    Socket m_listener;
    std::mutex m_mutex;
    std::list<Connection> m_connections;
    bool m_stopped = false;
    std::thread m_thread;
};

/// Ends a connection with a reset, whatever has been read and written.
void resetConnection(Socket& socket);

/// Reads the head of a request and leaves its body.
///
/// @return start line and headers as received; empty if the connection ends before they are complete
std::string readHead(const Socket& socket);

/// Reads and discards bytes.
///
/// @return whether all of them arrived before the connection ended
bool discardBytes(const Socket& socket, std::size_t count);

} // namespace cornelwind::test
