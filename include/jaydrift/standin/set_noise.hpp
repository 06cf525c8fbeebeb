#ifndef JAYDRIFT_STANDIN_SET_NOISE_HPP
#define JAYDRIFT_STANDIN_SET_NOISE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Sets how much one kind slows another down while both run.
struct set_noise
{
    /// Kind that is slowed down.
    std::string kind;
    std::string noisy_kind;
    /// Factor of the run time in thousandths; 1000 means no noise.
    std::int64_t permille = 1000;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_SET_NOISE_HPP
