#ifndef JAYDRIFT_SOAK_TICK_DUE_HPP
#define JAYDRIFT_SOAK_TICK_DUE_HPP

namespace jaydrift::soak {

/// Event: a timer is due.
struct tick_due
{
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_TICK_DUE_HPP
