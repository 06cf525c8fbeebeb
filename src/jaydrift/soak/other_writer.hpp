#ifndef JAYDRIFT_SOAK_OTHER_WRITER_HPP
#define JAYDRIFT_SOAK_OTHER_WRITER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/effect.hpp>

namespace jaydrift::soak {

struct soak_state;

/// Another writer in the store, which leaves odd entries under the prefixes
/// that the daemons read. It never touches keys of the workers, the operator or
/// the daemons, so that nothing may change for them.
namespace other_writer {

/// Writes, replaces or removes one odd entry if a change is due.
void tick(soak_state& state, time_ms now, effect_list& effects);

/// Removes all odd entries from the store. Some have hundreds of kilobytes,
/// which a slow link would carry for longer than the limits of other checks.
void suspend(soak_state& state);

/// Writes an odd value under each key that `suspend` removed.
void resume(soak_state& state, time_ms now, effect_list& effects);

} // namespace other_writer

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_OTHER_WRITER_HPP
