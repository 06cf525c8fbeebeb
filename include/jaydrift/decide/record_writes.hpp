#ifndef JAYDRIFT_DECIDE_RECORD_WRITES_HPP
#define JAYDRIFT_DECIDE_RECORD_WRITES_HPP

#include <cstdint>

namespace jaydrift {

struct shard_record;
struct store_entry;
struct store_reply;

} // namespace jaydrift

namespace jaydrift::decide {

struct context;
struct shard_view;

/// Writes shard records with compare-and-swap. If the reply to a write is lost,
/// the record is read back and its token compared with the write's.
namespace record_writes {

/// State of a write after a reply or failure.
enum class outcome : std::uint8_t
{
    in_progress,
    /// The store did not reply or refused the call for now. The write may have
    /// taken effect and goes on.
    unknown,
    written,
    /// The record was changed by another write.
    superseded
};

/// Starts to write the shard's record, in place of an unfinished write.
void start(context& ctx, shard_view& view, shard_record const& value);

/// Sends the next call of the shard's write if it is due.
void advance(context& ctx, shard_view& view);

/// Handle the reply to, or the failure of, a call of the shard's write. @pre
/// `view.write`
outcome on_replied(context& ctx, shard_view& view, store_reply const& reply);
outcome on_failed(context& ctx, shard_view& view, bool never_sent);

/// Adopts a record that was read from the store. Returns false if it belongs to
/// another shard, cannot be read or is not newer than the known one.
bool adopt_if_newer(shard_view& view, store_entry const& entry);

} // namespace record_writes

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RECORD_WRITES_HPP
