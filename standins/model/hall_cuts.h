#pragma once
/// \file
/// Cuts of the network between data halls.

#include <set>
#include <string>
#include <utility>

namespace lanemoor::model {

/// \brief Directions between data halls in which nothing arrives, without a word.
class HallCuts {
public:
    /// \brief Cuts or restores what goes from one data hall to another.
    void setOneWay(const std::string& from, const std::string& to, bool cut)
    {
        if (cut)
            m_cut.insert({ from, to });
        else
            m_cut.erase({ from, to });
    }

    /// \brief Cuts or restores both directions.
    void set(const std::string& a, const std::string& b, bool cut)
    {
        setOneWay(a, b, cut);
        setOneWay(b, a, cut);
    }

    void clear() { m_cut.clear(); }

    [[nodiscard]] bool carries(const std::string& from, const std::string& to) const { return m_cut.empty() || !m_cut.contains({ from, to }); }

private:
    std::set<std::pair<std::string, std::string>> m_cut;
};

} // namespace lanemoor::model
