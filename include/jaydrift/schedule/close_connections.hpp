#ifndef JAYDRIFT_SCHEDULE_CLOSE_CONNECTIONS_HPP
#define JAYDRIFT_SCHEDULE_CLOSE_CONNECTIONS_HPP

namespace jaydrift::schedule {

/// Effect: closes each caller's connection after the next response on it.
struct close_connections
{
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CLOSE_CONNECTIONS_HPP
