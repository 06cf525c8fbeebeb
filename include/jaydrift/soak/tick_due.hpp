#ifndef JAYDRIFT_SOAK_TICK_DUE_HPP
#define JAYDRIFT_SOAK_TICK_DUE_HPP

namespace jaydrift::soak {

/// Event: the time of `next_timer` has come.
struct tick_due
{
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_TICK_DUE_HPP
