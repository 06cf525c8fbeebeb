#ifndef JAYDRIFT_SOAK_KEY_VALUE_STORE_HPP
#define JAYDRIFT_SOAK_KEY_VALUE_STORE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/http/request.hpp>
#include <jaydrift/http/response.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::soak {

/// An in-memory replacement of the platform's store: items, transactions and
/// watches. Item values are opaque.
class key_value_store
{
public:
    /// Answers a request; an unknown path gets status 404. Returns nothing for
    /// a watch without changes: the caller repeats it later.
    ///
    /// @throws codec::codec_error if a transaction is malformed.
    std::optional<http::response> handle(http::request const& message);

    /// Returns the value of an item; empty if there is none.
    std::string_view value(std::string_view key) const;
    void put(std::string const& key, std::string const& value);
    void remove(std::string const& key);

    /// Drops the history that watches read. A watch that starts at an earlier
    /// revision gets status 410.
    void compact() { compact(revision_); }

    /// Drops the history that is older than the store keeps it. To be called
    /// again and again; `now` must not go back.
    void expire_history(time_ms now);

    std::uint64_t revision() const { return revision_; }

private:
    struct item
    {
        std::string value;
        /// Revisions of the last write and of the first one.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct change
    {
        std::string key;
        std::uint64_t revision = 0;

        /// Absent if the item was removed.
        std::optional<item> written;
    };

    /// The store's revision at a time.
    struct mark
    {
        time_ms at;
        std::uint64_t revision = 0;
    };

    /// Drops the history up to a revision.
    void compact(std::uint64_t revision);

    /// Both write at the present revision.
    void apply_put(std::string const& key, std::string value);
    void apply_removal(std::string const& key);
    http::response read_item(std::string_view query) const;
    http::response read_range(std::string_view query) const;
    std::optional<http::response> watch(std::string_view query) const;
    http::response transact(std::string_view body);

    std::map<std::string, item, std::less<>> items_;

    /// Changes by revision.
    std::deque<change> history_;
    std::deque<mark> marks_;
    std::uint64_t revision_ = 1;

    /// `history_` has only changes after this revision.
    std::uint64_t compacted_revision_ = 0;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_KEY_VALUE_STORE_HPP
