#ifndef JAYDRIFT_PROCESS_STDOUT_WRITER_HPP
#define JAYDRIFT_PROCESS_STDOUT_WRITER_HPP

#include <log4cxx/helpers/writer.h>
#include <log4cxx/writerappender.h>

namespace jaydrift::process {

/// Passes formatted lines to a writer. Makes the protected constructor of
/// `WriterAppender` available.
class stdout_appender : public log4cxx::WriterAppender
{
public:
    stdout_appender(log4cxx::LayoutPtr const& layout,
                    log4cxx::helpers::WriterPtr writer)
        : WriterAppender(layout, writer)
    {
    }
};

/// Writes lines to standard output without blocking, and drops those that
/// standard output does not take at once. The appender holds its own lock while
/// it calls the writer.
class stdout_writer : public log4cxx::helpers::Writer
{
public:
    /// Makes standard output non-blocking.
    stdout_writer();

    void close(log4cxx::helpers::Pool& pool) override;
    void flush(log4cxx::helpers::Pool& pool) override;

    /// Drops the line if standard output does not take all of it; the beginning
    /// of the line may have been written. The next line that is written whole
    /// reports how many were dropped.
    void write(log4cxx::LogString const& line,
               log4cxx::helpers::Pool& pool) override;

private:
    unsigned long dropped_ = 0;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_STDOUT_WRITER_HPP
