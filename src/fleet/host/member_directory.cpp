#include "member_directory.h"

namespace firtide::fleet
{
namespace
{

constexpr const char* incarnation_file = "member";

[[noreturn]] void fail(const FleetConfig& config, const std::string& path, const std::string& cause)
{
    throw CannotStart(path + ": fleet.data: " + config.data_directory + ": " + cause);
}

Directory open_directory(const FleetConfig& config, const std::string& path)
{
    std::optional<Directory> directory;
    const auto error = Directory::open(config.data_directory, directory);
    if (error == std::errc::operation_would_block) fail(config, path, "in use by another process");
    if (error) fail(config, path, error.message());
    return std::move(*directory);
}

}  // namespace

MemberDirectory::MemberDirectory(const FleetConfig& config, const std::string& path)
    : fleet_(config.name), member_(config.id), directory_(open_directory(config, path))
{
    std::optional<std::string> text;
    if (const auto error = directory_.read(incarnation_file, text)) fail(config, path, error.message());
    const auto record = text ? unpack<MemberRecord>(*text) : std::nullopt;
    if (record && (record->fleet != fleet_ || record->member != member_))
        fail(config, path,
             "is the folder of member '" + record->member + "' of fleet '" + record->fleet + "'");
    if (const auto error = directory_.replace("writable", "")) fail(config, path, error.message());
}

Incarnation MemberDirectory::next_incarnation()
{
    std::optional<std::string> text;
    (void)directory_.read(incarnation_file, text);
    const auto record = text ? unpack<MemberRecord>(*text) : std::nullopt;
    return (record ? record->incarnation : 0) + 1;
}

std::error_code MemberDirectory::store_incarnation(Incarnation incarnation)
{
    if (incarnation == stored_incarnation_) return {};
    stored_incarnation_ = incarnation;
    return directory_.replace(incarnation_file, pack(MemberRecord{fleet_, member_, incarnation}));
}

}  // namespace firtide::fleet
