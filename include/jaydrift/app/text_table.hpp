#ifndef JAYDRIFT_APP_TEXT_TABLE_HPP
#define JAYDRIFT_APP_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace jaydrift::app {

/// A text table whose columns are as wide as their widest cell.
class text_table
{
public:
    /// Cells from left to right.
    using row = std::vector<std::string>;

    explicit text_table(row header);

    /// Adds a row below the others. Control characters in its cells become
    /// spaces.
    ///
    /// @pre `cells` has as many cells as the header.
    void add_row(row cells);

    /// Returns the table, one line per row; an empty cell is shown as `-`.
    std::string text() const;

private:
    std::vector<row> rows_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_TEXT_TABLE_HPP
