#ifndef JAYDRIFT_STANDIN_SET_NOISE_HPP
#define JAYDRIFT_STANDIN_SET_NOISE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Event: sets how much tasks of one kind slow down tasks of another kind that
/// run on the same worker.
struct set_noise
{
    /// Kind that is slowed down.
    std::string kind;
    /// Kind that causes the slowdown.
    std::string noisy_kind;
    /// Factor of the run time in thousandths, limited to 1 to 100000; 1000
    /// means no slowdown.
    std::int64_t permille = 1000;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_SET_NOISE_HPP
