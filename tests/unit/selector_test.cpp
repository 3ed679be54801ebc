#include "lanemoor/decisions/selector.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lanemoor;

TEST_CASE("selectors support equality, set and existence requirements")
{
    const LabelSet gold({ { "service", "counter" }, { "tier", "gold" } });
    const auto matches = [&](const char* text) {
        SelectorParser parser;
        const std::optional<Selector> selector = parser.parse(text);
        REQUIRE(selector);
        return selector->matches(gold);
    };
    CHECK(matches(""));
    CHECK(matches("service=counter"));
    CHECK(matches("service == counter , tier in (gold, silver)"));
    CHECK(matches("tier notin (bronze),!broken,service"));
    CHECK(matches("absent != x"));
    CHECK_FALSE(matches("tier!=gold"));
    CHECK_FALSE(matches("broken"));
    CHECK_FALSE(matches("!tier"));
    CHECK_FALSE(matches("tier in (silver)"));
}

TEST_CASE("a parse error of a selector has a position and a reason")
{
    struct Case {
        const char* text;
        SelectorFaultCode code;
        std::size_t column;
    };
    for (const Case& one : { Case { "a=", SelectorFaultCode::ExpectedValue, 3 }, Case { "a in b", SelectorFaultCode::ExpectedOpeningParenthesis, 6 }, Case { "a in (b", SelectorFaultCode::UnterminatedSet, 8 }, Case { "a like b", SelectorFaultCode::ExpectedOperator, 3 }, Case { "a=b c=d", SelectorFaultCode::ExpectedComma, 5 }, Case { "a=b,", SelectorFaultCode::ExpectedKey, 5 }, Case { "=b", SelectorFaultCode::ExpectedKey, 1 } }) {
        CAPTURE(one.text);
        SelectorParser parser;
        CHECK_FALSE(parser.parse(one.text));
        REQUIRE(parser.lastFault());
        CHECK(parser.lastFault()->code == one.code);
        CHECK(parser.lastFault()->column == one.column);
    }
}

TEST_CASE("any text is parsed or refused, and a parsed selector keeps its text")
{
    CHECK(rc::check([](const std::string& text) {
        SelectorParser parser;
        const std::optional<Selector> selector = parser.parse(text);
        RC_ASSERT(selector.has_value() != parser.lastFault().has_value());
        if (selector)
            RC_ASSERT(selector->text() == text);
    }));
}

TEST_CASE("the last of several labels with the same key is kept")
{
    const LabelSet labels({ { "a", "1" }, { "b", "2" }, { "a", "3" } });
    CHECK(labels.all().size() == 2);
    CHECK(labels.find("a") == "3");
}
