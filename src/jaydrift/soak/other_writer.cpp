#include "other_writer.hpp"

#include <jaydrift/codec/base64.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <array>
#include <iterator>
#include <span>
#include <string>
#include <string_view>

namespace jaydrift::soak::other_writer {

namespace {

using namespace std::string_view_literals;

/// The interval between changes is the minimum and a random time below the
/// jitter.
constexpr time_ms min_interval{100};
constexpr std::uint64_t interval_jitter_ms = 400;

/// Levels of a nested value; a recursive parser runs out of stack.
constexpr std::size_t nested_levels = 100000;

/// Values that are odd for most fields, as JSON. `null` stands for a missing
/// field, and `nested` for `nested_levels` arrays.
constexpr auto nested = "nested"sv;
constexpr std::array odd_values{"null"sv,        "{}"sv,
                                "[]"sv,          "true"sv,
                                "-1"sv,          "0.5"sv,
                                "1e300"sv,       "9223372036854775807"sv,
                                "\"\""sv,        "18446744073709551616"sv,
                                "\"\\u0000\""sv, nested};

constexpr std::array odd_addresses{
    "\"127.0.0.1:65536\""sv, "\"127.0.0.1:99999999999999999999\""sv,
    "\"127.0.0.1:-1\""sv,    "\"127.0.0.1:0\""sv,
    "\"127.0.0.1:80x\""sv,   "\"127.0.0.1:\""sv,
    "\"127.0.0.1\""sv,       "\":80\""sv,
    "\"256.0.0.1:80\""sv,    "\"worker.example:80\""sv,
    "\"[::1]:80\""sv,        "\"\""sv};

constexpr std::array odd_capacities{
    R"({"cpu":9223372036854775807,"memMb":9223372036854775807})"sv,
    R"({"cpu":-8000,"memMb":-9223372036854775808})"sv,
    R"({"cpu":8999999999999999,"memMb":8999999999999999,"gpu":1e15})"sv,
    R"({"cpu":1e300,"memMb":32000})"sv,
    R"({"cpu":"8000","memMb":32000})"sv,
    R"({"memMb":32000})"sv,
    R"([8000,32000])"sv};

constexpr std::array odd_lists{R"([1,{},null])"sv, R"("a")"sv, R"({"a":1})"sv,
                               R"([["a"]])"sv};

constexpr std::array odd_states{R"("warm")"sv, R"("READY")"sv,
                                R"(["ready"])"sv};

struct field
{
    std::string_view name;

    /// A valid value as JSON.
    std::string_view value;

    /// Odd values beside those that are odd for most fields.
    std::span<std::string_view const> odd;
};

constexpr auto unreachable = "\"127.0.0.1:1\""sv;

constexpr std::array worker_fields{
    field{"service", R"("batch")", odd_lists},
    field{"address", unreachable, odd_addresses},
    field{"address", unreachable, odd_addresses},
    field{"zone", R"("a")", odd_lists},
    field{"state", R"("ready")", odd_states},
    field{"capacity", R"({"cpu":8000,"memMb":32000})", odd_capacities},
    field{"labels", R"(["a","rack-1"])", odd_lists},
    field{"born", "1", odd_lists}};

constexpr std::array member_fields{field{"node", R"("odd")", odd_lists},
                                   field{"address", unreachable, odd_addresses},
                                   field{"address", unreachable, odd_addresses},
                                   field{"cpu_share", "1", odd_lists},
                                   field{"region", R"("a")", odd_lists}};

constexpr std::array owner_fields{field{"node", R"("odd")", odd_lists},
                                  field{"address", unreachable, odd_addresses},
                                  field{"term", "1000", odd_lists},
                                  field{"incarnation", "1", odd_lists}};

constexpr std::array roster_fields{field{"nodes", R"(["odd"])", odd_lists}};

/// Keys under which odd entries are left.
struct area
{
    std::string_view prefix;

