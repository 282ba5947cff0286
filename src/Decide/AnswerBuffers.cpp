#include "Decide/AnswerBuffers.h"

namespace catkinloft {

bool AnswerBuffers::Share::resize(std::size_t size)
{
    const std::size_t others = m_buffers.m_used - m_size;
    m_buffers.m_used = others + size;
    const bool isGrowing = size > m_size;
    m_size = size;
    return !isGrowing || m_buffers.m_used + size <= m_buffers.m_limit;
}

} // namespace catkinloft
