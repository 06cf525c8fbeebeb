#include "stdout_writer.hpp"

#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace jaydrift::process {

stdout_writer::stdout_writer()
{
    auto const flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
    {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void stdout_writer::close(log4cxx::helpers::Pool&) {}

void stdout_writer::flush(log4cxx::helpers::Pool&) {}

void stdout_writer::write(log4cxx::LogString const& line,
                          log4cxx::helpers::Pool&)
{
    auto text = line;
    if (dropped_ > 0)
    {
        text = "dropped " + std::to_string(dropped_) + " log lines\n" + line;
    }
    if (::write(STDOUT_FILENO, text.data(), text.size())
        == static_cast<ssize_t>(text.size()))
    {
        dropped_ = 0;
    }
    else
    {
        ++dropped_;
    }
}

} // namespace jaydrift::process
