#include "lanemoor/state/json_bounds.h"

namespace lanemoor {

bool hasMoreValues(std::string_view text, std::size_t maxValues) noexcept
{
    std::size_t values = 1;
    bool isInString = false;
    for (std::size_t at = 0; at < text.size() && values <= maxValues; ++at) {
        const char c = text[at];
        if (isInString && c == '\\')
            ++at;
        else if (c == '"')
            isInString = !isInString;
        else if (!isInString && (c == '[' || c == '{' || c == ','))
            ++values;
    }
    return values > maxValues;
}

} // namespace lanemoor
