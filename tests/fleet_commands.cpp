// Operators' fleet commands: current names, older names that still work, and rejected input.
#include <gtest/gtest.h>

#include "src/net/fleet_command.h"

namespace firtide::net
{
namespace
{

using Words = std::vector<std::string>;

std::string decoded(const Words& words)
{
    const auto request = decode_fleet_command(7, words);
    if (!request) return "none";
    EXPECT_EQ(request->caller, 7u);
    return request->name + "|" + request->first_argument + "|" + request->second_argument;
}

TEST(FleetCommands, CurrentNamesAreDecoded)
{
    EXPECT_EQ(decoded({"show-fleet"}), "show-fleet||");
    EXPECT_EQ(decoded({"show-recovery"}), "show-recovery||");
    EXPECT_EQ(decoded({"transfer-duty", "list"}), "hand-over|list|");
    EXPECT_EQ(decoded({"transfer-duty", "list", "m-2"}), "hand-over|list|m-2");
    EXPECT_EQ(decoded({"add-voter", "m-2"}), "let-in|m-2|");
    EXPECT_EQ(decoded({"remove-voter", "m-2"}), "put-out|m-2|");
    EXPECT_EQ(decoded({"drain", "permit"}), std::string(fleet::request_drain_permit) + "||");
}

TEST(FleetCommands, OlderNamesAreEquivalent)
{
    EXPECT_EQ(decoded({"hand-over", "list", "m-2"}), decoded({"transfer-duty", "list", "m-2"}));
    EXPECT_EQ(decoded({"hand-over", "list"}), decoded({"transfer-duty", "list"}));
    EXPECT_EQ(decoded({"let-in", "m-2"}), decoded({"add-voter", "m-2"}));
    EXPECT_EQ(decoded({"put-out", "m-2"}), decoded({"remove-voter", "m-2"}));
    EXPECT_EQ(decoded({"drain", "turn"}), decoded({"drain", "permit"}));
}

TEST(FleetCommands, OtherInputIsRejected)
{
    EXPECT_EQ(decoded({}), "none");
    EXPECT_EQ(decoded({"drain"}), "none");
    EXPECT_EQ(decoded({"drain", "soon"}), "none");
    EXPECT_EQ(decoded({"show-fleet", "all"}), "none");
    EXPECT_EQ(decoded({"transfer-duty"}), "none");
    EXPECT_EQ(decoded({"transfer-duty", "list", "m-2", "now"}), "none");
    EXPECT_EQ(decoded({"add-voter"}), "none");
    EXPECT_EQ(decoded({"remove-voter", "m-2", "now"}), "none");
    EXPECT_EQ(decoded({"reload"}), "none");
}

}  // namespace
}  // namespace firtide::net
