#pragma once

#include "cornelwind/types.h"
#include "http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <utility>

namespace cornelwind {

/// Runs an action once after a delay. Lets a component run in simulated time.
class OneShotTimer {
public:
    virtual ~OneShotTimer() = default;

    /// Schedules the action, in place of one that is still to run.
    virtual void start(Duration delay, std::function<void()> action) = 0;
    /// Drops the action that is still to run, if any.
    virtual void cancel() = 0;
    /// @return the current time
    virtual Time now() const = 0;
};

/// A timer of an event loop.
class AsioTimer final : public OneShotTimer {
public:
    /// @param io runs the actions; must outlive this object
    explicit AsioTimer(boost::asio::io_context& io)
        : m_timer(io)
    {
    }

    void start(Duration delay, std::function<void()> action) override
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([action = std::move(action)](boost::system::error_code error) {
            if (!error)
                action();
        });
    }

    void cancel() override { m_timer.cancel(); }
    Time now() const override { return steadyNow(); }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace cornelwind
