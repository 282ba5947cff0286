#include "Decide/DrainPlan.h"

namespace catkinloft {

DrainPlan::Step DrainPlan::next(TimePoint now, Work left)
{
    if (now < m_options.refuseFrom)
        return Step::Accept;
    if (left.requests > 0 && !m_isBrokenOff) {
        if (now < m_options.breakOffAt)
            return Step::Finish;
        m_isBrokenOff = true;
        return Step::BreakOff;
    }
    const bool mayArrive = now - m_options.breakOffAt < LastAnswersTime;
    return left.answers > 0 && mayArrive ? Step::Flush : Step::End;
}

} // namespace catkinloft
