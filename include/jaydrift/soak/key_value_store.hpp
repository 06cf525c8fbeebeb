#ifndef JAYDRIFT_SOAK_KEY_VALUE_STORE_HPP
#define JAYDRIFT_SOAK_KEY_VALUE_STORE_HPP

#include <jaydrift/http/request.hpp>
#include <jaydrift/http/response.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::soak {

/// The platform's store in memory: items, transactions and watches.
class key_value_store
{
public:
    /// Handles a request. Returns nothing for a watch without changes, which
    /// is asked again later.
    std::optional<http::response> handle(http::request const& message);

    void put(std::string const& key, std::string const& value);
    void remove(std::string const& key);

    /// Forgets the history that watches read.
    void compact();

    std::uint64_t revision() const { return revision_; }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct change
    {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<item> written;
    };

    void apply_put(std::string const& key, std::string value);
    void apply_removal(std::string const& key);
    http::response read_item(std::string_view query) const;
    http::response read_range(std::string_view query) const;
    std::optional<http::response> watch(std::string_view query) const;
    http::response transact(std::string_view body);

    std::map<std::string, item, std::less<>> items_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_KEY_VALUE_STORE_HPP
