#pragma once
/// \file
/// Network partitions between data halls.

#include <set>
#include <string>
#include <utility>

namespace lanemoor::model {

/// \brief The directions between data halls in which messages are dropped silently.
class HallCuts {
public:
    /// \brief Cuts or restores the direction from one data hall to another.
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
