#ifndef JAYDRIFT_CORE_RESOURCES_HPP
#define JAYDRIFT_CORE_RESOURCES_HPP

#include <cstdint>

namespace jaydrift {

/// Amount of processors, memory and accelerators of a VM or a task.
struct resources
{
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(resources const&) const = default;

    resources& operator+=(resources const& other)
    {
        millicores += other.millicores;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(resources const& other)
    {
        millicores -= other.millicores;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
};

inline resources operator+(resources a, resources const& b) { return a += b; }

inline resources operator-(resources a, resources const& b) { return a -= b; }

/// Tells whether `demand` is at most `capacity` in every dimension.
inline bool fits(resources const& demand, resources const& capacity)
{
    return demand.millicores <= capacity.millicores
           && demand.memory_mb <= capacity.memory_mb
           && demand.accelerators <= capacity.accelerators;
}

} // namespace jaydrift

#endif // JAYDRIFT_CORE_RESOURCES_HPP
