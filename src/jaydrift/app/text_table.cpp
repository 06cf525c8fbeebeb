#include <jaydrift/app/text_table.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace jaydrift::app {

text_table::text_table(row header) { add_row(std::move(header)); }

void text_table::add_row(row cells)
{
    for (auto& cell : cells)
    {
        // A line break in a cell would look like another row.
        std::ranges::replace_if(
            cell, [](unsigned char character) { return character < ' '; }, ' ');
        if (cell.empty())
        {
            cell.push_back('-');
        }
    }
    rows_.push_back(std::move(cells));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (auto const& cells : rows_)
    {
        for (std::size_t i = 0; i < cells.size(); ++i)
        {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    std::string result;
    for (auto const& cells : rows_)
    {
        for (std::size_t i = 0; i < cells.size(); ++i)
        {
            result += cells[i];
            auto const last = i + 1 == cells.size();
            result +=
                last ? "\n" : std::string(widths[i] + 2 - cells[i].size(), ' ');
        }
    }
    return result;
}

} // namespace jaydrift::app
