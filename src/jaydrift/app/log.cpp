#include <jaydrift/app/log.hpp>

#include <string>

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace jaydrift::app {

namespace {

log4cxx::LevelPtr level_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

} // namespace

void start_log(log_level least)
{
    auto const layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p [%c] %m%n"));
    auto const appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    auto const root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(level_of(least));
}

void log_line(log_level level, std::string_view part, std::string_view text)
{
    auto const logger = log4cxx::Logger::getLogger(std::string(part));
    auto const severity = level_of(level);
    if (logger->isEnabledFor(severity))
    {
        logger->forcedLog(severity, std::string(text));
    }
}

} // namespace jaydrift::app
