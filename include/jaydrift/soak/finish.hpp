#ifndef JAYDRIFT_SOAK_FINISH_HPP
#define JAYDRIFT_SOAK_FINISH_HPP

namespace jaydrift::soak {

/// Effect: ends the run.
struct finish
{
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_FINISH_HPP
