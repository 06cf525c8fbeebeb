#include <jaydrift/soak/key_value_store.hpp>

#include <jaydrift/codec/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace jaydrift::soak {

namespace {

using codec::json;
using codec::json_writer;

/// Items in a page of a range.
constexpr std::size_t page_items = 200;

/// Changes in a reply to a watch. More are sent if they have the revision of
/// the last one.
constexpr std::size_t max_watch_events = 500;

/// How long the history is kept, and how often its age is looked at.
constexpr time_ms history_retention{20000};
constexpr time_ms mark_interval{500};

int hex_digit(char digit)
{
    return digit >= 'a'   ? digit - 'a' + 10
           : digit >= 'A' ? digit - 'A' + 10
                          : digit - '0';
}

/// Returns the percent-decoded value of a query parameter; empty if absent.
std::string parameter(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        auto const part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), part.size() + 1));
        if (!part.starts_with(name) || part.size() <= name.size()
            || part[name.size()] != '=')
        {
            continue;
        }
        std::string value;
        for (auto i = name.size() + 1; i < part.size(); ++i)
        {
            if (part[i] == '%' && i + 2 < part.size())
            {
                value += static_cast<char>(hex_digit(part[i + 1]) * 16
                                           + hex_digit(part[i + 2]));
                i += 2;
            }
            else
            {
                value += part[i];
            }
        }
        return value;
    }
    return {};
}

