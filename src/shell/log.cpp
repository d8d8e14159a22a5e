#include "log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>

#include <array>

namespace cornelwind {
namespace {

    constexpr std::array partNames { "main", "caller", "server", "peer", "platform", "decision", "admin" };

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

} // namespace

void startLog(const std::string& instance, const std::string& level)
{
    const log4cxx::LogString pattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p instance=" + instance + " part=%c %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void logLine(LogLevel level, LogPart part, const std::string& sentence)
{
    const auto logger = log4cxx::Logger::getLogger(partNames.at(static_cast<std::size_t>(part)));
    const auto log4cxxLevel = levelOf(level);
    if (logger->isEnabledFor(log4cxxLevel))
        logger->forcedLog(log4cxxLevel, "msg=\"" + sentence + "\"");
}

std::string escapeForLog(std::string_view text, std::size_t most)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string escaped;
    for (const char c : text) {
        if (escaped.size() >= most) {
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
