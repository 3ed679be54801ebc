#pragma once
/// \file
/// A proxy before the fleet interface that loses answers.

#include "harness.h"

#include <set>

namespace lanemoor::review {

/// \brief Passes every call on. If `losesUpkeepAnswers`, the first upkeep call of each machine is carried out, and its connection says
/// nothing further; all other calls, also later ones of the same machine, are answered.
class AnswerLoss {
public:
    AnswerLoss(const Endpoint& target, bool losesUpkeepAnswers, Record& record);

    [[nodiscard]] Endpoint endpoint() const { return m_endpoint; }

private:
    void accept();
    void pass(int caller);
    [[nodiscard]] bool isToBeLost(const std::string& request);

    Endpoint m_target;
    Endpoint m_endpoint;
    bool m_losesUpkeepAnswers;
    Record& m_record;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<std::string> m_called;
};

} // namespace lanemoor::review