/// Returns 0 if the parameter is absent or not a number.
std::uint64_t number_parameter(std::string_view query, std::string_view name)
{
    auto const text = parameter(query, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http::response with_body(unsigned status, rapidjson::StringBuffer const& body)
{
    return {
        status, {{"Content-Type", "application/json"}}, codec::text_of(body)};
}

template<class Item>
void write_item(json_writer& out, std::string_view key, Item const& item)
{
    codec::put_field(out, "key", key);
    codec::put_field(out, "value", item.value);
    codec::put_key(out, "revision");
    out.Uint64(item.revision);
    codec::put_key(out, "created");
    out.Uint64(item.created);
}

void write_revision(json_writer& out, std::string_view name,
                    std::uint64_t revision)
{
    codec::put_key(out, name);
    out.Uint64(revision);
}

} // namespace

std::optional<http::response>
key_value_store::handle(http::request const& message)
{
    std::string_view const target = message.target;
    auto const split = target.find('?');
    auto const path = target.substr(0, split);
    auto const query = split == std::string_view::npos
                           ? std::string_view()
                           : target.substr(split + 1);
    if (path == "/api/kv-key")
    {
        return read_item(query);
    }
    if (path == "/api/kv-range")
    {
        return read_range(query);
    }
    if (path == "/api/kv-watch")
    {
        return watch(query);
    }
    if (path == "/api/kv-txn")
    {
        return transact(message.body);
    }
    return http::response{404, {}, {}};
}

http::response key_value_store::read_item(std::string_view query) const
{
    auto const found = items_.find(parameter(query, "key"));
    if (found == items_.end())
    {
        return {404, {}, {}};
    }
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    write_item(out, found->first, found->second);
    write_revision(out, "atRev", revision_);
    out.EndObject();
    return with_body(200, buffer);
}

http::response key_value_store::read_range(std::string_view query) const
{
    auto const prefix = parameter(query, "prefix");
    auto const after = parameter(query, "after");
    auto next =
        after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    codec::put_key(out, "items");
    out.StartArray();
    std::size_t count = 0;
    for (; next != items_.end() && next->first.starts_with(prefix)
           && count < page_items;
         ++next, ++count)
    {
        out.StartObject();
        write_item(out, next->first, next->second);
        out.EndObject();
    }
    out.EndArray();
    codec::put_key(out, "hasMore");
    out.Bool(next != items_.end() && next->first.starts_with(prefix));
    write_revision(out, "atRev", revision_);
    out.EndObject();
    return with_body(200, buffer);
}

std::optional<http::response>
key_value_store::watch(std::string_view query) const
{
    auto const prefix = parameter(query, "prefix");
    auto const after = number_parameter(query, "after");
    if (after < compacted_revision_)
    {
        return http::response{410, {}, {}};
    }
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    codec::put_key(out, "events");
    out.StartArray();
    std::size_t count = 0;
    auto at = revision_;
    auto next = std::partition_point(
        history_.begin(), history_.end(),
        [after](auto const& each) { return each.revision <= after; });
    for (std::uint64_t last = 0; next != history_.end(); ++next)
    {
        auto const& each = *next;
        if (!each.key.starts_with(prefix))
        {
            continue;
        }
        if (count >= max_watch_events && each.revision != last)
        {
            at = last;
            break;
        }
        ++count;
        last = each.revision;
        out.StartObject();
        if (each.written)
        {
            write_item(out, each.key, *each.written);
        }
        else
        {
            codec::put_field(out, "key", each.key);
            write_revision(out, "revision", each.revision);
            codec::put_boolean(out, "deleted", true);
        }
        out.EndObject();
    }
    out.EndArray();
    write_revision(out, "atRev", at);
    out.EndObject();
    if (count == 0)
    {
        return std::nullopt;
    }
    return with_body(200, buffer);
}

http::response key_value_store::transact(std::string_view body)
{
    auto const root = codec::parse_object(body);
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    auto expectations_hold = true;
    out.StartObject();
    codec::put_key(out, "items");
    out.StartArray();
    if (auto const* const expected = codec::array(root, "expected"))
    {
        for (auto const& each : expected->GetArray())
        {
            auto const found = items_.find(codec::text(each, "key"));
            auto const present =
                found == items_.end() ? 0 : found->second.revision;
            expectations_hold = expectations_hold
                                && present
                                       == static_cast<std::uint64_t>(
                                           codec::integer(each, "revision"));
            if (found != items_.end())
            {
                out.StartObject();
                write_item(out, found->first, found->second);
                out.EndObject();
            }
        }
    }
    out.EndArray();
    out.EndObject();
    if (!expectations_hold)
    {
        return with_body(412, buffer);
    }
    ++revision_;
    if (auto const* const puts = codec::array(root, "puts"))
    {
        for (auto const& each : puts->GetArray())
        {
            apply_put(codec::text(each, "key"), codec::text(each, "value"));
        }
    }
    if (auto const* const removals = codec::array(root, "remove"))
    {
        for (auto const& each : removals->GetArray())
        {
            apply_removal(codec::as_text(each));
        }
    }
    rapidjson::StringBuffer reply;
    json_writer result(reply);
    result.StartObject();
    write_revision(result, "revision", revision_);
    result.EndObject();
    return with_body(200, reply);
}

void key_value_store::apply_put(std::string const& key, std::string value)
{
    auto& item = items_[key];
    item.created = item.created == 0 ? revision_ : item.created;
    item.revision = revision_;
    item.value = std::move(value);
    history_.push_back({key, revision_, item});
}

void key_value_store::apply_removal(std::string const& key)
{
    if (items_.erase(key) > 0)
    {
        history_.push_back({key, revision_, std::nullopt});
    }
}

std::string_view key_value_store::value(std::string_view key) const
{
    auto const found = items_.find(key);
    return found == items_.end() ? std::string_view{} : found->second.value;
}

void key_value_store::put(std::string const& key, std::string const& value)
{
    ++revision_;
    apply_put(key, value);
}

void key_value_store::remove(std::string const& key)
{
    ++revision_;
    apply_removal(key);
}

void key_value_store::compact(std::uint64_t revision)
{
    std::erase_if(history_, [revision](auto const& each) {
        return each.revision <= revision;
    });
    compacted_revision_ = std::max(compacted_revision_, revision);
}

void key_value_store::expire_history(time_ms now)
{
    if (!marks_.empty() && now - marks_.back().at < mark_interval)
    {
        return;
    }
    marks_.push_back({now, revision_});
    if (now - marks_.front().at > history_retention)
    {
        compact(marks_.front().revision);
        marks_.pop_front();
    }
}

} // namespace jaydrift::soak
