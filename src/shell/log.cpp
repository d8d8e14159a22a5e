#include "log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <utility>

namespace cornelwind {
namespace {

    constexpr std::array componentNames { "main", "caller", "server", "peer", "platform", "decision", "admin", "request" };
    // PIPE_BUF on Linux: a pipe that polls as writable accepts this many bytes without blocking (POSIX).
    constexpr std::size_t WRITE_CHUNK_BYTES = 4096;

    /// Bounded queue of log lines that are not yet written to standard output.
    class LogQueue {
    public:
        void push(const std::string& line)
        {
            const std::lock_guard lock(m_mutex);
            if (m_bytes.size() - m_written + line.size() > MAX_QUEUED_LOG_BYTES) {
                ++m_dropped;
                return;
            }
            m_bytes += line;
        }

        void flush()
        {
            const std::lock_guard lock(m_mutex);
            while (m_written < m_bytes.size() && isWritable()) {
                const std::size_t size = std::min(WRITE_CHUNK_BYTES, m_bytes.size() - m_written);
                const ssize_t written = ::write(STDOUT_FILENO, m_bytes.data() + m_written, size);
                if (written <= 0)
                    break;
                m_written += static_cast<std::size_t>(written);
            }
            m_bytes.erase(0, m_written);
            m_written = 0;
        }

        std::uint64_t dropped()
        {
            const std::lock_guard lock(m_mutex);
            return m_dropped;
        }

    private:
        static bool isWritable()
        {
            pollfd output { STDOUT_FILENO, POLLOUT, 0 };
            return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT);
        }

        std::mutex m_mutex;
        std::string m_bytes;
        std::size_t m_written = 0;
        std::uint64_t m_dropped = 0;
    };

    LogQueue& queue()
    {
        static LogQueue instance;
        return instance;
    }

    /// Formats log4cxx events and appends them to the queue.
    class QueueAppender final : public log4cxx::AppenderSkeleton {
    public:
        explicit QueueAppender(log4cxx::LayoutPtr layout)
            : m_lineLayout(std::move(layout))
        {
        }

        void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override
        {
            log4cxx::LogString line;
            m_lineLayout->format(line, event, pool);
            queue().push(line);
        }

        void close() override { }
        bool requiresLayout() const override { return false; }

    private:
        log4cxx::LayoutPtr m_lineLayout;
    };

    log4cxx::LevelPtr levelOf(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warn:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getInfo();
    }

    void write(LogLevel level, LogComponent component, const std::string& fields)
    {
        static std::array<log4cxx::LoggerPtr, componentNames.size()> loggers;
        log4cxx::LoggerPtr& logger = loggers.at(static_cast<std::size_t>(component));
        if (!logger)
            logger = log4cxx::Logger::getLogger(componentNames.at(static_cast<std::size_t>(component)));
        const auto log4cxxLevel = levelOf(level);
        if (logger->isEnabledFor(log4cxxLevel))
            logger->forcedLog(log4cxxLevel, fields);
    }

} // namespace

void configureLog(const std::string& instance, const std::string& level)
{
    const log4cxx::LogString pattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p instance=" + instance + " part=%c %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(std::make_shared<QueueAppender>(layout));
    root->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void logMessage(LogLevel level, LogComponent component, const std::string& message)
{
    write(level, component, "msg=\"" + message + "\"");
}

void logEvent(LogLevel level, LogComponent component, const char* event, const std::string& fields)
{
    write(level, component, "event=" + std::string(event) + fields);
}

void flushLog()
{
    queue().flush();
}

std::uint64_t droppedLogLines()
{
    return queue().dropped();
}

std::string escapeForLog(std::string_view text, std::size_t maxLength)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string escaped;
    for (const char c : text) {
        if (escaped.size() >= maxLength) {
            escaped += "...";
            break;
        }
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = byte >= 0x20 && byte < 0x7f && c != '"' && c != '\\';
        if (plain) {
            escaped += c;
            continue;
        }
        escaped += "\\x";
        escaped += digits[byte >> 4];
        escaped += digits[byte & 0xf];
    }
    return escaped;
}

} // namespace cornelwind
