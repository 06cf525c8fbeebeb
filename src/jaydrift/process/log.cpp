#include <jaydrift/process/log.hpp>

#include "stdout_writer.hpp"

#include <string>

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace jaydrift::process {

namespace {

log4cxx::LevelPtr log4cxx_level(log_level level)
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

void start_log(log_level min_level, log_target target)
{
    log4cxx::LayoutPtr const layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p [%c] %m%n"));
    log4cxx::AppenderPtr appender;
    if (target == log_target::standard_output)
    {
        appender = std::make_shared<stdout_appender>(
            layout, std::make_shared<stdout_writer>());
    }
    else
    {
        appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    }
    auto const root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx_level(min_level));
}

void log_line(log_level level, std::string_view part, std::string_view text)
{
    auto const logger = log4cxx::Logger::getLogger(std::string(part));
    auto const logger_level = log4cxx_level(level);
    if (logger->isEnabledFor(logger_level))
    {
        logger->forcedLog(logger_level, std::string(text));
    }
}

} // namespace jaydrift::process