    /// Fields of the records under the prefix. If there are none, the value is
    /// never an object.
    std::span<field const> fields;
};

constexpr std::array areas{area{"servers/", worker_fields},
                           area{"jaydrift/coordination/member/", member_fields},
                           area{"jaydrift/coordination/owner/", owner_fields},
                           area{"jaydrift/coordination/roster/", roster_fields},
                           area{"jaydrift/coordination/", {}},
                           area{"jaydrift/shards/0/work/", {}},
                           area{"jaydrift/shards/0/progress/", {}},
                           area{"jaydrift/shards/0/moved/", {}},
                           area{"op/evacuate/", {}},
                           area{"op/", {}}};
constexpr std::size_t worker_area = 0;

/// Half of the entries are among those of the workers.
std::size_t random_area(random_source& random)
{
    return random.below(2) == 0 ? worker_area : random.below(areas.size());
}

template<class Range>
auto const& any_of(random_source& random, Range const& range)
{
    return range[random.below(std::size(range))];
}

std::string json_of(std::string_view value)
{
    return value != nested ? std::string(value)
                           : std::string(nested_levels, '[')
                                 + std::string(nested_levels, ']');
}

/// A stored value and what is odd about it.
struct odd_value
{
    std::string what;
    std::string text;
};

/// Returns an object of which one field has an odd value.
odd_value odd_object(random_source& random, std::span<field const> fields)
{
    auto const& odd = any_of(random, fields);
    auto const value = random.below(2) == 0 ? any_of(random, odd.odd)
                                            : any_of(random, odd_values);
    std::string text = "{\"" + std::string(odd.name) + "\":" + json_of(value);
    for (auto const& each : fields)
    {
        if (each.name != odd.name)
        {
            text += ",\"" + std::string(each.name)
                    + "\":" + std::string(each.value);
        }
    }
    return {std::string(odd.name) + " is " + std::string(value),
            codec::encode_base64(text + "}")};
}

odd_value random_value(random_source& random, std::span<field const> fields)
{
    constexpr std::uint64_t not_object_one_in = 4;
    if (!fields.empty() && random.below(not_object_one_in) != 0)
    {
        return odd_object(random, fields);
    }
    switch (random.below(6))
    {
    case 0:
        return {"not base64", "{\"service\":\"batch\"}"};
    case 1:
        return {"half an object", codec::encode_base64("{\"service\":\"ba")};
    case 2:
        return {"not text", codec::encode_base64("\xff\xfe\0\x80"sv)};
    case 3:
        return {"an array", codec::encode_base64("[1,\"a\",null]")};
    case 4:
        return {"empty", {}};
    default:
        return {"nested arrays", codec::encode_base64(json_of(nested))};
    }
}

std::string random_key(random_source& random, std::string_view prefix)
{
    constexpr std::uint64_t odd_name_one_in = 4;
    // Neither the number of a shard nor the name of a worker or daemon.
    constexpr std::uint64_t first_number = 100;
    constexpr std::uint64_t numbers = 5000000000;
    static constexpr std::array odd_names{""sv, "a/b"sv, "%41%00"sv,
                                          "\"\\\t&="sv};
    return std::string(prefix)
           + (random.below(odd_name_one_in) == 0
                  ? std::string(any_of(random, odd_names))
                  : std::to_string(first_number + random.below(numbers)));
}

/// Writes an odd value and prints `text`, the key and what is odd.
void write(soak_state& state, std::string const& key,
           std::span<field const> fields, std::string const& text,
           effect_list& effects)
{
    auto const value = random_value(state.other_writer_random, fields);
    state.store.put(key, value.text);
    effects.push_back(print_line{text + key + ": " + value.what});
}

} // namespace

void tick(soak_state& state, time_ms now, effect_list& effects)
{
    auto const most = state.settings.odd_entries;
    if (most == 0 || now < state.next_odd_entry)
    {
        return;
    }
    auto& random = state.other_writer_random;
    auto& entries = state.odd_entries;
    state.next_odd_entry =
        now + min_interval
        + time_ms(static_cast<std::int64_t>(random.below(interval_jitter_ms)));
    // The more entries there are, the more often one is replaced or removed.
    auto const text = std::to_string(now.count()) + " odd entry ";
    if (random.below(most) >= entries.size())
    {
        auto const number = random_area(random);
        auto const& area = areas[number];
        auto const key = random_key(random, area.prefix);
        entries[key] = number;
        write(state, key, area.fields, text, effects);
        return;
    }
    auto const chosen =
        std::next(entries.begin(),
                  static_cast<std::ptrdiff_t>(random.below(entries.size())));
    if (random.below(2) == 0)
    {
        write(state, chosen->first, areas[chosen->second].fields, text,
              effects);
        return;
    }
    state.store.remove(chosen->first);
    effects.push_back(print_line{text + chosen->first + " removed"});
    entries.erase(chosen);
}

void suspend(soak_state& state)
{
    for (auto const& [key, area] : state.odd_entries)
    {
        state.store.remove(key);
    }
}

void resume(soak_state& state, time_ms now, effect_list& effects)
{
    auto const text = std::to_string(now.count()) + " odd entry ";
    for (auto const& [key, area] : state.odd_entries)
    {
        write(state, key, areas[area].fields, text, effects);
    }
}

} // namespace jaydrift::soak::other_writer
