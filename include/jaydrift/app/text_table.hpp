#ifndef JAYDRIFT_APP_TEXT_TABLE_HPP
#define JAYDRIFT_APP_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace jaydrift::app {

/// Prints rows with columns that are as wide as their widest cell.
class text_table
{
public:
    using row = std::vector<std::string>;

    explicit text_table(row header);

    /// @pre `cells` has as many cells as the header.
    void add(row cells);

    /// Returns the table, one line per row; an empty cell is printed as `-`.
    std::string text() const;

private:
    std::vector<row> rows_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_TEXT_TABLE_HPP
